package scheduler

import (
	"time"

	"corianderhitch/api/control"
)

// maxGrantAge bounds how long a slot stays reserved for a generation whose end isn't
// reported. The longest generations take some minutes.
const maxGrantAge = 20 * time.Minute

// grant is a request that occupies a slot on a target.
type grant struct {
	args      control.AdmitArgs
	target    control.TargetState
	reason    string
	grantedAt time.Time
}

// isOrphaned reports whether the gateway that holds the slot has crashed, left or
// restarted, so that nobody will release it, or the grant is older than maxGrantAge.
// The slot of an unknown host is kept until then.
func (g grant) isOrphaned(now time.Time, hosts map[string]control.Member, incarnations map[string]int64) bool {
	if now.Sub(g.grantedAt) >= maxGrantAge {
		return true
	}
	if m, known := hosts[g.args.Host]; known {
		if m.State == control.MemberDead || m.State == control.MemberLeft {
			return true
		}
	}
	return g.args.Incarnation != 0 && g.args.Incarnation < incarnations[g.args.Host]
}
