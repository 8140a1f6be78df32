package placement

import (
	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/policy"
)

// Decision names the engine chosen for a run.
type Decision struct {
	Target   string        // incarnation; empty if no engine has room
	Before   inflight.Load // load of the target before the run, for the log
	Shortage Shortage      // why no engine has room
}

// Shortage counts the engines that cannot take a run, by reason.
type Shortage struct {
	Tried   int // excluded for this run
	Memory  int // without enough memory or a free slot
	Reading int // with too many prompt tokens to prefill ahead of the run
	// HeldPercent is the percentage of all engines' memory that runs hold now.
	HeldPercent int
}

// CountShortage returns why the candidates could not take a run.
func CountShortage(candidates []Candidate, engine *policy.Engine, need Requirements, tried map[string]bool) Shortage {
	var s Shortage
	held := 0
	for _, c := range candidates {
		held += c.Load.Held
		switch {
		case tried[c.Target.Key()]:
			s.Tried++
		case !hasRoom(c.Load, engine, need):
			s.Memory++
		case !prefillsInTime(&c, need):
			s.Reading++
		}
	}
	s.HeldPercent = 100 * held / max(1, len(candidates)*engine.MemoryTokens)
	return s
}
