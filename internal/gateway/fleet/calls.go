package fleet

import (
	"context"
	"time"

	"corianderhitch/api/control"
	"corianderhitch/internal/gateway/ids"
)

const (
	// callPrefix keeps marks of calls apart from the request ids of completions,
	// which contain no slash.
	callPrefix = "call/"
	// markFor is how long a mark is useful: longer than most outages.
	markFor = 1 * time.Hour
)

// Mark implements ledger.Hint by an entry in the directory.
func (f *Fleet) Mark(ctx context.Context, account, key string) {
	f.Register(ctx, control.DirectoryEntry{
		Account: account, RequestID: callPrefix + key, Generation: ids.New(), Expires: time.Now().Add(markFor),
	})
}

// Marked implements ledger.Hint. All hosts that may hold the mark are asked. One
// that gives no answer may hold it, so that the call must not be denied.
func (f *Fleet) Marked(ctx context.Context, account, key string) bool {
	owners := f.directoryOwners(account, callPrefix+key)
	_, found, silent := f.lookup(ctx, directoryTimeout, account, callPrefix+key, owners)
	return found || len(owners) == 0 || len(silent) > 0
}
