// Package registration lists the agents of an environment in the platform's store, so
// that a new host finds peers and the two sides of a partitioned fleet find each other
// again. An entry exists as long as its lease.
package registration

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"corianderhitch/api/control"
	"corianderhitch/internal/logging"
	"corianderhitch/internal/platform"
)

const (
	// leaseTTL is how long the entry of a host that crashed remains. A stale entry
	// only costs a new host a failed call.
	leaseTTL = 180 * time.Second
	// renewInterval leaves time for two more tries before the lease expires. At 410
	// hosts it makes 6.8 writes/s.
	renewInterval = 60 * time.Second
	// listInterval is how often a host reads the entries. At 410 hosts it makes 1.4
	// reads/s.
	listInterval = 300 * time.Second
	// unknownHostInterval is how often it does so while some listed host is not known
	// to be alive, as in a partitioned fleet, or after a crash until the entry's lease
	// expires. At 410 hosts it makes 14 reads/s.
	unknownHostInterval = 30 * time.Second
	// startupListInterval is how often it does so after its start, when hosts that
	// start together might form separate groups.
	startupListInterval = 5 * time.Second
	// startupReads is the number of reads at startupListInterval.
	startupReads = 6
	// retryInterval is the delay after a failed call, and between reads while no other
	// agent is known.
	retryInterval = 2 * time.Second
	// callTimeout bounds a call to the store.
	callTimeout = 5 * time.Second
	// pageSize is the maximum number of entries of one store call.
	pageSize = 500
)

// Fleet is the fleet's state as a Registration reads and changes it.
type Fleet interface {
	Self() control.Member
	Live() []control.Member
	// DiscoverMembers passes on the listed members and returns how many of them are
	// not known to be alive.
	DiscoverMembers(members []control.Member) (unknownHosts int)
	SetStoreReachable(reachable bool)
}

// Registration keeps this host's entry in the store until Stop.
type Registration struct {
	log    *slog.Logger
	store  platform.Store
	fleet  Fleet
	prefix string
	stop   context.CancelFunc
	done   sync.WaitGroup

	lease    platform.LeaseID
	nextList time.Time
	reads    int
}

// Start registers this host and begins to read the entries of the others.
func Start(log *slog.Logger, store platform.Store, fleet Fleet, environment string) *Registration {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Registration{
		log:    logging.WithPrefix(log, "registration"),
		store:  store,
		fleet:  fleet,
		prefix: "/corianderhitch/agents/" + environment + "/",
		stop:   cancel,
	}
	r.done.Go(func() { r.run(ctx) })
	return r
}

// Stop removes the entry and waits for the goroutine.
func (r *Registration) Stop(ctx context.Context) {
	r.stop()
	r.done.Wait()
	if r.lease != 0 {
		_ = r.store.Revoke(ctx, r.lease)
	}
}

// run renews the entry and lists the entries of all hosts, each when due, until ctx
// ends.
func (r *Registration) run(ctx context.Context) {
	var renewAt time.Time
	for {
		now := time.Now()
		if !now.Before(renewAt) {
			renewAt = now.Add(r.renew(ctx))
		}
		if !now.Before(r.nextList) {
			r.nextList = now.Add(r.list(ctx))
		}
		next := renewAt
		if r.nextList.Before(next) {
			next = r.nextList
		}
		if !pause(ctx, time.Until(next)) {
			return
		}
	}
}

// renew extends or creates the entry, and returns the time to the next renewal.
func (r *Registration) renew(ctx context.Context) time.Duration {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := r.extendOrRegister(bounded)
	if ctx.Err() != nil {
		return retryInterval
	}
	r.fleet.SetStoreReachable(err == nil || eris.Is(err, platform.ErrLeaseExpired))
	if err == nil {
		return renewInterval
	}
	r.log.Warn("Cannot register in the store.", "error", err)
	return jitter(retryInterval)
}

// extendOrRegister extends the lease, or writes the entry under a new lease if there
// is none or it has expired.
func (r *Registration) extendOrRegister(ctx context.Context) error {
	if r.lease != 0 {
		err := r.store.KeepAlive(ctx, r.lease)
		if !eris.Is(err, platform.ErrLeaseExpired) {
			return err
		}
		r.lease = 0
	}
	lease, err := r.store.Grant(ctx, leaseTTL)
	if err != nil {
		return err
	}
	self := r.fleet.Self()
	value, err := json.Marshal(self)
	if err != nil {
		return err
	}
	if _, err := r.store.Put(ctx, r.prefix+self.Host, value, platform.AnyRevision, lease); err != nil {
		return err
	}
	r.lease = lease
	return nil
}

// list reads the entries and returns the time to the next read.
func (r *Registration) list(ctx context.Context) time.Duration {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	after, unknownHosts := "", 0
	for {
		entries, _, err := r.store.List(bounded, r.prefix, after, pageSize)
		if err != nil {
			return jitter(retryInterval)
		}
		unknownHosts += r.fleet.DiscoverMembers(members(entries))
		if len(entries) < pageSize {
			break
		}
		after = entries[len(entries)-1].Key
	}
	r.reads++
	return jitter(NextListDelay(r.reads, unknownHosts, len(r.fleet.Live()) <= 1))
}

// NextListDelay returns the time to the next read, given the number of reads so far,
// the number of listed hosts that are not known to be alive, and whether no other
// agent is known. It is without jitter.
func NextListDelay(reads, unknownHosts int, alone bool) time.Duration {
	switch {
	case alone:
		return retryInterval
	case reads <= startupReads:
		return startupListInterval
	case unknownHosts > 0:
		return unknownHostInterval
	}
	return listInterval
}

func members(entries []platform.Entry) []control.Member {
	var list []control.Member
	for _, e := range entries {
		var m control.Member
		if json.Unmarshal(e.Value, &m) == nil {
			list = append(list, m)
		}
	}
	return list
}

// jitter returns a random duration between d/2 and 3d/2, to spread the calls of hosts
// that start together.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

// pause waits for d and reports false if ctx ended first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(max(d, 0))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
