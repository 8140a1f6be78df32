// Package steptime learns how long a decode step takes at a given number of
// sequences in the batch.
package steptime

import "math"

const (
	// decayPerReport scales the weight of earlier reports at each new one. The
	// weight of a report halves after about 70 others.
	decayPerReport = 0.99
	// slowReportWeight is the weight of a report above the fitted line, relative to
	// one below it. Prefill and pauses lengthen steps but nothing shortens them, so
	// that the pure decode time is near the low end of the reports.
	slowReportWeight = 0.05
	// outlierFactor caps a report at this multiple of the fitted value.
	outlierFactor = 1.5
	// The prior is 12 ms per step plus 0.25 ms per sequence. It has the weight of
	// priorWeight reports at each of two batch sizes.
	priorBase       = 12.0
	priorSlope      = 0.25
	priorWeight     = 2.0
	priorSmallBatch = 1.0
	priorLargeBatch = 48.0
)

// Curve fits stepMS = base + slope*sequences by least squares, with weights that
// decay with age. It is not safe for concurrent use.
type Curve struct {
	weight, sumN, sumNN, sumMS, sumNMS float64
	base, slope                        float64
}

// NewCurve returns a Curve that holds only the prior.
func NewCurve() *Curve {
	c := &Curve{base: priorBase, slope: priorSlope}
	for _, n := range []float64{priorSmallBatch, priorLargeBatch} {
		c.add(n, priorBase+priorSlope*n, priorWeight)
	}
	return c
}

// Observe adds the reported duration of a step with the given number of sequences.
// It ignores reports without sequences or duration.
func (c *Curve) Observe(sequences int, stepMS float64) {
	if sequences < 1 || stepMS <= 0 {
		return
	}
	n := float64(sequences)
	expected := c.At(n)
	weight := 1.0
	if stepMS > expected {
		weight = slowReportWeight
	}
	c.decay()
	c.add(n, math.Min(stepMS, outlierFactor*expected), weight)
	c.fit()
}

// At returns the expected step time in milliseconds.
func (c *Curve) At(sequences float64) float64 { return c.base + c.slope*sequences }

// Slope returns by how many milliseconds one more sequence lengthens a step.
func (c *Curve) Slope() float64 { return c.slope }

// LargestBatch returns the largest number of sequences whose expected step time is
// at most boundMS, but at least 1.
func (c *Curve) LargestBatch(boundMS float64) int {
	if c.slope <= 0 {
		return math.MaxInt32
	}
	return int(math.Min(math.MaxInt32, math.Max(1, (boundMS-c.base)/c.slope)))
}

func (c *Curve) decay() {
	c.weight *= decayPerReport
	c.sumN *= decayPerReport
	c.sumNN *= decayPerReport
	c.sumMS *= decayPerReport
	c.sumNMS *= decayPerReport
}

func (c *Curve) add(n, ms, weight float64) {
	c.weight += weight
	c.sumN += weight * n
	c.sumNN += weight * n * n
	c.sumMS += weight * ms
	c.sumNMS += weight * n * ms
}

// fit solves the normal equations. If nearly all reports are at one batch size, it
// keeps the slope and adjusts only the base.
func (c *Curve) fit() {
	squaredDeviation := c.sumNN - c.sumN*c.sumN/c.weight
	if squaredDeviation > c.weight {
		c.slope = math.Max(0, (c.sumNMS-c.sumN*c.sumMS/c.weight)/squaredDeviation)
	}
	c.base = math.Max(0, (c.sumMS-c.slope*c.sumN)/c.weight)
}
