// Package warmup decides how many requests this host may send to a target that is cold, so that all
// hosts together stay within the rate that the target's service states, without a message for each
// request. It reads no clock and does no I/O.
package warmup

import "corianderhitch/internal/edge/node"

const (
	// rateUse is the share of the stated rate that all hosts together may use in the long run.
	rateUse = 0.95
	// boundUse is the share of the bound of one second that is planned for. The rest is for hosts
	// whose lists of hosts differ: it allows a quarter more hosts that hold shares.
	boundUse = 0.8
	// newcomerUse is the share of what is planned for that hosts whose list is new may use
	// together. It is no more than the rest that boundUse leaves.
	newcomerUse = 0.25
)

// division is what all hosts together may send to a cold target, and how many of them share it.
// Zero means that nothing may be sent.
type division struct {
	perSecond float64
	// holders is how many hosts have a share. Each may send one request at any moment, so that in
	// one second all together send at most holders + perSecond.
	holders int
}

// divide returns the division of a service's rate under the bound.
func divide(rate float64, bound node.ColdBound) division {
	planned := boundUse * (bound.Factor*rate + bound.Slack)
	return newDivision(planned, min(rateUse*rate, planned-1))
}

// newcomers returns the part of the division that hosts with a new list share.
func (d division) newcomers() division {
	planned := newcomerUse * (float64(d.holders) + d.perSecond)
	return newDivision(planned, min(newcomerUse*d.perSecond, planned-1))
}

// newDivision returns a division that stays within planned requests in one second.
func newDivision(planned, perSecond float64) division {
	if perSecond <= 0 {
		return division{}
	}
	return division{perSecond: perSecond, holders: int(planned - perSecond)}
}

// holding is what one host may send.
type holding struct {
	perSecond float64
	burst     float64 // requests that it may send at any moment; at least 1
}

// of returns the holding of a host that comes after rank others among so many hosts.
func (d division) of(rank, hosts int) holding {
	if rank >= d.holders || hosts == 0 {
		return holding{}
	}
	using := float64(min(d.holders, hosts))
	return holding{perSecond: d.perSecond / using, burst: float64(d.holders) / using}
}
