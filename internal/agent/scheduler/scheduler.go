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
	crashes "corianderhitch/internal/agent/suspicion"
	"corianderhitch/internal/logging"
	"corianderhitch/internal/platform"
	"corianderhitch/internal/scheduling"
	"corianderhitch/internal/scheduling/suspicion"
)

const (
	// upkeepInterval is how often targets, ownership and dead gateways are looked at.
	upkeepInterval = 250 * time.Millisecond
	// defaultWait bounds the wait of a request without a deadline.
	defaultWait = 30 * time.Second
	// deadlineGrace is how long after its deadline a request is answered here if
	// the policy has not done so.
	deadlineGrace = 200 * time.Millisecond
	// maxNameBytes bounds each name in a request.
	maxNameBytes = 512
	// maxAdmitNews bounds the news that comes with a request: a gateway tries few
	// targets for it.
	maxAdmitNews = 64
	// maxPrefixHashes bounds the prefix hashes of a request, one per 64 tokens.
	maxPrefixHashes = 1 << 14
)

// Errors of the Scheduler methods. A gateway that gets one asks the next owner.
var (
	ErrNotOwner     = eris.New("not owner: ask the host named, or the next in rank")
	ErrInvalidAdmit = eris.New("admit: ticket, host, account and model are needed, of at most 512 bytes each; correct the call")
	ErrStopping     = eris.New("scheduler: this agent is stopping; ask the next in rank")
)

// Fleet is what a Scheduler needs to know of and tell to the fleet.
type Fleet interface {
	Self() control.Member
	Members() []control.Member
	Member(host string) (control.Member, bool)
	Targets(now time.Time) []control.TargetState
	Document() docsync.Current
	AddEvents(now time.Time, events []control.Event)
}

// PolicyMaker returns the policy of a new pool.
type PolicyFactory func(config scheduling.Config) scheduling.Policy

// Scheduler admits requests to the pools that this host owns.
type Scheduler struct {
	log       *slog.Logger
	fleet     Fleet
	newPolicy PolicyFactory
	suspects  *crashes.FleetTracker
	history   *history
	stopRun   context.CancelFunc
	done      sync.WaitGroup

	mu       sync.Mutex
	pools    map[Key]*pool                  // guarded by mu
	served   map[Key][]control.TargetState  // engines of each pool as of the last upkeep, never changed in place, guarded by mu
	loads    map[string]control.TargetState // reports fresher than the table's, guarded by mu
	late     map[string]bool                // classes, guarded by mu
	revision int64                          // of the document that late comes from, guarded by mu
	stopped  bool                           // guarded by mu
	counts   Counts                         // guarded by mu
}

// Counts are totals since start, for metrics.
type Counts struct {
	Granted  int64
	Rejected int64
	NotOwner int64
}

// Start begins to serve.
func Start(log *slog.Logger, fleet Fleet, newPolicy PolicyFactory, suspects *crashes.FleetTracker) *Scheduler {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Scheduler{
		log:       logging.Part(log, "scheduler"),
		fleet:     fleet,
		newPolicy: newPolicy,
		suspects:  suspects,
		history:   newHistory(),
		stopRun:   cancel,
		pools:     make(map[Key]*pool),
		served:    make(map[Key][]control.TargetState),
		loads:     make(map[string]control.TargetState),
		late:      make(map[string]bool),
	}
	s.done.Go(func() { s.run(ctx) })
	return s
}

// Stop sends all that wait to the next owner and waits for all goroutines.
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

// Admit waits until the request is granted or refused. An error means that this
// host does not serve the pool.
func (s *Scheduler) Admit(args control.AdmitArgs) (control.AdmitReply, error) {
	if err := check(args); err != nil {
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
	s.learn(now, args.News)
	verdict, expires := s.suspects.Verdict(now, args.Fingerprint)
	if verdict == suspicion.Reject {
		reply := crashSuspect(expires)
		s.decided(now, args, reply)
		return reply, nil
	}
	return s.enqueue(key, args, verdict)
}

// Finish returns places, or withdraws requests that wait.
func (s *Scheduler) Finish(args control.FinishArgs) {
	for _, p := range s.all() {
		for _, f := range args.Finished {
			if f.Model != "" && f.Model != p.key.Model {
				continue
			}
			if !p.send(func(p *pool, now time.Time) { p.finish(now, f) }) {
				s.log.Warn("Inbox of a pool is full, a place is returned late.", "pool", p.key.String())
			}
		}
	}
}

// Observed takes fresh load reports and cache events of targets.
func (s *Scheduler) ApplyObservations(args control.ObservedArgs) {
	s.mu.Lock()
	for _, row := range args.Targets {
		s.loads[row.Name] = row
	}
	s.mu.Unlock()
	for _, p := range s.all() {
		s.sendLoads(p, args.Targets)
		for _, c := range args.Cache {
			update := scheduling.CacheUpdate{Target: c.Target, Stored: c.Stored, Evicted: c.Evict, Lost: c.Lost}
			p.send(func(p *pool, now time.Time) { p.policy.ObserveCache(now, update) })
		}
	}
}

// Explain returns the recent decisions of this host about a request.
func (s *Scheduler) Explain(args control.ExplainArgs) []string { return s.history.find(args) }

// Counts returns the totals since start.
func (s *Scheduler) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Pools returns the pools that this host serves now.
func (s *Scheduler) Pools() []Key {
	var keys []Key
	for _, p := range s.all() {
		keys = append(keys, p.key)
	}
	return keys
}

func (s *Scheduler) enqueue(key Key, args control.AdmitArgs, verdict suspicion.Verdict) (control.AdmitReply, error) {
	p, err := s.serving(key)
	if err != nil {
		return control.AdmitReply{}, err
	}
	if p == nil {
		reply := noTarget(&waiter{args: args})
		s.decided(time.Now(), args, reply)
		return reply, nil
	}
	answers := make(chan control.AdmitReply, 1)
	late := s.mayBeLate(args.Class)
	sent := p.send(func(p *pool, now time.Time) {
		var avoid []string
		if verdict != suspicion.Clear {
			avoid = p.withSuspects(now, s.suspects)
		}
		p.submit(now, args, late, avoid, answers)
	})
	if !sent {
		reply := control.AdmitReply{
			Kind: string(problem.KindOverloaded), Detail: "the owner of the pool is overloaded", RetryAfter: defaultRetry,
		}
		s.decided(time.Now(), args, reply)
		return reply, nil
	}
	return s.await(p, args, answers)
}

func (s *Scheduler) await(p *pool, args control.AdmitArgs, answers <-chan control.AdmitReply) (control.AdmitReply, error) {
	timer := time.NewTimer(time.Until(args.Deadline) + deadlineGrace)
	defer timer.Stop()
	select {
	case reply, answered := <-answers:
		if !answered {
			return control.AdmitReply{}, s.notOwner(p.key)
		}
		return reply, nil
	case <-p.gone:
		return s.lastAnswer(p, answers)
	case <-timer.C:
		p.send(func(p *pool, now time.Time) { p.finish(now, control.Finished{Ticket: args.Ticket}) })
		return control.AdmitReply{
			Kind: string(problem.KindDeadline), Detail: "no place became free before the deadline", RetryAfter: defaultRetry,
		}, nil
	}
}

// lastAnswer takes an answer that was given just before the pool stopped.
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
	if rank < ranksServed {
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

func (s *Scheduler) mayBeLate(class string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.late[class]
}

// serving returns the pool, or nil if there is none and no engine serves the
// model, so that made-up names start nothing.
func (s *Scheduler) serving(key Key) (*pool, error) {
	s.mu.Lock()
	p := s.pools[key]
	s.mu.Unlock()
	if p != nil {
		return p, nil
	}
	if len(engines(key, s.fleet.Targets(time.Now()))) == 0 {
		return nil, nil
	}
	p, ok := s.pool(key)
	if !ok {
		return nil, ErrStopping
	}
	return p, nil
}

// pool returns the pool, which it starts if needed.
func (s *Scheduler) pool(key Key) (*pool, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return nil, false
	}
	if p := s.pools[key]; p != nil {
		return p, true
	}
	p := startPool(key, s.log, s.newPolicy(configOf(s.fleet.Document().Document)), s)
	rows := engines(key, s.overlay(s.fleet.Targets(time.Now())))
	s.served[key] = rows
	p.send(func(p *pool, now time.Time) { p.setTargets(now, rows) })
	s.pools[key] = p
	s.log.Info("Pool served from now on.", "pool", key.String())
	return p, true
}

func (s *Scheduler) all() []*pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	pools := make([]*pool, 0, len(s.pools))
	for _, p := range s.pools {
		pools = append(pools, p)
	}
	return pools
}

// decided implements events.
func (s *Scheduler) decided(now time.Time, args control.AdmitArgs, reply control.AdmitReply) {
	s.mu.Lock()
	if reply.Granted {
		s.counts.Granted++
	} else {
		s.counts.Rejected++
	}
	s.mu.Unlock()
	s.history.add(now, args, reply)
}

// completed implements events: a suspect that completes is cleared everywhere.
func (s *Scheduler) completed(fingerprint uint64) {
	now := time.Now()
	if verdict, _ := s.suspects.Verdict(now, fingerprint); verdict == suspicion.Clear {
		return
	}
	id := fmt.Sprintf("cleared/%s/%x/%d", s.fleet.Self().Host, fingerprint, now.UnixNano())
	s.fleet.AddEvents(now, []control.Event{{ID: id, Kind: control.EventCleared, Fingerprint: fingerprint, Seen: now}})
}

func (p *pool) withSuspects(now time.Time, suspects *crashes.FleetTracker) []string {
	var targets []string
	for _, g := range p.granted {
		if verdict, _ := suspects.Verdict(now, g.args.Fingerprint); verdict != suspicion.Clear {
			targets = append(targets, g.target.Name)
		}
	}
	return targets
}

func crashSuspect(expires time.Duration) control.AdmitReply {
	return control.AdmitReply{
		Kind:       string(problem.KindCrashSuspect),
		Detail:     "targets crashed each time they ran this request",
		RetryAfter: expires,
	}
}

// suspect implements events.
func (s *Scheduler) suspect(now time.Time, fingerprint uint64) (control.AdmitReply, bool) {
	verdict, expires := s.suspects.Verdict(now, fingerprint)
	return crashSuspect(expires), verdict == suspicion.Reject
}

func check(args control.AdmitArgs) error {
	for _, s := range []string{args.Ticket, args.Host, args.Account, args.Model} {
		if s == "" || len(s) > maxNameBytes {
			return ErrInvalidAdmit
		}
	}
	if len(args.PrefixHashes) > maxPrefixHashes || len(args.News) > maxAdmitNews ||
		len(args.Version) > maxNameBytes || len(args.Adapter) > maxNameBytes {
		return ErrInvalidAdmit
	}
	return nil
}

// Slim returns a row with nothing but the load, for the way to a pool's owner,
// which holds the rest in its table.
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
