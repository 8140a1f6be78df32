package length

import "math"

const (
	// uninformedMaxTokens is the length in tokens up to which uninformedCurve spreads
	// the probability.
	uninformedMaxTokens = 4096
	// minTailSurvival is the probability below which the tail of a curve carries no
	// information; a power law replaces it.
	minTailSurvival = 1e-5
)

// Curve is a survival curve of the total output length: survival[i] is the
// probability that an output has at least edges[i] tokens. It is immutable.
type Curve struct {
	survival [Buckets + 1]float32
}

// uninformedCurve is the prior where no samples exist: uniform over the logarithm
// of the length, up to uninformedMaxTokens.
var uninformedCurve = func() *Curve {
	last := bucketOf(uninformedMaxTokens)
	c := &Curve{}
	for i := range c.survival {
		c.survival[i] = float32(math.Max(0, 1-float64(i)/float64(last)))
	}
	return c
}()

// newCurve computes the Kaplan-Meier estimate over the buckets of h, with
// priorSamples further samples distributed as prior.
func newCurve(h *Histogram, prior *Curve, priorSamples float64) *Curve {
	scale := 1 / h.weight()
	atRisk := priorSamples + h.Samples()
	c := &Curve{}
	surviving := 1.0
	for i := range h.ended {
		c.survival[i] = float32(surviving)
		ended := float64(h.ended[i])*scale + priorSamples*float64(prior.survival[i]-prior.survival[i+1])
		censored := float64(h.censored[i]) * scale
		if exposed := atRisk - censored/2; exposed > 0 {
			surviving *= math.Max(0, 1-ended/exposed)
		}
		atRisk = math.Max(0, atRisk-ended-censored)
	}
	c.survival[Buckets] = float32(surviving)
	return c
}

// Survival returns the probability that an output has more than n tokens in total.
func (c *Curve) Survival(n float64) float64 {
	if n < 1 {
		return 1
	}
	i := bucketOf(int(n))
	lowEdge, highEdge := edges[i], edges[i+1]
	fraction := math.Min(1, (n-lowEdge)/(highEdge-lowEdge))
	survivalLow := float64(c.survival[i])
	return survivalLow + fraction*(float64(c.survival[i+1])-survivalLow)
}

// ConditionalSurvival returns the probability that a generation which has already
// produced the given number of tokens will produce more than further ones.
func (c *Curve) ConditionalSurvival(produced, further float64) float64 {
	return c.ConditionalSurvivalFrom(produced, c.Survival(produced), further)
}

// ConditionalSurvivalFrom is ConditionalSurvival for callers that have already
// computed survivalNow, which is Survival(produced).
func (c *Curve) ConditionalSurvivalFrom(produced, survivalNow, further float64) float64 {
	if survivalNow < minTailSurvival {
		return produced / (produced + further)
	}
	return math.Min(1, c.Survival(produced+further)/survivalNow)
}

// QuantileRemaining returns the smallest number of further tokens that a generation
// with produced tokens does not exceed with probability q. It is at most
// limit-produced, where limit is the maximum of the total output.
func (c *Curve) QuantileRemaining(produced int, q float64, limit int) int {
	maxRemaining := max(0, limit-produced)
	survivalNow := c.Survival(float64(produced))
	low, high := 0, maxRemaining
	for low < high {
		middle := (low + high) / 2
		if c.ConditionalSurvivalFrom(float64(produced), survivalNow, float64(middle)) > 1-q {
			low = middle + 1
			continue
		}
		high = middle
	}
	return low
}

// MeanRemaining returns the expected number of further tokens of a generation with
// produced tokens, at most limit-produced. It integrates the conditional survival
// in steps that grow with the distance.
func (c *Curve) MeanRemaining(produced, limit int) float64 {
	maxRemaining := float64(max(0, limit-produced))
	survivalNow := c.Survival(float64(produced))
	sum, offset := 0.0, 0.0
	for step := 1.0; offset < maxRemaining; step = math.Max(1, offset/2) {
		next := math.Min(maxRemaining, offset+step)
		survival := c.ConditionalSurvivalFrom(float64(produced), survivalNow, (offset+next)/2)
		sum += survival * (next - offset)
		offset = next
	}
	return sum
}
