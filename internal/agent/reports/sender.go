// Package reports sends load reports and cache events from the host that observes a
// target to the owners of the target's pools.
package reports

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"corianderhitch/api/control"
	"corianderhitch/internal/agent/scheduler"
	"corianderhitch/internal/logging"
	"corianderhitch/internal/platform"
)

const (
	// observedMethod is the net/rpc method that receives observations.
	observedMethod = "Peer.Observed"
	// queueCapacity bounds the observations that wait to be sent.
	queueCapacity = 256
	// batchWindow is how long observations are collected into one message.
	batchWindow = 50 * time.Millisecond
	// callTimeout bounds one call. Load reports lose their value quickly.
	callTimeout = 500 * time.Millisecond
)

// Caller calls net/rpc methods of peers.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Fleet is the part of the agent's state that a Sender reads.
type Fleet interface {
	Self() control.Member
	Members() []control.Member
	Member(host string) (control.Member, bool)
}

// LocalPools receives the observations of pools that this host owns.
type LocalPools interface {
	ApplyObservations(args control.ObservedArgs)
}

// Sender sends observations in batches until Stop.
type Sender struct {
	log    *slog.Logger
	fleet  Fleet
	caller Caller
	local  LocalPools
	queue  chan observation
	stop   context.CancelFunc
	done   sync.WaitGroup

	mu              sync.Mutex
	cacheEventsLost map[string]bool // targets for which cache events were lost since the last message, guarded by mu
}

type observation struct {
	row   control.TargetState
	cache control.CacheDelta
}

// Start starts a Sender.
func Start(log *slog.Logger, fleet Fleet, caller Caller, local LocalPools) *Sender {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Sender{
		log:             logging.WithPrefix(log, "reports"),
		fleet:           fleet,
		caller:          caller,
		local:           local,
		queue:           make(chan observation, queueCapacity),
		stop:            cancel,
		cacheEventsLost: make(map[string]bool),
	}
	s.done.Go(func() { s.run(ctx) })
	return s
}

// Stop ends the sender without sending what is queued, and waits for its goroutine.
func (s *Sender) Stop() {
	s.stop()
	s.done.Wait()
}

// Report queues an observation without blocking. If the queue is full the observation
// is dropped, and the next message about the target reports a gap in its cache events.
func (s *Sender) Report(row control.TargetState, cache control.CacheDelta) {
	select {
	case s.queue <- observation{row: row, cache: cache}:
	default:
		s.recordLoss([]control.CacheDelta{cache})
	}
}

func (s *Sender) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-s.queue:
			s.send(ctx, s.collect(ctx, first))
		}
	}
}

// collect returns the observations that arrive within batchWindow.
func (s *Sender) collect(ctx context.Context, first observation) []observation {
	batch := []observation{first}
	timer := time.NewTimer(batchWindow)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return batch
		case <-timer.C:
			return batch
		case o := <-s.queue:
			batch = append(batch, o)
		}
	}
}

// send sends a batch to all owners in parallel and waits for the calls.
func (s *Sender) send(ctx context.Context, batch []observation) {
	var calls sync.WaitGroup
	for host, args := range s.groupByOwner(batch) {
		if host == s.fleet.Self().Host {
			s.local.ApplyObservations(args)
			continue
		}
		if m, known := s.fleet.Member(host); known {
			calls.Go(func() { s.call(ctx, m, args) })
		}
	}
	calls.Wait()
}

func (s *Sender) call(ctx context.Context, owner control.Member, args control.ObservedArgs) {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := s.caller.Call(bounded, owner.AgentAddr, observedMethod, args, new(control.Empty)); err != nil {
		s.recordLoss(args.Cache)
		s.log.Debug("Cannot send a report to the owner of a pool.", "owner", owner.Host, "error", err)
	}
}

// groupByOwner groups a batch by the owners of the pools that its targets serve. Of
// several load reports of one target only the last is sent.
func (s *Sender) groupByOwner(batch []observation) map[string]control.ObservedArgs {
	members := s.fleet.Members()
	last := make(map[string]int, len(batch))
	for i, o := range batch {
		last[o.row.Name] = i
	}
	grouped := make(map[string]control.ObservedArgs)
	for i, o := range batch {
		cache := s.flagLoss(o.cache)
		for host := range Owners(o.row, members) {
			args := grouped[host]
			if last[o.row.Name] == i {
				args.Targets = append(args.Targets, scheduler.LoadOnly(o.row))
			}
			if cache.Lost || len(cache.Stored)+len(cache.Evict) > 0 {
				args.Cache = append(args.Cache, cache)
			}
			grouped[host] = args
		}
	}
	return grouped
}

// flagLoss sets Lost if cache events of the target were lost before, and clears the
// record of the loss.
func (s *Sender) flagLoss(cache control.CacheDelta) control.CacheDelta {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cacheEventsLost[cache.Target] {
		delete(s.cacheEventsLost, cache.Target)
		cache.Lost = true
	}
	return cache
}

// recordLoss records that the cache events of these deltas did not reach an owner.
func (s *Sender) recordLoss(deltas []control.CacheDelta) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range deltas {
		s.cacheEventsLost[d.Target] = true
	}
}

// Owners returns the hosts that own a pool which the target serves. The result is empty
// for targets that are not engines.
func Owners(target control.TargetState, members []control.Member) map[string]bool {
	owners := make(map[string]bool)
	if target.Kind != platform.TargetEngine {
		return owners
	}
	for _, l := range target.Load.Loaded {
		key := scheduler.Key{Model: l.Model, Region: target.Region}
		if _, owner := scheduler.Rank(key, "", members); owner != "" {
			owners[owner] = true
		}
	}
	return owners
}
