package fleet

import "time"

// targetsGrace bounds the wait of a new gateway for a healthy target. Agents
// that start at the same time know their targets within one poll and one round
// of heartbeats, well under this time. After it a gateway serves all the same,
// so that callers get typed refusals instead of no gateway at all.
const targetsGrace = 5 * time.Second

// Settled tells whether the gateway has a document, and either knows a healthy
// target or has waited for one long enough.
func (f *Fleet) Ready(now time.Time) bool {
	view := f.View()
	if view.Index == nil {
		return false
	}
	return view.healthyTarget() || now.Sub(f.started) > targetsGrace
}

func (v *View) healthyTarget() bool {
	for _, t := range v.Targets {
		if t.Healthy && !t.Leaving {
			return true
		}
	}
	return false
}
