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
	prefillAhead = 20 * time.Millisecond
	// The room for requests that resume in the midst of an answer.
	resumedBatch        = 1.15
	resumedOverflow     = 0.1
	resumedPrefillAhead = 200 * time.Millisecond
)

// admits is the Admitter: it tells whether the target can take the request now
// without likely overflow of its memory, too long steps, or prompts queueing up.
func (p *Pool) admits(now time.Time, t *targetState, c candidate) bool {
	if t.sequences() == 0 {
		return true // else a request larger than the bounds would never run
	}
	if t.TotalBlocks == 0 {
		return len(t.residents) < unknownResidents
	}
	room := p.roomFor(c.request)
	if t.sequences()+1 > room.batch*float64(p.steps.LargestBatch(p.stepBound())) {
		return false
	}
	ahead := t.prefillUntil.Sub(now)
	if ahead > room.prefillAhead && c.prefillMS(t, p.config.PrefillMSPerToken) > 0 {
		return false
	}
	t.refresh(now)
	with := t.forecast
	with.Add(c.sequence)
	return with.Fits(room.memory*t.capacity(), room.overflow)
}

// unreachableShare is how far steps may grow beyond the step of one sequence
// where the engine cannot keep the bound. Without it a slow engine would run its
// sequences one by one and most callers would be refused.
const unreachableShare = 1.25

// stepBound returns the longest planned decode step in milliseconds: the
// objective's, or what the engines need for a batch worth running.
func (p *Pool) stepBound() float64 {
	return max(p.bounds.stepMS, unreachableShare*p.steps.At(1))
}

// room is how far a request may fill a target.
type room struct {
	batch        float64 // share of the largest batch
	memory       float64 // share of the memory
	overflow     float64 // accepted probability of overflow
	prefillAhead time.Duration
}

// roomFor returns the room for a request. Urgent requests may use the reserve,
// and one whose caller waits in the midst of an answer more than that: it
// stalls for certain while it waits, but others only perhaps when it runs.
func (p *Pool) roomFor(r *Request) room {
	full := room{batch: 1, memory: p.bounds.memory, overflow: p.bounds.overflow, prefillAhead: prefillAhead}
	switch {
	case r.Produced > 0:
		full.batch = resumedBatch
		full.overflow = max(resumedOverflow, p.bounds.overflow)
		full.prefillAhead = resumedPrefillAhead
	case r.Priority < urgentPriority:
		full.batch -= reserveShare
		full.memory -= reserveShare
	}
	return full
}

// candidate is a request under decision.
type candidate struct {
	request  *Request
	sequence memory.Sequence
	expected float64 // output tokens to come
	cached   []int   // leading prompt blocks held, by target slot
}

// uncached returns the prompt tokens that the target must compute.
func (c *candidate) uncached(t *targetState) float64 {
	held := 0
	if t.slot < len(c.cached) {
		held = c.cached[t.slot] * prefixBlockTokens
	}
	return max(0, float64(c.request.PromptTokens+c.request.Produced-held))
}

func (c *candidate) prefillMS(t *targetState, perToken float64) float64 {
	return c.uncached(t) * perToken
}
