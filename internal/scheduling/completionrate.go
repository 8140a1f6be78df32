package scheduling

import (
	"math"
	"time"
)

const (
	// drainTime is the time constant of the measured drain rate.
	completionTimeConstant = 5 * time.Second
	// drainWarm is how long finished work must have been seen before the rate
	// is relied on.
	completionWarmUp = 2 * time.Second
)

// drainRate measures the output tokens that finish in a second, exponentially
// averaged. The zero value has seen nothing.
type completionRate struct {
	rate    float64
	at      time.Time
	firstAt time.Time
}

func (d *completionRate) add(now time.Time, tokens float64) {
	if d.firstAt.IsZero() {
		d.firstAt, d.at = now, now
	}
	d.decay(now)
	d.rate += max(0, tokens) / completionTimeConstant.Seconds()
}

// perSecond returns the rate, or 0 while it is not known.
func (d *completionRate) perSecond(now time.Time) float64 {
	observed := now.Sub(d.firstAt)
	if d.firstAt.IsZero() || observed < completionWarmUp {
		return 0
	}
	d.decay(now)
	return d.rate / (1 - math.Exp(-observed.Seconds()/completionTimeConstant.Seconds()))
}

func (d *completionRate) decay(now time.Time) {
	d.rate *= math.Exp(-now.Sub(d.at).Seconds() / completionTimeConstant.Seconds())
	d.at = now
}
