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
	reserveShare = 0.02
	// prefillAhead is the prompt work that may wait on a target. More would
	// only queue in the engine, where it can no longer be moved.
	prefillAhead = 20 * time.Millisecond
)

// admits is the Admitter: it tells whether the target can take the request now
// without likely overflow of its memory, too long steps, or prompts queueing up.
func (p *Pool) admits(now time.Time, t *targetState, c candidate) bool {
	if len(t.residents) == 0 {
		return true // else a request larger than the bounds would never run
	}
	if t.TotalBlocks == 0 {
		return len(t.residents) < unknownResidents
	}
	share := 1.0
	if c.request.Priority < urgentPriority {
		share -= reserveShare
	}
	if float64(len(t.residents)+1) > share*float64(p.steps.Largest(p.bounds.stepMS)) {
		return false
	}
	if c.prefillMS(t, p.config.PrefillMSPerToken) > 0 && t.prefillUntil.Sub(now) > prefillAhead {
		return false
	}
	t.refresh(now)
	with := t.forecast
	with.Add(c.sequence)
	return with.Fits(share*t.capacity(), p.bounds.overflow)
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
