package ledger

import lru "github.com/hashicorp/golang-lru/v2"

// seenCalls bounds the calls that a gateway remembers, some 100 bytes each.
const seenCalls = 1 << 16

// seen remembers calls of which this gateway knows that they may have run, so
// that it does not say "not run" of them while the store is down.
type seen struct{ calls *lru.Cache[string, struct{}] }

func newSeen() *seen {
	calls, err := lru.New[string, struct{}](seenCalls)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &seen{calls: calls}
}

func (s *seen) add(c Call) { s.calls.Add(c.storeKey(), struct{}{}) }

func (s *seen) remove(c Call) { s.calls.Remove(c.storeKey()) }

func (s *seen) has(c Call) bool { return s.calls.Contains(c.storeKey()) }
