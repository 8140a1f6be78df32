package memquota

import (
	"sync"
	"sync/atomic"

	"corianderhitch/internal/edge/bootclock"
)

// Verdict is the decision on memory that a request asks for.
type Verdict int

// Verdicts.
const (
	Granted      Verdict = iota
	Short                // the host's budget is used up
	AccountShort         // the client account's part of it is
)

const (
	// quietPart is the part of the budget, as a divisor, up to which requests are only counted. Beyond
	// it each is known by itself, so that the slowest can be rejected.
	quietPart = 4
	// accountPart is the part, as a divisor, that the large requests of one client account may hold.
	accountPart = 2
	// SmallBytes is the cost up to which a request is small. Large ones may use largeShare of the budget,
	// so that the rest is left to small ones. The requests of the deployments cost up to 20,000 bytes.
	SmallBytes = 64 << 10
	// largeShare, of four, is also what one account may hold with small and large requests together.
	largeShare = 3
)

// Budget is the memory that a host holds for callers: requests, answers and what other hosts forward. It
// is safe for concurrent use; nil is a budget without a bound.
type Budget struct {
	size int64
	held atomic.Int64

	mu        sync.Mutex
	accounts  map[string]int64      // guarded by mu; bytes of tracked requests
	receiving map[*tracked]struct{} // guarded by mu; requests whose bodies are still coming in
}

// NewBudget returns a budget of size bytes, nil if size is 0 or less.
func NewBudget(size int64) *Budget {
	if size <= 0 {
		return nil
	}
	return &Budget{size: size, accounts: make(map[string]int64), receiving: make(map[*tracked]struct{})}
}

// Size returns the size of the budget, 0 without a bound.
func (b *Budget) Size() int64 {
	if b == nil {
		return 0
	}
	return b.size
}

// Held returns how many bytes are held.
func (b *Budget) Held() int64 {
	if b == nil {
		return 0
	}
	return b.held.Load()
}

// Part returns a quota whose users' bytes count as held by the budget, without a bound if the budget is
// nil.
func (b *Budget) Part(size int64) *Quota {
	if b == nil {
		return New(0)
	}
	return &Quota{size: size, budget: b}
}

// Charge counts bytes that are held whatever the budget, since an answer that is ready is delivered. They
// are given back by the negative number.
func (b *Budget) Charge(bytes int64) {
	if b != nil {
		b.held.Add(bytes)
	}
}

// TryCharge is Charge, unless less than the part for small requests would be left.
func (b *Budget) TryCharge(bytes int64) bool {
	if b == nil {
		return true
	}
	if b.held.Add(bytes) > b.largeLimit() {
		b.held.Add(-bytes)
		return false
	}
	return true
}

func (b *Budget) largeLimit() int64 { return b.size / 4 * largeShare }

// limits returns the bounds of what is held in total and by one account, for a request of the given cost.
func (b *Budget) limits(cost int64) (total, account int64) {
	if cost <= SmallBytes {
		return b.size, b.largeLimit()
	}
	return b.largeLimit(), b.size / accountPart
}

// Open counts the cost of a request, which Close of the hold gives back. The hold must be closed even if
// the verdict is not Granted.
func (b *Budget) Open(cost int64, now bootclock.Instant) (Hold, Verdict) {
	h := Hold{budget: b}
	verdict := h.Grow(cost, now)
	return h, verdict
}

// grow adds bytes to a tracked request, if need be after the rejection of others. There must be room for
// ahead more bytes.
func (b *Budget) grow(t *tracked, bytes, ahead int64, now bootclock.Instant) (Verdict, []*tracked) {
	b.mu.Lock()
	defer b.mu.Unlock()
	total, account := b.limits(t.bytes + bytes + ahead)
	var victims []*tracked
	for t.account != "" && b.accounts[t.account]+bytes+ahead > account {
		v := b.evict(t, t.account, now)
		if v == nil {
			return AccountShort, victims
		}
		victims = append(victims, v)
	}
	for b.held.Add(bytes)+ahead > total {
		b.held.Add(-bytes)
		v := b.evict(t, "", now)
		if v == nil {
			return Short, victims
		}
		victims = append(victims, v)
	}
	if t.evicted.Load() { // meanwhile, for another request
		b.held.Add(-bytes)
		return Short, victims
	}
	b.add(t, bytes)
	return Granted, victims
}

// add changes the bytes of a tracked request, which have been counted as held. It needs mu.
func (b *Budget) add(t *tracked, bytes int64) {
	t.bytes += bytes
	if left := b.accounts[t.account] + bytes; left > 0 {
		b.accounts[t.account] = left
	} else {
		delete(b.accounts, t.account)
	}
}

// evict takes the bytes from the request whose body is the slowest, of the account unless that is "". It
// returns nil if there is none. It needs mu.
func (b *Budget) evict(except *tracked, account string, now bootclock.Instant) *tracked {
	v := slowest(b.receiving, except, account, now)
	if v == nil {
		return nil
	}
	delete(b.receiving, v)
	v.evicted.Store(true)
	b.held.Add(-v.bytes) // its handler lets go of the memory at once
	b.add(v, -v.bytes)
	return v
}
