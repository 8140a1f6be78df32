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
	// Left returns how long it takes until this host may send the incarnation a request, and the
	// rate at which it may send; 0 and 0 if sends are not bounded.
	Left(incarnation string, now bootclock.Instant) (left time.Duration, perSecond float64)
	// Take takes the permit for a send that follows at once, and reports whether there is one.
	Take(incarnation string, now bootclock.Instant) bool
}

// AnyCold reports whether the sends to a target may be bounded because it is cold. It is cheap.
func (t *Tracker) AnyCold(now bootclock.Instant) bool {
	return t.Warmup != nil && t.Warmup.AnyCold(now)
}

// IsCold reports whether the sends to the incarnation are bounded because it is cold.
func (t *Tracker) IsCold(incarnation string, now bootclock.Instant) bool {
	return t.AnyCold(now) && t.Warmup.IsCold(incarnation, now)
}

// coldLeft returns how long it takes until this host may send the incarnation a request if it is
// cold, otherwise 0.
func (t *Tracker) coldLeft(incarnation string, now bootclock.Instant) time.Duration {
	if !t.AnyCold(now) {
		return 0
	}
	left, _ := t.Warmup.Left(incarnation, now)
	return left
}
