package scheduling

import (
	"math"

	"corianderhitch/internal/document"
)

// bounds are the operating point that an environment's objectives choose.
type operatingPoint struct {
	maxOverflowProbability float64 // accepted probability that a target's memory overflows
	maxStepMS              float64 // longest planned decode step
	maxMemoryShare         float64 // share of a target's memory that may be planned
	tailWeight             float64 // weight of the inter-token tail, 0 to 1
	memoryWeight           float64 // weight of stalls and preemptions, 0 to 1
}

const (
	// With the whole weight on the tail, steps are planned at stepShareMin of
	// the inter-token bound, and with evenTail or less at stepShareMax: shorter
	// steps mean smaller batches and longer waits.
	minStepShare      = 0.8
	maxStepShare      = 0.975
	equalTailWeight   = 1.0 / 3
	equalMemoryWeight = 1 - equalTailWeight
	// The accepted overflow probability is evenOverflow of OverflowPercent with
	// even weights, all of it without weight on stalls and preemptions, and with
	// the whole weight on them smaller by overflowDecades powers of ten.
	equalWeightsOverflowShare = 0.67
	overflowDecades           = 6.0
	// With the whole weight on stalls and preemptions, this share of the memory
	// stays free for what the forecast cannot see: heavy tails that it has not
	// met yet, and blocks that sequences stop sharing.
	memoryReserve = 0.05
)

// boundsOf turns the weights of the document into an operating point.
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

// stepShare returns the share of the inter-token bound that steps may take.
func plannedStepShare(tailWeight float64) float64 {
	excess := max(0, tailWeight-equalTailWeight) / (1 - equalTailWeight)
	return maxStepShare - (maxStepShare-minStepShare)*excess
}

// overflowShare returns the part of the accepted overflow probability that the
// weight of stalls and preemptions leaves.
func acceptedOverflowShare(memoryWeight float64) float64 {
	if memoryWeight <= equalMemoryWeight {
		return 1 - (1-equalWeightsOverflowShare)*memoryWeight/equalMemoryWeight
	}
	return equalWeightsOverflowShare * math.Pow(10, -overflowDecades*aboveEqualWeight(memoryWeight))
}

// beyondEven returns how far the weight of stalls and preemptions goes beyond
// that of even weights, from 0 to 1.
func aboveEqualWeight(memoryWeight float64) float64 {
	return max(0, memoryWeight-equalMemoryWeight) / (1 - equalMemoryWeight)
}
