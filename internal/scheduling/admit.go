package scheduling

import (
	"time"

	"corianderhitch/internal/scheduling/memory"
)

const (
	// urgentPriority is the lowest priority that may use the capacity reserved by
	// reserveShare, so that short interactive requests find room on busy targets.
	urgentPriority = 5
	// reserveShare is the share of batch and memory that requests below
	// urgentPriority must leave free.
	reserveShare = 0.01
	// maxPrefillBacklog is the prefill work that may be pending on a target. More
	// would only queue in the engine, where it can no longer be placed elsewhere.
	maxPrefillBacklog = 20 * time.Millisecond
	// The limits of requests that continue an interrupted answer.
	resumedBatchShare          = 1.15
	resumedOverflowProbability = 0.1
	resumedMaxPrefillBacklog   = 200 * time.Millisecond
)

// admits reports whether the target can run the request now without its steps
// becoming too long, its prefill backlog too large, or an overflow of its memory
// too likely.
func (p *Pool) admits(now time.Time, t *targetState, c candidate) bool {
	if t.batchSize() == 0 {
		return true // otherwise a request larger than the limits would never run
	}
	if t.TotalBlocks == 0 {
		return len(t.residents) < maxResidentsUnreported
	}
	limit := p.fillLimitsFor(c.request)
	if t.batchSize()+1 > limit.batchShare*float64(p.steps.LargestBatch(p.maxStepMS())) {
		return false
	}
	backlog := t.prefillUntil.Sub(now)
	if backlog > limit.prefillBacklog && c.prefillMS(t, p.config.PrefillMSPerToken) > 0 {
		return false
	}
	t.refreshForecast(now)
	forecast := t.forecast
	forecast.Add(c.sequence)
	return forecast.Fits(limit.memoryShare*t.capacity(), limit.overflowProbability)
}

// slowEngineStepFactor is how long steps may become, relative to the step of a
// single sequence, on engines that cannot keep the bound of the objectives.
// Without it a slow engine would run its sequences one by one and most requests
// would be rejected.
const slowEngineStepFactor = 1.25

// maxStepMS returns the longest planned decode step in milliseconds: that of the
// operating point, or a longer one if the engines are too slow for it.
func (p *Pool) maxStepMS() float64 {
	return max(p.operatingPoint.maxStepMS, slowEngineStepFactor*p.steps.At(1))
}

// fillLimits bounds how far the placement of a request may fill a target.
type fillLimits struct {
	batchShare          float64 // of the largest batch
	memoryShare         float64 // of the memory
	overflowProbability float64 // accepted for the memory
	prefillBacklog      time.Duration
}

// fillLimitsFor returns the limits of a request. Urgent requests may use the
// reserve. A request that continues an interrupted answer may fill the target
// further: its answer certainly stalls while it waits, whereas running it only
// risks stalling others.
func (p *Pool) fillLimitsFor(r *Request) fillLimits {
	limit := fillLimits{
		batchShare:          1,
		memoryShare:         p.operatingPoint.maxMemoryShare,
		overflowProbability: p.operatingPoint.maxOverflowProbability,
		prefillBacklog:      maxPrefillBacklog,
	}
	switch {
	case r.Produced > 0:
		limit.batchShare = resumedBatchShare
		limit.overflowProbability = max(resumedOverflowProbability, p.operatingPoint.maxOverflowProbability)
		limit.prefillBacklog = resumedMaxPrefillBacklog
	case r.Priority < urgentPriority:
		limit.batchShare -= reserveShare
		limit.memoryShare -= reserveShare
	}
	return limit
}

// candidate is a request that is being placed.
type candidate struct {
	request        *Request
	sequence       memory.Sequence
	expectedTokens float64 // output tokens still to come
	cachedBlocks   []int   // leading prompt blocks in the target's cache, by cache slot
}

// uncached returns the number of tokens that the target must prefill. Output that
// was produced before is part of the prompt of a continued request.
func (c *candidate) uncached(t *targetState) float64 {
	cachedTokens := 0
	if t.slot < len(c.cachedBlocks) {
		cachedTokens = c.cachedBlocks[t.slot] * prefixBlockTokens
	}
	return max(0, float64(c.request.PromptTokens+c.request.Produced-cachedTokens))
}

// prefillMS returns the prefill time in milliseconds at perToken milliseconds for
// each token.
func (c *candidate) prefillMS(t *targetState, perToken float64) float64 {
	return c.uncached(t) * perToken
}
