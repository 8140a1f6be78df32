package scheduling

import (
	"math"
	"time"
)

// A lot is the prompts that an engine computes within one step. Each step with
// much prefill is one long gap for every sequence beside it, whether it computes
// a part of a chunk or all of it, so that prompts disturb less together.

// sameStep returns the probability that a prompt granted now is computed within
// the step of the target's last lot.
func (t *targetState) sameStep(now time.Time, stepMS float64) float64 {
	since := float64(now.Sub(t.lotAt)) / float64(time.Millisecond)
	return math.Max(0, 1-since/stepMS)
}

// join counts a granted prompt into the target's lot.
func (t *targetState) join(now time.Time, tokens, stepMS float64) {
	if t.lotAt.IsZero() || t.sameStep(now, stepMS) == 0 {
		t.lotAt = now
		t.lotTokens = 0
	}
	t.lotTokens += tokens
}

// longSteps returns the steps beyond the inter-token bound that it takes to
// compute prompt tokens next to a decode step of stepMS.
func (p *Pool) longSteps(tokens, stepMS float64) float64 {
	slack := math.Max(0, float64(p.config.Objectives.InterTokenMS)-stepMS) / p.config.PrefillMSPerToken
	whole := math.Floor(tokens / float64(p.config.PrefillChunk))
	if tokens-whole*float64(p.config.PrefillChunk) > slack {
		return whole + 1
	}
	return whole
}

// disturbs returns the expected number of long steps that the tokens add on the
// target.
func (p *Pool) disturbs(now time.Time, t *targetState, tokens, stepMS float64) float64 {
	alone := p.longSteps(tokens, stepMS)
	same := t.sameStep(now, stepMS)
	if same == 0 {
		return alone
	}
	joined := p.longSteps(t.lotTokens+tokens, stepMS) - p.longSteps(t.lotTokens, stepMS)
	return same*joined + (1-same)*alone
}
