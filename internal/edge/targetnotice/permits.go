package targetnotice

import (
	"time"

	"corianderhitch/internal/edge/bootclock"
)

const (
	// permitLifetime is how long permits accrue for later use, beyond the first.
	permitLifetime = 500 * time.Millisecond
	// maxDebt bounds how many permits are owed for sends that are never refused.
	maxDebt = 2
)

// permits are what a host may send to a target with a limit. They accrue continuously at the
// host's share of the limit.
type permits struct {
	accrued   float64
	updatedAt bootclock.Instant
}

// newPermits returns permits of which draw, a random number in [0, 1), has accrued, so that
// hosts that hear of a limit together don't send together.
func newPermits(now bootclock.Instant, draw float64) permits {
	return permits{accrued: draw, updatedAt: now}
}

// accrue adds what has accrued until now at the rate, in permits a second.
func (p *permits) accrue(now bootclock.Instant, rate float64) {
	kept := max(1, rate*permitLifetime.Seconds())
	p.accrued = min(kept, p.accrued+rate*max(0, now.Sub(p.updatedAt).Seconds()))
	p.updatedAt = max(p.updatedAt, now)
}

// available reports whether a permit is left.
func (p *permits) available() bool { return p.accrued >= 1 }

// take uses a permit, or owes one if none is left.
func (p *permits) take() { p.accrued = max(p.accrued-1, -maxDebt) }

// wait returns how long it takes until a permit is available at the rate.
func (p *permits) wait(rate float64) time.Duration {
	if p.available() {
		return 0
	}
	if rate <= 0 {
		return maxPause
	}
	return min(maxPause, time.Duration((1-p.accrued)/rate*float64(time.Second)))
}
