package placement

import "math"

const (
	// sameDomainFactor prefers targets in this host's failure domain when all else
	// is about equal: traffic between domains is expensive.
	sameDomainFactor = 0.9
	// defaultLatency is assumed for a target that has not answered yet, in seconds.
	defaultLatency = 0.015
	// minLatency is the lowest latency that a score uses, in seconds: differences of
	// the network path must not outweigh a queue.
	minLatency = 0.01
	// warmupFactor makes a target that is still warming up score like one with twice
	// the work.
	warmupFactor = 2
)

// ChoosePlainTarget returns the index of the best target for a plain call, or -1.
// A target is scored by its expected wait: its requests in flight per slot, times
// its average latency, times its failure cost. Targets in tried are left out.
func ChoosePlainTarget(candidates []Candidate, domain string, tried map[string]bool) int {
	best, bestScore := -1, math.Inf(1)
	for i, c := range candidates {
		if tried[c.Target.Key()] {
			continue
		}
		if score := plainScore(c, domain); score < bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// plainScore returns the expected time to a successful answer in seconds; lower is
// better.
func plainScore(c Candidate, domain string) float64 {
	latency := c.Latency
	if latency == 0 {
		latency = defaultLatency
	}
	slots := float64(max(1, c.Target.Slots))
	score := math.Max(minLatency, latency) * (1 + float64(c.Load.Runs)/slots) * c.FailureCost
	if c.Target.WarmupLeft > 0 {
		score *= warmupFactor
	}
	if c.Target.Domain == domain {
		score *= sameDomainFactor
	}
	return score
}
