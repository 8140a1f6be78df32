package scheduling

import (
	"math"
	"time"
)

// A prefill batch is the set of prompts that an engine prefills within one step.
// A step with much prefill is one long gap between tokens for all other sequences
// of the target, whether it prefills a full chunk of prompt tokens or part of one.
// Prompts that share a step therefore cause fewer long gaps than prompts in steps
// of their own.

// sameStepProbability returns the probability that a prompt granted now is
// prefilled in the same step as the target's last prefill batch.
func (t *targetState) sameStepProbability(now time.Time, stepMS float64) float64 {
	since := float64(now.Sub(t.prefillBatchAt)) / float64(time.Millisecond)
	return math.Max(0, 1-since/stepMS)
}

// addToPrefillBatch adds a granted prompt to the target's prefill batch, or starts
// a new batch if the step of the last one is over.
func (t *targetState) addToPrefillBatch(now time.Time, tokens, stepMS float64) {
	if t.prefillBatchAt.IsZero() || t.sameStepProbability(now, stepMS) == 0 {
		t.prefillBatchAt = now
		t.prefillBatchTokens = 0
	}
	t.prefillBatchTokens += tokens
}

// stepsOverBound returns the number of steps longer than the inter-token bound
// that it takes to prefill the prompt tokens if a decode step alone takes stepMS.
func (p *Pool) stepsOverBound(tokens, stepMS float64) float64 {
	slackTokens := math.Max(0, float64(p.config.Objectives.InterTokenMS)-stepMS) / p.config.PrefillMSPerToken
	fullChunks := math.Floor(tokens / float64(p.config.PrefillChunk))
	if tokens-fullChunks*float64(p.config.PrefillChunk) > slackTokens {
		return fullChunks + 1
	}
	return fullChunks
}

// addedStepsOverBound returns the expected number of steps longer than the
// inter-token bound that the prompt tokens add on the target.
func (p *Pool) addedStepsOverBound(now time.Time, t *targetState, tokens, stepMS float64) float64 {
	separate := p.stepsOverBound(tokens, stepMS)
	sameStep := t.sameStepProbability(now, stepMS)
	if sameStep == 0 {
		return separate
	}
	batched := p.stepsOverBound(t.prefillBatchTokens+tokens, stepMS) - p.stepsOverBound(t.prefillBatchTokens, stepMS)
	return sameStep*batched + (1-sameStep)*separate
}
