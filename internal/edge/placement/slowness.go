package placement

import (
	"math"
	"time"

	"corianderhitch/internal/edge/policy"
)

const (
	// latePenalty is what an engine adds to a score, beyond waitPenalty, for each latency objective by which
	// its learned speed delays the first event: a slow engine makes runs late before it is full.
	latePenalty = 0.6
	// typicalStep is a step of a typical engine that decodes a full batch and prefills a chunk.
	typicalStep = 17 * time.Millisecond
	// gapPenalty is the same for the time between two events beyond a share of the objective for it. The
	// prompt of a short run delays the events of long ones until it has been prefilled; a long run stays
	// for seconds, in which the engine may become slower still.
	gapPenalty    = 1.2
	maxGapPenalty = 1.2
	gapShare      = 0.5
	longGapShare  = 0.4
	// slowPenalty is what each unit of slowness above 1 adds to the score for a move or a replica: the
	// copied run goes on there for the rest of its time.
	slowPenalty    = 0.1
	maxSlowPenalty = 0.4
)

// slowness returns the learned factor of the target, 1 if none is known.
func (c *Candidate) slowness() float64 {
	if c.Slowness <= 0 {
		return 1
	}
	return c.Slowness
}

// expectedPrefill returns the time that the engine takes to prefill prompt tokens.
func (c *Candidate) expectedPrefill(tokens int) time.Duration {
	return time.Duration(c.slowness() * float64(PrefillTime(tokens)))
}

// slownessPenalty returns what the learned speed of an engine adds to its score, apart from the
// longer wait for the first event. It is 0 for an engine of typical speed.
func slownessPenalty(c *Candidate, engine *policy.Engine, need Requirements) float64 {
	f := c.slowness()
	if f == 1 {
		return 0
	}
	if need.Move || need.Limit > 0 {
		return math.Min(maxSlowPenalty, slowPenalty*(f-1))
	}
	penalty := 0.0
	if need.Objective > 0 {
		penalty = latePenalty * c.excess(PrefillTime(c.Load.Unread+need.Unread), need.Objective, 0)
	}
	if need.GapObjective > 0 {
		gap := time.Duration(engine.TokensPerEvent) * typicalStep
		share := gapShare
		if need.Output > shortRunTokens {
			share = longGapShare
		}
		penalty += math.Min(maxGapPenalty, gapPenalty*c.excess(gap, need.GapObjective, share))
	}
	return penalty
}

// excess returns by how much more a duration exceeds a share of its objective at the engine than it
// nominally does, in objectives.
func (c *Candidate) excess(nominal, objective time.Duration, share float64) float64 {
	n := nominal.Seconds() / objective.Seconds()
	return math.Max(0, c.slowness()*n-share) - math.Max(0, n-share)
}
