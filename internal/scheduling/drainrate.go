package scheduling

import (
	"math"
	"time"
)

const (
	// drainTime is the time constant of the measured drain rate.
	drainTime = 5 * time.Second
	// drainWarm is how long finished work must have been seen before the rate
	// is relied on.
	drainWarm = 2 * time.Second
)

// drainRate measures the output tokens that finish in a second, exponentially
// averaged. The zero value has seen nothing.
type drainRate struct {
	rate  float64
	at    time.Time
	since time.Time
}

func (d *drainRate) add(now time.Time, tokens float64) {
	if d.since.IsZero() {
		d.since, d.at = now, now
	}
	d.decay(now)
	d.rate += max(0, tokens) / drainTime.Seconds()
}

// perSecond returns the rate, or 0 while it is not known.
func (d *drainRate) perSecond(now time.Time) float64 {
	seen := now.Sub(d.since)
	if d.since.IsZero() || seen < drainWarm {
		return 0
	}
	d.decay(now)
	return d.rate / (1 - math.Exp(-seen.Seconds()/drainTime.Seconds()))
}

func (d *drainRate) decay(now time.Time) {
	d.rate *= math.Exp(-now.Sub(d.at).Seconds() / drainTime.Seconds())
	d.at = now
}
