package placement

import "math"

// homeWeight is how many times more often a target in this host's failure domain is drawn than one
// elsewhere: traffic between domains is expensive.
const homeWeight = 3

// DifferInSpeed reports whether a target has a learned factor other than 1.
func DifferInSpeed(candidates []Candidate) bool {
	for i := range candidates {
		if candidates[i].slowness() != 1 {
			return true
		}
	}
	return false
}

// ChoosePlainTargetBySpeed returns the index of a target for a plain call, or -1, if targets differ
// in speed. It draws two targets, faster ones in proportion to their speed and slower ones more
// rarely than that, and takes the one with the shorter expected wait: all hosts share one estimate, and
// would otherwise all choose the target that it makes look best. draws are random numbers in [0, 1).
// Targets in tried are left out.
func ChoosePlainTargetBySpeed(candidates []Candidate, domain string, tried map[string]bool, draws [2]float64) int {
	weights, total := make([]float64, len(candidates)), 0.0
	for i := range candidates {
		c := &candidates[i]
		if tried[c.Target.Key()] {
			continue
		}
		weights[i] = 1 / (c.slowness() * math.Max(1, c.slowness()) * c.FailureCost)
		if c.Target.Domain == domain {
			weights[i] *= homeWeight
		}
		total += weights[i]
	}
	best := -1
	for _, draw := range draws {
		i := drawWeighted(weights, draw*total)
		if i >= 0 && (best < 0 || plainSpeedScore(candidates[i], domain) < plainSpeedScore(candidates[best], domain)) {
			best = i
		}
	}
	return best
}

// drawWeighted returns the last index up to which the weights sum to at most rest, among those with
// a weight, or -1 if none has one.
func drawWeighted(weights []float64, rest float64) int {
	last := -1
	for i, w := range weights {
		if w == 0 {
			continue
		}
		last = i
		if rest -= w; rest < 0 {
			break
		}
	}
	return last
}

// plainSpeedScore is plainScore with the learned factor in place of this host's own average latency.
func plainSpeedScore(c Candidate, domain string) float64 {
	c.Latency = defaultLatency * c.slowness()
	return plainScore(c, domain)
}
