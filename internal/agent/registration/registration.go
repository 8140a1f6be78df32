// Package registration lists the agents of an environment in the platform's
// store, so that a new host finds peers and two halves of a cut fleet find each
// other. An entry lives as long as its lease.
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
	// leaseTTL is how long the entry of a vanished host stays. It only costs a
	// new host a vain call.
	leaseTTL = 180 * time.Second
	// renewInterval gives a lease two more tries. At 410 hosts it makes 6.8
	// writes/s.
	renewInterval = 60 * time.Second
	// listInterval is how often a host reads the entries again. At 410 hosts it
	// makes 1.4 reads/s.
	listInterval = 300 * time.Second
	// strangerInterval is how often it does so while some listed host is not known
	// to live, as in a cut fleet, or after a crash until the entry's lease ends. At
	// 410 hosts it makes 14 reads/s.
	strangerInterval = 30 * time.Second
	// startInterval is how often it does so after its start, when hosts that start
	// together might find each other in separate groups.
	startInterval = 5 * time.Second
	// startReads is the number of such reads.
	startReads = 6
	// retryInterval is the pause after a failed call, and between reads while no
	// other agent is known.
	retryInterval = 2 * time.Second
	// callTimeout bounds a call to the store.
	callTimeout = 5 * time.Second
	// pageSize is the number of entries of one read.
	pageSize = 500
)

// Fleet is what a Registration needs to know of and tell to the fleet.
type Fleet interface {
	Self() control.Member
	Live() []control.Member
	DiscoverMembers(members []control.Member) (strangers int)
	SetStoreReachable(reachable bool)
}

// Registration keeps the entry of this host until Stop.
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

// Start registers this host and reads the entries of the others.
func Start(log *slog.Logger, store platform.Store, fleet Fleet, environment string) *Registration {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Registration{
		log:    logging.Part(log, "registration"),
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

// renew extends the lease or registers anew, and returns the time to the next.
func (r *Registration) renew(ctx context.Context) time.Duration {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := r.extend(bounded)
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

func (r *Registration) extend(ctx context.Context) error {
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
	after, strangers := "", 0
	for {
		entries, _, err := r.store.List(bounded, r.prefix, after, pageSize)
		if err != nil {
			return jitter(retryInterval)
		}
		strangers += r.fleet.DiscoverMembers(members(entries))
		if len(entries) < pageSize {
			break
		}
		after = entries[len(entries)-1].Key
	}
	r.reads++
	return jitter(NextListDelay(r.reads, strangers, len(r.fleet.Live()) <= 1))
}

// NextList returns the time to the next read, after a number of reads of which
// the last found strangers.
func NextListDelay(reads, strangers int, alone bool) time.Duration {
	switch {
	case alone:
		return retryInterval
	case reads <= startReads:
		return startInterval
	case strangers > 0:
		return strangerInterval
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

// jitter spreads the calls of hosts that start together.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

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
