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
func (t *targetState) sameStepProbability(now time.Time, stepMS float64) float64 {
	since := float64(now.Sub(t.prefillBatchAt)) / float64(time.Millisecond)
	return math.Max(0, 1-since/stepMS)
}

// join counts a granted prompt into the target's lot.
func (t *targetState) addToPrefillBatch(now time.Time, tokens, stepMS float64) {
	if t.prefillBatchAt.IsZero() || t.sameStepProbability(now, stepMS) == 0 {
		t.prefillBatchAt = now
		t.prefillBatchTokens = 0
	}
	t.prefillBatchTokens += tokens
}

// longSteps returns the steps beyond the inter-token bound that it takes to
// compute prompt tokens next to a decode step of stepMS.
func (p *Pool) stepsOverBound(tokens, stepMS float64) float64 {
	slackTokens := math.Max(0, float64(p.config.Objectives.InterTokenMS)-stepMS) / p.config.PrefillMSPerToken
	fullChunks := math.Floor(tokens / float64(p.config.PrefillChunk))
	if tokens-fullChunks*float64(p.config.PrefillChunk) > slackTokens {
		return fullChunks + 1
	}
	return fullChunks
}

// disturbs returns the expected number of long steps that the tokens add on the
// target.
func (p *Pool) addedStepsOverBound(now time.Time, t *targetState, tokens, stepMS float64) float64 {
	separate := p.stepsOverBound(tokens, stepMS)
	sameStep := t.sameStepProbability(now, stepMS)
	if sameStep == 0 {
		return separate
	}
	batched := p.stepsOverBound(t.prefillBatchTokens+tokens, stepMS) - p.stepsOverBound(t.prefillBatchTokens, stepMS)
	return sameStep*batched + (1-sameStep)*separate
}
