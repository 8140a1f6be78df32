package ledger

import lru "github.com/hashicorp/golang-lru/v2"

// maxRecentCalls bounds the calls that a gateway remembers, about 100 bytes each.
const maxRecentCalls = 1 << 16

// recentCalls remembers the last calls that may have run as far as this gateway
// knows, so that it does not report them as not run while the store is down.
type recentCalls struct{ calls *lru.Cache[string, struct{}] }

func newRecentCalls() *recentCalls {
	calls, err := lru.New[string, struct{}](maxRecentCalls)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &recentCalls{calls: calls}
}

func (r *recentCalls) add(c Call) { r.calls.Add(c.storeKey(), struct{}{}) }

func (r *recentCalls) remove(c Call) { r.calls.Remove(c.storeKey()) }

func (r *recentCalls) has(c Call) bool { return r.calls.Contains(c.storeKey()) }
