// Package scheduler serves the pools that this host owns. A pool is all engines of one
// model in one region; one goroutine with a bounded inbox drives its
// scheduling.Policy.
//
// If two hosts both believe that they own a pool, both grant requests. Targets are then
// overcommitted for a while, which causes preemptions but no wrong results. The same
// holds for an owner that was suspended and acts on old reports when it resumes.
package scheduler

import (
	"corianderhitch/api/control"
	"corianderhitch/internal/rendezvous"
)

// Key identifies a pool.
type Key struct {
	Model  string
	Region string
}

// String returns "model/region", the key that is hashed to choose the pool's owner.
func (k Key) String() string { return k.Model + "/" + k.Region }

// servingRanks is the number of hosts, by rendezvous rank, that serve a pool. The
// first is the owner; the others serve gateways that can't reach it.
const servingRanks = 3

// Rank returns the rendezvous rank of a host for a pool, 0 being the owner, and the
// owner's name. Only members that are alive or suspect are ranked; a host that isn't
// gets the number of ranked hosts as its rank. The owner is empty if no member can own
// the pool.
func Rank(key Key, host string, members []control.Member) (rank int, owner string) {
	var hosts []string
	for _, m := range members {
		if canOwn(m) {
			hosts = append(hosts, m.Host)
		}
	}
	ranked := rendezvous.Ranked(key.String(), hosts)
	for i, h := range ranked {
		if h == host {
			return i, ranked[0]
		}
	}
	if len(ranked) > 0 {
		owner = ranked[0]
	}
	return len(ranked), owner
}

// canOwn reports whether a member may be ranked for pools.
func canOwn(m control.Member) bool {
	return m.State == control.MemberAlive || m.State == control.MemberSuspect
}
