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
func (f *Fleet) RecordDispatch(ctx context.Context, account, key string) {
	f.Register(ctx, control.DirectoryEntry{
		Account: account, RequestID: callPrefix + key, Generation: ids.New(), Expires: time.Now().Add(markFor),
	})
}

// Marked implements ledger.Hint. Both hosts that keep a mark are among those
// asked; one answer is enough to deny it.
func (f *Fleet) MayHaveRun(ctx context.Context, account, key string) bool {
	requestID := callPrefix + key
	owners := f.awake(f.directoryOwners(account, requestID))
	_, found, silent := f.lookup(ctx, directoryTimeout, account, requestID, owners)
	return found || len(silent) == len(owners)
}
