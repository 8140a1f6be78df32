package placement

import (
	"math"

	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/policy"
)

// Ahead returns how many unread prompt tokens may be ahead of a run with a latency objective.
func Ahead(objectiveSeconds float64) int {
	return int(maxPrefillWaitShare * objectiveSeconds * prefillTokensPerSecond)
}

// TokensIn returns how many prompt tokens an engine prefills in a time.
func TokensIn(seconds float64) int { return int(seconds * prefillTokensPerSecond) }

// MissingTokens returns how many tokens must become free at an engine until the run has room
// there, negative if it has. Without a slot, it is the memory of the engine.
func MissingTokens(l inflight.Load, engine *policy.Engine, need Requirements) int {
	if l.Runs >= engine.Slots {
		return engine.MemoryTokens
	}
	return int(math.Ceil(float64(peakTokens(l, need)+need.Reserve) - maxMemoryShare*float64(engine.MemoryTokens)))
}
