package scheduling

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// limitUse is the share of a named limit that is used. The rest is for requests that are
	// granted while the pool changes its owner.
	limitUse = 0.9
	// maxLimitDebt is how many requests that continue an interrupted answer a target may be
	// granted ahead of its limit: while they wait, their callers see a pause.
	maxLimitDebt = 2
)

// RequestLimit is how many requests a second a target takes from this pool. It answers the load
// of pools that grant an engine in need more than it can bear.
type RequestLimit struct {
	Named     bool // the target names a limit
	PerSecond float64
}

// setLimit applies the limit that a target names now. What it was granted before is not given
// back, so that no change of the limit grants a burst.
func (t *targetState) setLimit(now time.Time, l RequestLimit) {
	perSecond := rate.Limit(limitUse * max(0, l.PerSecond))
	switch {
	case !l.Named:
		t.permits = nil
	case t.permits == nil:
		t.permits = rate.NewLimiter(perSecond, 1)
		t.permits.AllowN(now, 1) // the first request waits for its turn
	case t.permits.Limit() != perSecond:
		t.permits.SetLimitAt(now, perSecond)
	}
}

// hasPermit reports whether the target's limit allows the request now.
func (t *targetState) hasPermit(now time.Time, r *Request) bool {
	if t.permits == nil {
		return true
	}
	needed := 1.0
	if r.Produced > 0 {
		needed -= maxLimitDebt
	}
	return t.permits.TokensAt(now) >= needed
}

// takePermit counts a request that is granted on the target.
func (t *targetState) takePermit(now time.Time) {
	if t.permits != nil {
		t.permits.ReserveN(now, 1)
	}
}

// limitedWait returns how long a new request waits for a permit behind those before it in the
// queue, zero while a usable target names no limit. It reports false if the usable targets take
// no requests at all.
func (p *Pool) limitedWait(now time.Time, r *Request) (wait time.Duration, ok bool) {
	perSecond, left, limited := 0.0, 0.0, false
	for _, t := range p.sortedTargets {
		if !p.usable(t, r) {
			continue
		}
		if t.permits == nil {
			return 0, true
		}
		limited = true
		perSecond += float64(t.permits.Limit())
		left += t.permits.TokensAt(now)
	}
	if !limited {
		return 0, true
	}
	expected := max(1, p.lengths.Curve(lengthKey(r)).MeanRemaining(r.Produced, r.MaxTokens))
	missing := p.queue.TokensAhead(r.Account, r.Weight, expected, r.Priority)/expected + 1 - left
	switch {
	case missing <= 0:
		return 0, true
	case perSecond == 0:
		return 0, false
	}
	return time.Duration(missing / perSecond * float64(time.Second)), true
}
