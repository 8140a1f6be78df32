package scheduling

import (
	"math"
	"time"
)

const (
	// firstTokenCost weighs a millisecond until the request's own first token
	// against a millisecond that other sequences wait.
	firstTokenWeight = 4.0
	// disturbCost weighs a millisecond beyond the inter-token bound against one
	// within it.
	longStepWeight = 3.0
	// memoryCost is the cost of a full target in milliseconds for each expected
	// token; it grows with the cube of the use.
	fullTargetCostMS = 20.0
)

// score is the Scorer: the expected harm of placing the request on the target
// in milliseconds, over the request itself and the sequences beside it.
func (p *Pool) placementCost(now time.Time, t *targetState, c *candidate) float64 {
	others := t.batchSize()
	prefillWait := math.Max(0, float64(t.prefillUntil.Sub(now))/float64(time.Millisecond))
	prefill := c.prefillMS(t, p.config.PrefillMSPerToken)
	firstTokenCost := firstTokenWeight * (prefillWait + prefill)
	stepMS := p.steps.At(others + 1)
	chunkMS := float64(p.config.PrefillChunk) * p.config.PrefillMSPerToken
	longStepCost := p.operatingPoint.tailWeight * longStepWeight * p.addedStepsOverBound(now, t, c.uncached(t), stepMS) * chunkMS * others
	slowdownCost := c.expectedTokens * p.steps.Slope() * others
	return firstTokenCost + longStepCost + slowdownCost + p.memoryCost(t, c)
}

func (p *Pool) memoryCost(t *targetState, c *candidate) float64 {
	capacity := t.capacity()
	if capacity == 0 {
		return 0
	}
	use := (t.forecast.PeakMean() + c.sequence.Prompt + c.expectedTokens/2) / capacity
	return p.operatingPoint.memoryWeight * fullTargetCostMS * c.expectedTokens * use * use * use
}
