package scheduler

import (
	"slices"
	"time"

	"corianderhitch/api/control"
	"corianderhitch/internal/scheduling/limits"
)

// maxOwnershipPeriods bounds the memory of a host that sees many changes of members.
const maxOwnershipPeriods = 64

// ownership records which hosts could own pools, for as long as that matters to the rates
// of accounts. It is not safe for concurrent use.
type ownership struct {
	periods []ownershipPeriod // oldest first
}

// ownershipPeriod is a time in which the same hosts could own pools.
type ownershipPeriod struct {
	since   time.Time
	members []control.Member // that can own pools
}

// observe records the members as of now.
func (o *ownership) observe(now time.Time, members []control.Member) {
	able := slices.DeleteFunc(slices.Clone(members), func(m control.Member) bool { return !canOwn(m) })
	sameHost := func(a, b control.Member) bool { return a.Host == b.Host }
	if n := len(o.periods); n > 0 && slices.EqualFunc(o.periods[n-1].members, able, sameHost) {
		return
	}
	o.periods = append(o.periods, ownershipPeriod{since: now, members: able})
	for len(o.periods) > maxOwnershipPeriods || (len(o.periods) > 1 && now.Sub(o.periods[1].since) >= limits.MaxBurst) {
		o.periods = o.periods[1:]
	}
}

// ownedSince returns since when the host has been the owner of the pool without a break as
// far as is known, and false if it isn't the owner now.
func (o *ownership) ownedSince(key Key, host string) (since time.Time, owned bool) {
	for _, p := range slices.Backward(o.periods) {
		if rank, _ := Rank(key, host, p.members); rank != 0 {
			break
		}
		since, owned = p.since, true
	}
	return since, owned
}
