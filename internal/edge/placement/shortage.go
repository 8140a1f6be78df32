package placement

import (
	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/policy"
)

// Decision names the engine chosen for a run.
type Decision struct {
	Target   string        // incarnation; empty if none has room
	Before   inflight.Load // of the target, for the log
	Shortage Shortage      // why there is none
}

// Shortage counts why no engine could take a run.
type Shortage struct {
	Tried   int // out of the question for this run
	Memory  int // without memory or a slot
	Reading int // with too many prompts ahead
	// HeldPercent is the part of all engines' memory that runs hold now.
	HeldPercent int
}

// Explain returns the shortage that a run met.
func CountShortage(candidates []Candidate, engine *policy.Engine, need Requirements, tried map[string]bool) Shortage {
	var s Shortage
	held := 0
	for _, c := range candidates {
		held += c.Load.Held
		switch {
		case tried[c.Target.Key()]:
			s.Tried++
		case !hasMemory(c.Load, engine, need):
			s.Memory++
		case !readsInTime(c.Load, need):
			s.Reading++
		}
	}
	s.HeldPercent = 100 * held / max(1, len(candidates)*engine.MemoryTokens)
	return s
}
