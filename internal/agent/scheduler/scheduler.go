package scheduler

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"corianderhitch/api/control"
	"corianderhitch/api/problem"
	"corianderhitch/internal/agent/docsync"
	fleetsuspicion "corianderhitch/internal/agent/suspicion"
	"corianderhitch/internal/logging"
	"corianderhitch/internal/platform"
	"corianderhitch/internal/scheduling"
	"corianderhitch/internal/scheduling/suspicion"
)

const (
	// maintenanceInterval is how often pools get the current targets, and ownership
	// and the liveness of gateways are checked.
	maintenanceInterval = 250 * time.Millisecond
	// defaultWait bounds the wait of a request without a deadline.
	defaultWait = 30 * time.Second
	// deadlineGrace is how long after its deadline a request is rejected here if the
	// policy hasn't done so.
	deadlineGrace = 200 * time.Millisecond
	// maxNameBytes bounds each name in a request.
	maxNameBytes = 512
	// maxAdmitEvents bounds the events that come with a request. A gateway tries only
	// a few targets for one request.
	maxAdmitEvents = 64
	// maxPrefixHashes bounds the prefix hashes of a request, one per 64 tokens.
	maxPrefixHashes = 1 << 14
)

// Errors of Scheduler's methods. A gateway that gets one asks the next owner.
var (
	ErrNotOwner     = eris.New("not owner: ask the host named, or the next in rank")
	ErrInvalidAdmit = eris.New("admit: ticket, host, account and model are needed, of at most 512 bytes each; correct the call")
	ErrStopping     = eris.New("scheduler: this agent is stopping; ask the next in rank")
)

// Fleet is the fleet's state as a Scheduler reads and changes it.
type Fleet interface {
	Self() control.Member
	Members() []control.Member
	Member(host string) (control.Member, bool)
	Targets(now time.Time) []control.TargetState
	Document() docsync.Current
	AddEvents(now time.Time, events []control.Event)
}

// PolicyFactory returns the policy of a new pool.
type PolicyFactory func(config scheduling.Config) scheduling.Policy

// Scheduler admits requests to the pools that this host owns. It is safe for
// concurrent use.
type Scheduler struct {
	log       *slog.Logger
	fleet     Fleet
	newPolicy PolicyFactory
	suspects  *fleetsuspicion.FleetTracker
	history   *history
	stopRun   context.CancelFunc
	done      sync.WaitGroup

	mu          sync.Mutex
	pools       map[Key]*pool                  // guarded by mu
	engines     map[Key][]control.TargetState  // engines of each pool as of the last maintenance, copied on write, guarded by mu
	freshLoads  map[string]control.TargetState // by target, reports newer than the fleet table's, guarded by mu
	lateClasses map[string]bool                // classes that allow late delivery, guarded by mu
	revision    int64                          // of the document that lateClasses comes from, guarded by mu
	ownership   ownership                      // since the start of this process, guarded by mu
	stopped     bool                           // guarded by mu
	counts      Counts                         // guarded by mu
}

// Counts holds totals since the start, for metrics.
type Counts struct {
	Granted  int64
	Rejected int64
	NotOwner int64
}

// Start returns a Scheduler that serves pools until Stop.
func Start(log *slog.Logger, fleet Fleet, newPolicy PolicyFactory, suspects *fleetsuspicion.FleetTracker) *Scheduler {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Scheduler{
		log:         logging.WithPrefix(log, "scheduler"),
		fleet:       fleet,
		newPolicy:   newPolicy,
		suspects:    suspects,
		history:     newHistory(),
		stopRun:     cancel,
		pools:       make(map[Key]*pool),
		engines:     make(map[Key][]control.TargetState),
		freshLoads:  make(map[string]control.TargetState),
		lateClasses: make(map[string]bool),
	}
	s.ownership.observe(time.Now(), fleet.Members())
	s.done.Go(func() { s.run(ctx) })
	return s
}

// Stop answers all waiting requests with the not-owner error and waits for all
// goroutines.
func (s *Scheduler) Stop() {
	s.stopRun()
	s.done.Wait()
	s.mu.Lock()
	s.stopped = true
	pools := s.pools
	s.pools = make(map[Key]*pool)
	s.mu.Unlock()
	for _, p := range pools {
		p.stop()
	}
}

// Admit waits until the request is granted or rejected. An error means that the call
// is invalid or this host doesn't serve the pool.
func (s *Scheduler) Admit(args control.AdmitArgs) (control.AdmitReply, error) {
	if err := validate(args); err != nil {
		return control.AdmitReply{}, err
	}
	now := time.Now()
	if args.Deadline.IsZero() {
		args.Deadline = now.Add(defaultWait)
	}
	key := Key{Model: args.Model, Region: s.region(args)}
	if err := s.checkOwner(key); err != nil {
		return control.AdmitReply{}, err
	}
	s.recordEvents(now, args.News)
	verdict, expires := s.suspects.Verdict(now, args.Fingerprint)
	reply, rejected := crashSuspectReply(expires), verdict == suspicion.Reject
	if !rejected {
		reply, rejected = s.rejectIfHeld(now, args.PrefixHashes, true)
	}
	if rejected {
		s.onDecision(now, args, reply)
		return reply, nil
	}
	return s.enqueue(key, args, verdict)
}

// Finish releases the slots of granted requests and withdraws waiting ones.
func (s *Scheduler) Finish(args control.FinishArgs) {
	for _, p := range s.allPools() {
		for _, f := range args.Finished {
			if f.Model != "" && f.Model != p.key.Model {
				continue
			}
			p.sendAlways(func(p *pool, now time.Time) { p.finish(now, f) })
		}
	}
}

// ApplyObservations applies new load reports and cache events of targets.
func (s *Scheduler) ApplyObservations(args control.ObservedArgs) {
	s.mu.Lock()
	for _, row := range args.Targets {
		s.freshLoads[row.Name] = row
	}
	s.mu.Unlock()
	for _, p := range s.allPools() {
		s.sendLoads(p, args.Targets)
		for _, c := range args.Cache {
			update := scheduling.CacheUpdate{Target: c.Target, Stored: c.Stored, Evicted: c.Evict, Lost: c.Lost}
			p.send(func(p *pool, now time.Time) { p.policy.ObserveCache(now, update) })
		}
	}
}

// Explain returns this host's recent decisions about a request.
func (s *Scheduler) Explain(args control.ExplainArgs) []string { return s.history.find(args) }

// Counts returns the totals since the start.
func (s *Scheduler) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Pools returns the pools that this host serves now.
func (s *Scheduler) Pools() []Key {
	var keys []Key
	for _, p := range s.allPools() {
		keys = append(keys, p.key)
	}
	return keys
}

// enqueue submits a request to its pool and waits for the answer. If the verdict is
// not clear, targets with suspects are excluded.
func (s *Scheduler) enqueue(key Key, args control.AdmitArgs, verdict suspicion.Verdict) (control.AdmitReply, error) {
	p, err := s.poolIfServed(key)
	if err != nil {
		return control.AdmitReply{}, err
	}
	if p == nil {
		reply := noTargetReply(&waiter{args: args})
		s.onDecision(time.Now(), args, reply)
		return reply, nil
	}
	answers := make(chan control.AdmitReply, 1)
	lateDelivery := s.allowsLateDelivery(args.Class)
	queued := p.send(func(p *pool, now time.Time) {
		var excluded []string
		if verdict != suspicion.Clear {
			excluded = p.targetsWithSuspects(now, s.suspects)
		}
		p.submit(now, args, lateDelivery, excluded, answers)
	})
	if !queued {
		reply := control.AdmitReply{
			Kind: string(problem.KindOverloaded), Detail: "the owner of the pool is overloaded", RetryAfter: defaultRetryAfter,
		}
		s.onDecision(time.Now(), args, reply)
		return reply, nil
	}
	return s.await(p, args, answers)
}

// await waits for the pool's answer. A closed channel means that this host has stopped
// serving the pool.
func (s *Scheduler) await(p *pool, args control.AdmitArgs, answers <-chan control.AdmitReply) (control.AdmitReply, error) {
	timer := time.NewTimer(time.Until(args.Deadline) + deadlineGrace)
	defer timer.Stop()
	select {
	case reply, answered := <-answers:
		if !answered {
			return control.AdmitReply{}, s.notOwner(p.key)
		}
		return reply, nil
	case <-p.stopped:
		return s.lastAnswer(p, answers)
	case <-timer.C:
		p.send(func(p *pool, now time.Time) { p.finish(now, control.Finished{Ticket: args.Ticket}) })
		return control.AdmitReply{
			Kind: string(problem.KindDeadline), Detail: "no place became free before the deadline", RetryAfter: defaultRetryAfter,
		}, nil
	}
}

// lastAnswer returns an answer that was given just before the pool stopped.
func (s *Scheduler) lastAnswer(p *pool, answers <-chan control.AdmitReply) (control.AdmitReply, error) {
	select {
	case reply, answered := <-answers:
		if answered {
			return reply, nil
		}
	default:
	}
	return control.AdmitReply{}, s.notOwner(p.key)
}

func (s *Scheduler) checkOwner(key Key) error {
	rank, _ := Rank(key, s.fleet.Self().Host, s.fleet.Members())
	if rank < servingRanks {
		return nil
	}
	return s.notOwner(key)
}

func (s *Scheduler) notOwner(key Key) error {
	s.mu.Lock()
	s.counts.NotOwner++
	s.mu.Unlock()
	_, owner := Rank(key, s.fleet.Self().Host, s.fleet.Members())
	return fmt.Errorf("%w: pool %s, owner %s", ErrNotOwner, key, owner)
}

func (s *Scheduler) region(args control.AdmitArgs) string {
	if args.Region != "" {
		return args.Region
	}
	if m, known := s.fleet.Member(args.Host); known {
		return m.Region
	}
	return s.fleet.Self().Region
}

func (s *Scheduler) allowsLateDelivery(class string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lateClasses[class]
}

// poolIfServed returns the pool, or nil if it doesn't exist and no engine serves the
// model, so that requests for invented model names start no pools.
func (s *Scheduler) poolIfServed(key Key) (*pool, error) {
	s.mu.Lock()
	p := s.pools[key]
	s.mu.Unlock()
	if p != nil {
		return p, nil
	}
	if len(poolEngines(key, s.fleet.Targets(time.Now()))) == 0 {
		return nil, nil
	}
	p, ok := s.getOrStartPool(key)
	if !ok {
		return nil, ErrStopping
	}
	return p, nil
}

// getOrStartPool returns the pool and starts it if needed. It reports false after
// Stop.
func (s *Scheduler) getOrStartPool(key Key) (*pool, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return nil, false
	}
	if p := s.pools[key]; p != nil {
		return p, true
	}
	now := time.Now()
	s.ownership.observe(now, s.fleet.Members())
	config := policyConfig(s.fleet.Document().Document)
	ownedSince, owned := s.ownership.ownedSince(key, s.fleet.Self().Host)
	if config.RatesUsedUntil = ownedSince; !owned {
		config.RatesUsedUntil = now // the owner grants as well
	}
	p := startPool(key, s.log, s.newPolicy(config), s)
	p.ownedSince = ownedSince
	rows := poolEngines(key, s.overlayLoads(s.fleet.Targets(now)))
	s.engines[key] = rows
	p.send(func(p *pool, now time.Time) {
		p.setTargets(now, rows)
		p.recordRemoteCrashes(s.suspects.Crashes(now)...)
	})
	s.pools[key] = p
	s.log.Info("Started to serve the pool.", "pool", key.String())
	return p, true
}

func (s *Scheduler) allPools() []*pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	pools := make([]*pool, 0, len(s.pools))
	for _, p := range s.pools {
		pools = append(pools, p)
	}
	return pools
}

// onDecision implements callbacks: it counts and records a decision.
func (s *Scheduler) onDecision(now time.Time, args control.AdmitArgs, reply control.AdmitReply) {
	s.mu.Lock()
	if reply.Granted {
		s.counts.Granted++
	} else {
		s.counts.Rejected++
	}
	s.mu.Unlock()
	s.history.add(now, args, reply)
}

// onCompletion implements callbacks: a suspect that completes is cleared in the whole
// fleet.
func (s *Scheduler) onCompletion(fingerprint uint64) {
	now := time.Now()
	if verdict, _ := s.suspects.Verdict(now, fingerprint); verdict == suspicion.Clear {
		return
	}
	id := fmt.Sprintf("cleared/%s/%x/%d", s.fleet.Self().Host, fingerprint, now.UnixNano())
	s.fleet.AddEvents(now, []control.Event{{ID: id, Kind: control.EventCleared, Fingerprint: fingerprint, Seen: now}})
}

// onAnswer implements callbacks: a prefix under which answers begin is cleared in the whole
// fleet of the crashes before.
func (s *Scheduler) onAnswer(grantedAt time.Time, prefixes []uint64) {
	now := time.Now()
	cleared := s.suspects.RecordAnswer(now, grantedAt, prefixes)
	if len(cleared) == 0 {
		return
	}
	cleared = cleared[max(0, len(cleared)-maxClearedPrefixes):]
	id := fmt.Sprintf("answered/%s/%x/%d", s.fleet.Self().Host, cleared[0], now.UnixNano())
	s.fleet.AddEvents(now, []control.Event{{ID: id, Kind: control.EventCleared, Prefixes: cleared, Since: now.Sub(grantedAt), Seen: now}})
}

// maxClearedPrefixes bounds the prefixes of one event; agents keep no more.
const maxClearedPrefixes = 16

// HeldPrefixes returns the beginnings of prompts that are held back.
func (s *Scheduler) HeldPrefixes(now time.Time) []control.HeldPrefix {
	return s.suspects.HeldPrefixes(now)
}

// holds implements callbacks.
func (s *Scheduler) holds() uint64 { return s.suspects.Holds() }

// rejectIfHeld implements callbacks.
func (s *Scheduler) rejectIfHeld(now time.Time, prefixes []uint64, admits bool) (control.AdmitReply, bool) {
	held := s.suspects.Held(now, prefixes, admits)
	if held == nil {
		return control.AdmitReply{}, false
	}
	return control.AdmitReply{
		Kind: string(problem.KindCrashSuspect),
		Detail: fmt.Sprintf("%d targets crashed when they began to answer prompts that begin like this one (prefix %s)",
			held.Crashes, held.Prefix),
		RetryAfter: held.RetryAfter,
	}, true
}

// targetsWithSuspects returns the targets on which requests under suspicion run.
func (p *pool) targetsWithSuspects(now time.Time, suspects *fleetsuspicion.FleetTracker) []string {
	var targets []string
	for _, g := range p.granted {
		if verdict, _ := suspects.Verdict(now, g.args.Fingerprint); verdict != suspicion.Clear {
			targets = append(targets, g.target.Name)
		}
	}
	return targets
}

func crashSuspectReply(expires time.Duration) control.AdmitReply {
	return control.AdmitReply{
		Kind:       string(problem.KindCrashSuspect),
		Detail:     "targets crashed each time they ran this request",
		RetryAfter: expires,
	}
}

// rejectIfSuspect implements callbacks.
func (s *Scheduler) rejectIfSuspect(now time.Time, fingerprint uint64) (control.AdmitReply, bool) {
	verdict, expires := s.suspects.Verdict(now, fingerprint)
	return crashSuspectReply(expires), verdict == suspicion.Reject
}

func validate(args control.AdmitArgs) error {
	for _, s := range []string{args.Ticket, args.Host, args.Account, args.Model} {
		if s == "" || len(s) > maxNameBytes {
			return ErrInvalidAdmit
		}
	}
	if len(args.PrefixHashes) > maxPrefixHashes || len(args.News) > maxAdmitEvents ||
		len(args.Version) > maxNameBytes || len(args.Adapter) > maxNameBytes {
		return ErrInvalidAdmit
	}
	return nil
}

// LoadOnly returns the row with only its load, for sending to a pool's owner, which
// has the rest in its own table.
func LoadOnly(row control.TargetState) control.TargetState {
	load := row.Load
	load.Loaded, load.Target = nil, ""
	return control.TargetState{
		Target:   platform.Target{Name: row.Name, Leaving: row.Leaving},
		Load:     load,
		Observed: row.Observed,
		Healthy:  row.Healthy,
	}
}
