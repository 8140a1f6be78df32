package scheduler

import (
	"time"

	"corianderhitch/api/control"
)

// maxGrantLife bounds how long a place is held for a generation of which nothing
// is heard. The longest generations last some minutes.
const maxGrantLife = 20 * time.Minute

// grant is a place in use.
type grant struct {
	args   control.AdmitArgs
	target control.TargetState
	reason string
	at     time.Time
}

// lost tells whether the gateway that holds the place has died, so that nobody
// will return it. A host that is not known at all is given the full time.
func (g grant) lost(now time.Time, hosts map[string]control.Member, incarnations map[string]int64) bool {
	if now.Sub(g.at) >= maxGrantLife {
		return true
	}
	if m, known := hosts[g.args.Host]; known {
		if m.State == control.MemberDead || m.State == control.MemberLeft {
			return true
		}
	}
	return g.args.Incarnation != 0 && g.args.Incarnation < incarnations[g.args.Host]
}
