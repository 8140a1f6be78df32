// Package observer keeps the table of targets and polls those that this host observes.
// Rendezvous hashing chooses one observing host per target. While hosts disagree about
// the members, two of them may observe the same target; the later of their rows wins.
package observer

import (
	"time"

	"corianderhitch/api/control"
	"corianderhitch/internal/agent/gossip"
	"corianderhitch/internal/platform"
)

// Supersedes reports whether row a replaces row b of the same target.
func Supersedes(a, b control.TargetState) bool {
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	if a.Owner != b.Owner {
		return a.Owner > b.Owner
	}
	return a.Observed.After(b.Observed)
}

// sameExceptLoad reports whether two rows differ at most in the load and its time. The
// load's role, memory size and loaded models count as part of the row.
func sameExceptLoad(a, b control.TargetState) bool {
	return a.Target == b.Target && a.Healthy == b.Healthy && a.Owner == b.Owner && a.Left == b.Left && a.ListedLeaving == b.ListedLeaving &&
		a.Load.Role == b.Load.Role && a.Load.TotalBlocks == b.Load.TotalBlocks && sameLoaded(a, b)
}

// sameLoaded reports whether both rows list the same models and adapters, in the same
// order.
func sameLoaded(a, b control.TargetState) bool {
	if len(a.Load.Loaded) != len(b.Load.Loaded) {
		return false
	}
	for i, l := range a.Load.Loaded {
		other := b.Load.Loaded[i]
		if l.Model != other.Model || l.Version != other.Version || len(l.Adapters) != len(other.Adapters) {
			return false
		}
		for j := range l.Adapters {
			if l.Adapters[j] != other.Adapters[j] {
				return false
			}
		}
	}
	return true
}

func rowHash(r control.TargetState) uint64 {
	return gossip.Hash(r.Name, r.Owner, r.Version)
}

// isValid reports whether a row from a peer is complete enough to be stored.
func isValid(r control.TargetState) bool {
	known := r.Kind == platform.TargetEngine || r.Kind == platform.TargetService
	return r.Name != "" && known && r.Version > 0
}

// overlay is what peers or gateways have reported of a target since its row was
// written. Each part applies until it expires; leaving ends earlier if the host that
// confirmed it clears it.
type overlay struct {
	leavingUntil time.Time
	confirmedBy  string // owner of the last row that was leaving; empty if none has come since the event
	downUntil    time.Time
}
