package scheduling

import (
	"math"
	"time"
)

const (
	// firstTokenCost weighs a millisecond until the request's own first token
	// against a millisecond that other sequences wait.
	firstTokenCost = 4.0
	// disturbCost weighs a millisecond beyond the inter-token bound against one
	// within it.
	disturbCost = 3.0
	// memoryCost is the cost of a full target in milliseconds for each expected
	// token; it grows with the cube of the use.
	memoryCost = 20.0
)

// score is the Scorer: the expected harm of placing the request on the target
// in milliseconds, over the request itself and the sequences beside it.
func (p *Pool) score(now time.Time, t *targetState, c *candidate) float64 {
	beside := t.sequences()
	wait := math.Max(0, float64(t.prefillUntil.Sub(now))/float64(time.Millisecond))
	prefill := c.prefillMS(t, p.config.PrefillMSPerToken)
	first := firstTokenCost * (wait + prefill)
	stepMS := p.steps.At(beside + 1)
	chunkMS := float64(p.config.PrefillChunk) * p.config.PrefillMSPerToken
	disturbed := p.bounds.tailShare * disturbCost * p.disturbs(now, t, c.uncached(t), stepMS) * chunkMS * beside
	slower := c.expected * p.steps.Slope() * beside
	return first + disturbed + slower + p.memoryHarm(t, c)
}

func (p *Pool) memoryHarm(t *targetState, c *candidate) float64 {
	capacity := t.capacity()
	if capacity == 0 {
		return 0
	}
	use := (t.forecast.PeakMean() + c.sequence.Prompt + c.expected/2) / capacity
	return p.bounds.memoryShare * memoryCost * c.expected * use * use * use
}
