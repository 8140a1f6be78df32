package scheduling

import (
	"math"

	"corianderhitch/internal/document"
)

// bounds are the operating point that an environment's objectives choose.
type bounds struct {
	overflow    float64 // accepted probability that a target's memory overflows
	stepMS      float64 // longest planned decode step
	memory      float64 // share of a target's memory that may be planned
	tailShare   float64 // weight of the inter-token tail, 0 to 1
	memoryShare float64 // weight of stalls and preemptions, 0 to 1
}

const (
	// With the whole weight on the tail, steps are planned at stepShareMin of
	// the inter-token bound, and with evenTail or less at stepShareMax: shorter
	// steps mean smaller batches and longer waits.
	stepShareMin = 0.8
	stepShareMax = 0.975
	evenTail     = 1.0 / 3
	evenMemory   = 1 - evenTail
	// The accepted overflow probability is evenOverflow of OverflowPercent with
	// even weights, all of it without weight on stalls and preemptions, and with
	// the whole weight on them smaller by overflowDecades powers of ten.
	evenOverflow    = 0.67
	overflowDecades = 6.0
	// With the whole weight on stalls and preemptions, this share of the memory
	// stays free for what the forecast cannot see: heavy tails that it has not
	// met yet, and blocks that sequences stop sharing.
	memoryReserve = 0.05
)

// boundsOf turns the weights of the document into an operating point.
func boundsOf(o document.Objectives) bounds {
	tail := 0.5
	if sum := o.StallTime + o.Preemptions + o.InterTokenTail; sum > 0 {
		tail = o.InterTokenTail / sum
	}
	memory := 1 - tail
	return bounds{
		overflow:    o.OverflowPercent / 100 * overflowShare(memory),
		stepMS:      float64(o.InterTokenMS) * stepShare(tail),
		memory:      1 - memoryReserve*beyondEven(memory),
		tailShare:   tail,
		memoryShare: memory,
	}
}

// stepShare returns the share of the inter-token bound that steps may take.
func stepShare(tail float64) float64 {
	beyond := max(0, tail-evenTail) / (1 - evenTail)
	return stepShareMax - (stepShareMax-stepShareMin)*beyond
}

// overflowShare returns the part of the accepted overflow probability that the
// weight of stalls and preemptions leaves.
func overflowShare(memory float64) float64 {
	if memory <= evenMemory {
		return 1 - (1-evenOverflow)*memory/evenMemory
	}
	return evenOverflow * math.Pow(10, -overflowDecades*beyondEven(memory))
}

// beyondEven returns how far the weight of stalls and preemptions goes beyond
// that of even weights, from 0 to 1.
func beyondEven(memory float64) float64 {
	return max(0, memory-evenMemory) / (1 - evenMemory)
}
