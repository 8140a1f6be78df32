package placement

import (
	"math"
	"time"

	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/policy"
)

// MaxPrefillWait returns how long the prompts ahead of a run with a latency objective may take.
func MaxPrefillWait(objective time.Duration) time.Duration {
	return time.Duration(maxPrefillWaitShare * float64(objective))
}

// MissingTokens returns how many tokens must become free at an engine until the run has room
// there, negative if it has: memory, or prompt tokens ahead that must be read. Without a slot,
// it is the memory of the engine.
func MissingTokens(l inflight.Load, engine *policy.Engine, need Requirements) int {
	if l.Runs >= engine.Slots {
		return engine.MemoryTokens
	}
	memory := float64(peakTokens(l, need)+need.Reserve) - maxMemoryShare*float64(engine.MemoryTokens)
	return int(math.Ceil(max(memory, float64(l.Unread)-prefillTokensPerSecond*need.MaxAhead.Seconds())))
}
