// Package retry decides how often work may be sent again: retries and hedges as
// a share of the traffic, and the delay before a hedge.
package retry

import "time"

const (
	// DefaultShare is the share of requests that may be sent again.
	DefaultShare = 0.1
	// reserve is the number of repeats that are allowed without traffic before.
	reserve = 10.0
)

// Budget bounds repeats by a share of the requests. The zero value allows none;
// use NewBudget. It is not safe for concurrent use.
type Budget struct {
	share  float64
	tokens float64
}

// NewBudget returns a Budget of the given share, from 0 to 1.
func NewBudget(share float64) *Budget { return &Budget{share: share, tokens: reserve} }

// Request counts a first attempt.
func (b *Budget) Request() { b.tokens = min(reserve+1/max(b.share, 0.01), b.tokens+b.share) }

// Spend takes one repeat from the budget and tells whether there was one.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Call describes a call that could be sent again.
type Call struct {
	Idempotent bool
	// LeftForTarget tells whether any byte of the call may have reached a target.
	LeftForTarget bool
	Attempts      int
	MaxAttempts   int
}

// MayRetry tells whether the call may be sent again. A non-idempotent call may
// only if no byte of it left.
func MayRetry(c Call, b *Budget) bool {
	if c.Attempts >= c.MaxAttempts || (c.LeftForTarget && !c.Idempotent) {
		return false
	}
	return b.Spend()
}

// HedgeDelay returns how long to wait before an idempotent lookup is sent to a
// second target: the time within which 95 in 100 answers come, at least floor.
// It returns false while fewer than minSamples are known.
func HedgeDelay(p95 time.Duration, samples int, floor time.Duration) (time.Duration, bool) {
	const minSamples = 20
	if samples < minSamples {
		return 0, false
	}
	return max(p95, floor), true
}
