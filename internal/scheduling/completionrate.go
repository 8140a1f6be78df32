package scheduling

import (
	"math"
	"time"
)

const (
	// completionTimeConstant is the time constant of the exponential average.
	completionTimeConstant = 5 * time.Second
	// completionWarmUp is how long completions must have been observed before the
	// rate is used.
	completionWarmUp = 2 * time.Second
)

// completionRate measures the output tokens of finished requests per second, as
// an exponential average. The zero value has observed nothing.
type completionRate struct {
	rate    float64
	at      time.Time
	firstAt time.Time
}

// add counts the output tokens of a request that finished now.
func (r *completionRate) add(now time.Time, tokens float64) {
	if r.firstAt.IsZero() {
		r.firstAt, r.at = now, now
	}
	r.decay(now)
	r.rate += max(0, tokens) / completionTimeConstant.Seconds()
}

// perSecond returns the rate in tokens per second, or 0 while it is unknown. It
// corrects for the average having started at 0.
func (r *completionRate) perSecond(now time.Time) float64 {
	observed := now.Sub(r.firstAt)
	if r.firstAt.IsZero() || observed < completionWarmUp {
		return 0
	}
	r.decay(now)
	return r.rate / (1 - math.Exp(-observed.Seconds()/completionTimeConstant.Seconds()))
}

func (r *completionRate) decay(now time.Time) {
	r.rate *= math.Exp(-now.Sub(r.at).Seconds() / completionTimeConstant.Seconds())
	r.at = now
}
