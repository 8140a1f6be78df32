package scheduling

import "corianderhitch/internal/document"

// bounds are the operating point that an environment's objectives choose.
type bounds struct {
	overflow    float64 // accepted probability that a target's memory overflows
	stepMS      float64 // longest planned decode step
	tailShare   float64 // weight of the inter-token tail, 0 to 1
	memoryShare float64 // weight of stalls and preemptions, 0 to 1
}

const (
	// With the whole weight on the tail, steps are planned at stepShareMin of
	// the inter-token bound, and with evenTail or less at stepShareMax: shorter
	// steps mean smaller batches and longer waits.
	stepShareMin = 0.8
	stepShareMax = 0.97
	evenTail     = 1.0 / 3
	// With the whole weight on stalls and preemptions, the accepted overflow
	// probability is this share of OverflowPercent, and with none the whole.
	overflowShareMin = 0.5
)

// boundsOf turns the weights of the document into an operating point.
func boundsOf(o document.Objectives) bounds {
	tail := 0.5
	if sum := o.StallTime + o.Preemptions + o.InterTokenTail; sum > 0 {
		tail = o.InterTokenTail / sum
	}
	memory := 1 - tail
	return bounds{
		overflow:    o.OverflowPercent / 100 * (1 - (1-overflowShareMin)*memory),
		stepMS:      float64(o.InterTokenMS) * stepShare(tail),
		tailShare:   tail,
		memoryShare: memory,
	}
}

// stepShare returns the share of the inter-token bound that steps may take.
func stepShare(tail float64) float64 {
	beyond := max(0, tail-evenTail) / (1 - evenTail)
	return stepShareMax - (stepShareMax-stepShareMin)*beyond
}
