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
	// hubUse is the share of what is planned for that the host grants which places the runs of all
	// hosts. Two hosts that both take themselves for it stay within the bound, as the rest that
	// boundUse leaves is no less.
	hubUse = 0.25
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

// divideWithHub is divide for a service whose runs a hub places: it also returns what the hub may grant.
// That is zero, and the hosts share all, if the bound is too low for a part of it to allow a request.
func divideWithHub(rate float64, bound node.ColdBound) (hosts division, hub holding) {
	planned := boundUse * (bound.Factor*rate + bound.Slack)
	// What was granted within a second and before that, as long as a permit is valid, may arrive in
	// one second.
	forHub, span := hubUse*planned, 1+HubPermitFor.Seconds()
	// At half of its part at most, the hub has permits for the first moments of a target that is
	// cold for a second only.
	hub.perSecond = min(hubUse*rateUse*rate, forHub/2, (forHub-1)/span)
	hub.burst = forHub - hub.perSecond*span
	hosts = newDivision(planned-forHub, min(rateUse*rate-hub.perSecond, planned-forHub-1))
	if hub.perSecond <= 0 || hosts.perSecond <= 0 {
		return divide(rate, bound), holding{}
	}
	return hosts, hub
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
