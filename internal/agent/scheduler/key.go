// Package scheduler serves the pools (model and region) that this host owns. A
// pool has one goroutine that drives a scheduling.Policy and a bounded inbox.
//
// Two hosts that both believe to own a pool both grant: targets are then
// overcommitted for a while, which costs preemptions, never correctness. An
// owner that was paused acts on old reports when it wakes, with the same cost.
package scheduler

import (
	"corianderhitch/api/control"
	"corianderhitch/internal/rendezvous"
)

// Key names a pool.
type Key struct {
	Model  string
	Region string
}

// String returns the key by which the owner is chosen.
func (k Key) String() string { return k.Model + "/" + k.Region }

// ranksServed is the number of hosts by rendezvous rank that serve a pool. The
// first is the owner; the others serve gateways that cannot reach it.
const ranksServed = 3

// Rank returns the place of a host among the owners of a pool, 0 being the
// owner, and the owner. Members that are draining or leaving own nothing new.
func Rank(key Key, host string, members []control.Member) (rank int, owner string) {
	var hosts []string
	for _, m := range members {
		if m.State == control.MemberAlive || m.State == control.MemberSuspect {
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
