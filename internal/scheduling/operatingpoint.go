package scheduling

import (
	"math"

	"corianderhitch/internal/document"
)

// operatingPoint holds the bounds and weights that follow from an environment's
// objectives.
type operatingPoint struct {
	maxOverflowProbability float64 // accepted probability that a target's memory overflows, 0 to 1
	maxStepMS              float64 // longest planned decode step, in milliseconds
	maxMemoryShare         float64 // share of a target's memory that placements may use
	tailWeight             float64 // weight of the tail latency between tokens, 0 to 1
	memoryWeight           float64 // weight of stalls and preemptions, 0 to 1
}

const (
	// Steps are planned at minStepShare of the inter-token bound if the whole
	// weight is on the inter-token tail, and at maxStepShare if the tail has
	// equalTailWeight or less. Shorter steps mean smaller batches and longer waits.
	minStepShare = 0.8
	maxStepShare = 0.975
	// The weights of the inter-token tail and of stalls and preemptions together if
	// all three objectives have the same weight.
	equalTailWeight   = 1.0 / 3
	equalMemoryWeight = 1 - equalTailWeight
	// The accepted overflow probability is all of OverflowPercent if stalls and
	// preemptions have no weight, and equalWeightsOverflowShare of it with equal
	// weights. If they have the whole weight, it is smaller than with equal weights
	// by overflowDecades powers of ten.
	equalWeightsOverflowShare = 0.67
	overflowDecades           = 6.0
	// memoryReserve is the share of the memory that stays free if stalls and
	// preemptions have the whole weight. It covers what the forecast cannot
	// predict: outputs longer than any observed before, and blocks that sequences
	// stop sharing.
	memoryReserve = 0.05
)

// newOperatingPoint derives the operating point from the objectives of the
// environment document.
func newOperatingPoint(o document.Objectives) operatingPoint {
	tailWeight := 0.5
	if sum := o.StallTime + o.Preemptions + o.InterTokenTail; sum > 0 {
		tailWeight = o.InterTokenTail / sum
	}
	memoryWeight := 1 - tailWeight
	return operatingPoint{
		maxOverflowProbability: o.OverflowPercent / 100 * acceptedOverflowShare(memoryWeight),
		maxStepMS:              float64(o.InterTokenMS) * plannedStepShare(tailWeight),
		maxMemoryShare:         1 - memoryReserve*aboveEqualWeight(memoryWeight),
		tailWeight:             tailWeight,
		memoryWeight:           memoryWeight,
	}
}

// plannedStepShare returns the share of the inter-token bound that a decode step
// may take.
func plannedStepShare(tailWeight float64) float64 {
	excess := max(0, tailWeight-equalTailWeight) / (1 - equalTailWeight)
	return maxStepShare - (maxStepShare-minStepShare)*excess
}

// acceptedOverflowShare returns the share of OverflowPercent that is accepted at
// the given weight of stalls and preemptions.
func acceptedOverflowShare(memoryWeight float64) float64 {
	if memoryWeight <= equalMemoryWeight {
		return 1 - (1-equalWeightsOverflowShare)*memoryWeight/equalMemoryWeight
	}
	return equalWeightsOverflowShare * math.Pow(10, -overflowDecades*aboveEqualWeight(memoryWeight))
}

// aboveEqualWeight returns by how much the weight of stalls and preemptions
// exceeds equalMemoryWeight, scaled to 0 to 1.
func aboveEqualWeight(memoryWeight float64) float64 {
	return max(0, memoryWeight-equalMemoryWeight) / (1 - equalMemoryWeight)
}
