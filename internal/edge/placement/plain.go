package placement

import "math"

const (
	// sameDomainBonus prefers targets in the own failure domain when all else is
	// about equal: bytes between domains are dear.
	sameDomainBonus = 0.9
	// usualLatency stands for a target without answers yet, in seconds.
	usualLatency = 0.015
	// leastLatency is the least latency that counts, so that a difference of a link
	// does not outweigh a queue.
	leastLatency = 0.01
	// coldCost makes a target that has just started as costly as one with twice
	// the work.
	coldCost = 2
)

// Plain returns the index of the best target for a plain call, or -1. Each
// target is judged by the expected wait: its requests in flight by its places,
// times its usual latency, times the cost of its failures. Targets in tried are
// left out.
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

// plainScore is an expected time to a good answer in seconds; lower is better.
func plainScore(c Candidate, domain string) float64 {
	latency := c.Latency
	if latency == 0 {
		latency = usualLatency
	}
	places := float64(max(1, c.Target.Slots))
	score := math.Max(leastLatency, latency) * (1 + float64(c.Load.Runs)/places) * c.FailureCost
	if c.Target.WarmupLeft > 0 {
		score *= coldCost
	}
	if c.Target.Domain == domain {
		score *= sameDomainBonus
	}
	return score
}
