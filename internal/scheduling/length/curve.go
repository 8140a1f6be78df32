package length

import "math"

const (
	// firstGuess is the longest output that the distribution for no samples
	// spreads over, in tokens.
	firstGuess = 4096
	// tinySurvival is the probability below which the tail of a curve says
	// nothing, so that a power law continues it.
	tinySurvival = 1e-5
)

// Curve is the distribution of the whole output length: survival[i] is the
// probability that an output has at least edges[i] tokens. It is immutable.
type Curve struct {
	survival [Buckets + 1]float32
}

// uninformed is the distribution for no samples: even over the logarithm of the
// length up to firstGuess.
var uninformed = func() *Curve {
	last := bucketOf(firstGuess)
	c := &Curve{}
	for i := range c.survival {
		c.survival[i] = float32(math.Max(0, 1-float64(i)/float64(last)))
	}
	return c
}()

// newCurve estimates the survival by Kaplan and Meier's product over the
// buckets, after adding priorSamples samples distributed as prior.
func newCurve(h *Histogram, prior *Curve, priorSamples float64) *Curve {
	scale := 1 / h.weight()
	atRisk := priorSamples + h.Samples()
	c := &Curve{}
	alive := 1.0
	for i := range h.ended {
		c.survival[i] = float32(alive)
		ended := float64(h.ended[i])*scale + priorSamples*float64(prior.survival[i]-prior.survival[i+1])
		censored := float64(h.censored[i]) * scale
		if exposed := atRisk - censored/2; exposed > 0 {
			alive *= math.Max(0, 1-ended/exposed)
		}
		atRisk = math.Max(0, atRisk-ended-censored)
	}
	c.survival[Buckets] = float32(alive)
	return c
}

// Survival returns the probability that an output has more than n tokens.
func (c *Curve) Survival(n float64) float64 {
	if n < 1 {
		return 1
	}
	i := bucketOf(int(n))
	low, high := edges[i], edges[i+1]
	part := math.Min(1, (n-low)/(high-low))
	s := float64(c.survival[i])
	return s + part*(float64(c.survival[i+1])-s)
}

// Remaining returns the probability that an output which has produced tokens
// already has more than further tokens to come.
func (c *Curve) ConditionalSurvival(produced, further float64) float64 {
	return c.ConditionalSurvivalFrom(produced, c.Survival(produced), further)
}

// Conditional is Remaining for a caller that has computed Survival(produced).
func (c *Curve) ConditionalSurvivalFrom(produced, survivalNow, further float64) float64 {
	if survivalNow < tinySurvival {
		return produced / (produced + further)
	}
	return math.Min(1, c.Survival(produced+further)/survivalNow)
}

// Quantile returns the number of further tokens that the output of a generation
// with produced tokens stays within, with probability q. It is at most
// limit-produced.
func (c *Curve) QuantileRemaining(produced int, q float64, limit int) int {
	left := max(0, limit-produced)
	now := c.Survival(float64(produced))
	low, high := 0, left
	for low < high {
		middle := (low + high) / 2
		if c.ConditionalSurvivalFrom(float64(produced), now, float64(middle)) > 1-q {
			low = middle + 1
			continue
		}
		high = middle
	}
	return low
}

// Mean returns the expected number of further tokens, at most limit-produced.
func (c *Curve) MeanRemaining(produced, limit int) float64 {
	left := float64(max(0, limit-produced))
	now := c.Survival(float64(produced))
	sum, at := 0.0, 0.0
	for step := 1.0; at < left; step = math.Max(1, at/2) {
		next := math.Min(left, at+step)
		alive := c.ConditionalSurvivalFrom(float64(produced), now, (at+next)/2)
		sum += alive * (next - at)
		at = next
	}
	return sum
}
