package scheduling

import (
	"time"

	"corianderhitch/internal/scheduling/memory"
)

const (
	// urgentPriority is the lowest priority that may use the reserve kept for
	// lookups.
	urgentPriority = 5
	// reserveShare is the share of batch and memory that requests below
	// urgentPriority leave free.
	reserveShare = 0.01
	// prefillAhead is the prompt work that may wait on a target. More would
	// only queue in the engine, where it can no longer be moved.
	maxPrefillBacklog = 20 * time.Millisecond
	// The room for requests that resume in the midst of an answer.
	resumedBatchShare          = 1.15
	resumedOverflowProbability = 0.1
	resumedMaxPrefillBacklog   = 200 * time.Millisecond
)

// admits is the Admitter: it tells whether the target can take the request now
// without likely overflow of its memory, too long steps, or prompts queueing up.
func (p *Pool) admits(now time.Time, t *targetState, c candidate) bool {
	if t.batchSize() == 0 {
		return true // else a request larger than the bounds would never run
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

// unreachableShare is how far steps may grow beyond the step of one sequence
// where the engine cannot keep the bound. Without it a slow engine would run its
// sequences one by one and most callers would be refused.
const slowEngineStepFactor = 1.25

// stepBound returns the longest planned decode step in milliseconds: the
// objective's, or what the engines need for a batch worth running.
func (p *Pool) maxStepMS() float64 {
	return max(p.operatingPoint.maxStepMS, slowEngineStepFactor*p.steps.At(1))
}

// room is how far a request may fill a target.
type fillLimits struct {
	batchShare          float64 // share of the largest batch
	memoryShare         float64 // share of the memory
	overflowProbability float64 // accepted probability of overflow
	prefillBacklog      time.Duration
}

// roomFor returns the room for a request. Urgent requests may use the reserve,
// and one whose caller waits in the midst of an answer more than that: it
// stalls for certain while it waits, but others only perhaps when it runs.
func (p *Pool) fillLimitsFor(r *Request) fillLimits {
	limit := fillLimits{batchShare: 1, memoryShare: p.operatingPoint.maxMemoryShare, overflowProbability: p.operatingPoint.maxOverflowProbability, prefillBacklog: maxPrefillBacklog}
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

// candidate is a request under decision.
type candidate struct {
	request        *Request
	sequence       memory.Sequence
	expectedTokens float64 // output tokens to come
	cachedBlocks   []int   // leading prompt blocks held, by target slot
}

// uncached returns the prompt tokens that the target must compute.
func (c *candidate) uncached(t *targetState) float64 {
	cachedTokens := 0
	if t.slot < len(c.cachedBlocks) {
		cachedTokens = c.cachedBlocks[t.slot] * prefixBlockTokens
	}
	return max(0, float64(c.request.PromptTokens+c.request.Produced-cachedTokens))
}

func (c *candidate) prefillMS(t *targetState, perToken float64) float64 {
	return c.uncached(t) * perToken
}
