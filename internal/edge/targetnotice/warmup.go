package targetnotice

import (
	"time"

	"corianderhitch/internal/edge/bootclock"
)

// Warmup bounds the sends to cold targets. A target that also names a limit gets what both allow.
type Warmup interface {
	// AnyCold reports whether a target may be cold. It is cheap.
	AnyCold(now bootclock.Instant) bool
	// IsCold reports whether the sends to an incarnation are bounded.
	IsCold(incarnation string, now bootclock.Instant) bool
	// Left returns how long it takes until this host may send the incarnation a request, or a run that
	// continues from its memory, and the rate at which it may send; 0 and 0 if sends are not bounded.
	Left(incarnation string, continues bool, now bootclock.Instant) (left time.Duration, perSecond float64)
	// Take takes the permit for a send that follows at once, and reports whether there is one.
	Take(incarnation string, continues bool, now bootclock.Instant) bool
}

// AnyCold reports whether the sends to a target may be bounded because it is cold. It is cheap.
func (t *Tracker) AnyCold(now bootclock.Instant) bool {
	return t.Warmup != nil && t.Warmup.AnyCold(now)
}

// IsCold reports whether the sends to the incarnation are bounded because it is cold.
func (t *Tracker) IsCold(incarnation string, now bootclock.Instant) bool {
	return t.AnyCold(now) && t.Warmup.IsCold(incarnation, now)
}

// mayWarmUp reports whether this host may use the incarnation now if it is cold.
func (t *Tracker) mayWarmUp(incarnation string, use Use, now bootclock.Instant) bool {
	if !use.warmsUp() || !t.AnyCold(now) {
		return true
	}
	left, _ := t.Warmup.Left(incarnation, use.continues(), now)
	return left <= 0
}

// takeWarmup takes what the use needs from this host's share of what a cold incarnation bears, and
// reports whether it is there.
func (t *Tracker) takeWarmup(incarnation string, use Use, now bootclock.Instant) bool {
	return !use.warmsUp() || t.Warmup == nil || t.Warmup.Take(incarnation, use.continues(), now)
}
