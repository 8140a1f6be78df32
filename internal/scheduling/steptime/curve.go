// Package steptime learns how long a decode step takes at a given number of
// sequences in the batch.
package steptime

import "math"

const (
	// Forgetting per report: a report counts half after about 70 others.
	decayPerReport = 0.99
	// aboveWeight is the weight of a report above the fit against one below it.
	// Steps are lengthened by prefill and pauses but never shortened, so that
	// the decode time lies near the low end of the reports.
	slowReportWeight = 0.05
	// outlierFactor bounds how far above the fit a report counts.
	outlierFactor = 1.5
	// The prior: 12 ms for a step and 0.25 ms for each sequence, with the
	// weight of priorWeight reports at two batch sizes.
	priorBase       = 12.0
	priorSlope      = 0.25
	priorWeight     = 2.0
	priorSmallBatch = 1.0
	priorLargeBatch = 48.0
)

// Curve fits stepMS = base + slope*sequences by least squares with forgetting.
// It is not safe for concurrent use.
type Curve struct {
	weight, sumN, sumNN, sumMS, sumNMS float64
	base, slope                        float64
}

// NewCurve returns a Curve that knows the prior alone.
func NewCurve() *Curve {
	c := &Curve{base: priorBase, slope: priorSlope}
	for _, n := range []float64{priorSmallBatch, priorLargeBatch} {
		c.add(n, priorBase+priorSlope*n, priorWeight)
	}
	return c
}

// Observe learns from a report of a step with a number of sequences.
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

// At returns the expected step in milliseconds.
func (c *Curve) At(sequences float64) float64 { return c.base + c.slope*sequences }

// Slope returns the milliseconds that one more sequence adds to a step.
func (c *Curve) Slope() float64 { return c.slope }

// Largest returns the largest batch whose step stays within boundMS, at least 1.
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

// fit solves the normal equations. With all reports at one batch size the slope
// stays and only the base moves.
func (c *Curve) fit() {
	squaredDeviation := c.sumNN - c.sumN*c.sumN/c.weight
	if squaredDeviation > c.weight {
		c.slope = math.Max(0, (c.sumNMS-c.sumN*c.sumMS/c.weight)/squaredDeviation)
	}
	c.base = math.Max(0, (c.sumMS-c.slope*c.sumN)/c.weight)
}
