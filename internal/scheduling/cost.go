package scheduling

import (
	"math"
	"time"
)

const (
	// firstTokenWeight is the cost of delaying the request's first token by one
	// millisecond, relative to delaying another sequence by one millisecond.
	firstTokenWeight = 4.0
	// longStepWeight is the cost of a millisecond by which a step exceeds the
	// inter-token bound, relative to a millisecond within it.
	longStepWeight = 3.0
	// fullTargetCostMS is the cost of placing one expected output token on a
	// target whose memory is full, in milliseconds. The cost grows with the cube
	// of the memory use.
	fullTargetCostMS = 20.0
)

// placementCost returns the expected cost of placing the request on the target:
// the weighted delay, in milliseconds, of the request itself and of the sequences
// that already run there. Lower is better.
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

// memoryCost returns the cost of the memory pressure on the target, in
// milliseconds.
func (p *Pool) memoryCost(t *targetState, c *candidate) float64 {
	capacity := t.capacity()
	if capacity == 0 {
		return 0
	}
	use := (t.forecast.PeakMean() + c.sequence.Prompt + c.expectedTokens/2) / capacity
	return p.operatingPoint.memoryWeight * fullTargetCostMS * c.expectedTokens * use * use * use
}
