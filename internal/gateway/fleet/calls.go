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

// Marked implements ledger.Hint. All hosts that may hold the mark are asked.
func (f *Fleet) Marked(ctx context.Context, account, key string) bool {
	asked := false
	lookup := control.DirectoryKey{Account: account, RequestID: callPrefix + key}
	for _, agent := range f.directoryAgents(account, lookup.RequestID) {
		reply := new(control.LookupReply)
		if f.callDirectory(ctx, agent, "Directory.Lookup", lookup, reply) != nil {
			continue
		}
		asked = true
		if reply.Found {
			return true
		}
	}
	return !asked
}
