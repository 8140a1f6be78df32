package fleet

import "time"

// startupGrace bounds the wait of a new gateway for a healthy target. Agents that
// start at the same time know their targets within one poll and one round of
// heartbeats, well under this time. After it the gateway serves without one, so that
// callers get typed rejections instead of no gateway at all.
const startupGrace = 5 * time.Second

// Ready reports whether the gateway has a document, and either knows a healthy target
// or has waited for one for startupGrace.
func (f *Fleet) Ready(now time.Time) bool {
	view := f.View()
	if view.Index == nil {
		return false
	}
	return view.hasHealthyTarget() || now.Sub(f.started) > startupGrace
}

func (v *View) hasHealthyTarget() bool {
	for _, t := range v.Targets {
		if t.Healthy && !t.Leaving {
			return true
		}
	}
	return false
}
