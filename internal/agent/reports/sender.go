// Package reports takes fresh load reports and cache events from the host that
// observes a target to the owners of the pools.
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
	// method is the net/rpc method that takes observations.
	method = "Peer.Observed"
	// backlog bounds the observations that wait to be sent.
	backlog = 256
	// gather is how long observations are collected into one message.
	gather = 50 * time.Millisecond
	// callTimeout bounds one message. A late report is worth little.
	callTimeout = 500 * time.Millisecond
)

// Caller runs a net/rpc method on a peer.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Fleet is what a Sender needs to know.
type Fleet interface {
	Self() control.Member
	Members() []control.Member
	Member(host string) (control.Member, bool)
}

// Local takes observations of pools that this host owns.
type LocalPools interface {
	ApplyObservations(args control.ObservedArgs)
}

// Sender sends observations until Stop.
type Sender struct {
	log    *slog.Logger
	fleet  Fleet
	caller Caller
	local  LocalPools
	queue  chan observation
	stop   context.CancelFunc
	done   sync.WaitGroup

	mu   sync.Mutex
	lost map[string]bool // targets whose cache events did not arrive, guarded by mu
}

type observation struct {
	row   control.TargetState
	cache control.CacheDelta
}

// Start begins to send.
func Start(log *slog.Logger, fleet Fleet, caller Caller, local LocalPools) *Sender {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Sender{
		log:    logging.Part(log, "reports"),
		fleet:  fleet,
		caller: caller,
		local:  local,
		queue:  make(chan observation, backlog),
		stop:   cancel,
		lost:   make(map[string]bool),
	}
	s.done.Go(func() { s.run(ctx) })
	return s
}

// Stop ends the sender and waits for its goroutine.
func (s *Sender) Stop() {
	s.stop()
	s.done.Wait()
}

// Report queues an observation. When the queue is full it is dropped, and the
// next cache events of the target say that some were lost.
func (s *Sender) Report(row control.TargetState, cache control.CacheDelta) {
	select {
	case s.queue <- observation{row: row, cache: cache}:
	default:
		s.markLost([]control.CacheDelta{cache})
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

func (s *Sender) collect(ctx context.Context, first observation) []observation {
	batch := []observation{first}
	timer := time.NewTimer(gather)
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

// send takes a batch to all owners at once and waits for them.
func (s *Sender) send(ctx context.Context, batch []observation) {
	var calls sync.WaitGroup
	for host, args := range s.byOwner(batch) {
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
	if err := s.caller.Call(bounded, owner.AgentAddr, method, args, new(control.Empty)); err != nil {
		s.markLost(args.Cache)
		s.log.Debug("Owner of a pool took no report.", "owner", owner.Host, "error", err)
	}
}

// byOwner splits a batch by the owners of the pools that its targets serve. Of
// several reports of one target only the last is sent.
func (s *Sender) byOwner(batch []observation) map[string]control.ObservedArgs {
	members := s.fleet.Members()
	last := make(map[string]int, len(batch))
	for i, o := range batch {
		last[o.row.Name] = i
	}
	split := make(map[string]control.ObservedArgs)
	for i, o := range batch {
		cache := s.withLoss(o.cache)
		for host := range Owners(o.row, members) {
			args := split[host]
			if last[o.row.Name] == i {
				args.Targets = append(args.Targets, scheduler.LoadOnly(o.row))
			}
			if cache.Lost || len(cache.Stored)+len(cache.Evict) > 0 {
				args.Cache = append(args.Cache, cache)
			}
			split[host] = args
		}
	}
	return split
}

func (s *Sender) withLoss(cache control.CacheDelta) control.CacheDelta {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost[cache.Target] {
		delete(s.lost, cache.Target)
		cache.Lost = true
	}
	return cache
}

func (s *Sender) markLost(deltas []control.CacheDelta) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range deltas {
		s.lost[d.Target] = true
	}
}

// Owners returns the hosts that own a pool of the target.
func Owners(row control.TargetState, members []control.Member) map[string]bool {
	owners := make(map[string]bool)
	if row.Kind != platform.TargetEngine {
		return owners
	}
	for _, l := range row.Load.Loaded {
		key := scheduler.Key{Model: l.Model, Region: row.Region}
		if _, owner := scheduler.Rank(key, "", members); owner != "" {
			owners[owner] = true
		}
	}
	return owners
}
