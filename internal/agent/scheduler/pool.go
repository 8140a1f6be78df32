package scheduler

import (
	"log/slog"
	"sync"
	"time"

	"corianderhitch/api/control"
	"corianderhitch/api/problem"
	"corianderhitch/internal/scheduling"
)

const (
	// inboxSize bounds the messages that wait for a pool's goroutine. New requests are
	// rejected while the inbox is full.
	inboxSize = 1024
	// sameCrashWindow is the time within which reports of a target's crash count as
	// one crash.
	sameCrashWindow = 5 * time.Second
	// defaultRetryAfter is the Retry-After of rejections for which the policy gives
	// none.
	defaultRetryAfter = 2 * time.Second
)

// pool drives the policy of one pool. Only its goroutine accesses its fields, other
// goroutines use send and sendAlways.
type pool struct {
	key       Key
	log       *slog.Logger
	policy    scheduling.Policy
	inbox     chan message
	overflow  overflow
	quit      chan struct{}
	stopped   chan struct{} // closed when the goroutine has ended and answers nothing more
	done      sync.WaitGroup
	callbacks callbacks
	// ownedSince is since when this host has owned the pool, zero while it doesn't; guarded
	// by the scheduler's mu.
	ownedSince time.Time

	rows         []control.TargetState
	waiting      map[string]*waiter   // by ticket
	granted      map[string]grant     // by ticket
	lastCrash    map[string]time.Time // by target
	incomplete   []incompleteRequest  // requests that ended incomplete within incompleteRetention
	incarnations map[string]int64     // highest seen, by gateway host
	holds        uint64               // callbacks.holds when the waiting requests were checked last
}

// waiter is a queued request and the channel on which its caller waits for the answer.
// The channel is closed if this host stops serving the pool.
type waiter struct {
	args  control.AdmitArgs
	reply chan<- control.AdmitReply // of capacity 1
}

// callbacks are called from a pool's goroutine.
type callbacks interface {
	onDecision(now time.Time, args control.AdmitArgs, reply control.AdmitReply)
	onCompletion(fingerprint uint64)
	// onAnswer is called when the answer to a prompt has begun since the grant.
	onAnswer(grantedAt time.Time, prefixes []uint64)
	// holds returns the number of times that a beginning of prompts was held back.
	holds() uint64
	// rejectIfHeld returns the rejection of a request whose prompt begins with a held
	// prefix, and whether it must be rejected.
	rejectIfHeld(now time.Time, prefixes []uint64, admits bool) (control.AdmitReply, bool)
	// rejectIfSuspect returns the rejection of a request that is known to crash
	// targets, and whether it must be rejected.
	rejectIfSuspect(now time.Time, fingerprint uint64) (control.AdmitReply, bool)
}

// message is a unit of work that runs in a pool's goroutine.
type message func(p *pool, now time.Time)

func startPool(key Key, log *slog.Logger, policy scheduling.Policy, cb callbacks) *pool {
	p := &pool{
		key:          key,
		log:          log,
		policy:       policy,
		inbox:        make(chan message, inboxSize),
		quit:         make(chan struct{}),
		stopped:      make(chan struct{}),
		callbacks:    cb,
		waiting:      make(map[string]*waiter),
		granted:      make(map[string]grant),
		lastCrash:    make(map[string]time.Time),
		incarnations: make(map[string]int64),
	}
	p.done.Go(p.run)
	return p
}

// stop ends the goroutine. Waiting callers get the not-owner error first.
func (p *pool) stop() {
	close(p.quit)
	p.done.Wait()
}

// send queues a message and reports whether the inbox had room for it.
func (p *pool) send(m message) bool {
	select {
	case p.inbox <- m:
		return true
	default:
		return false
	}
}

// overflow holds messages that must not be dropped while the inbox is full.
type overflow struct {
	mu       sync.Mutex
	messages []message // guarded by mu; in order of arrival
}

// sendAlways queues a message that must not be dropped, such as the end of a request.
// While the inbox is full it waits outside, where the next message of the inbox takes it
// along. There are at most as many as requests were granted.
func (p *pool) sendAlways(m message) {
	if p.send(m) {
		return
	}
	p.overflow.mu.Lock()
	p.overflow.messages = append(p.overflow.messages, m)
	p.overflow.mu.Unlock()
	// The inbox may have been emptied meanwhile; otherwise its next message suffices.
	p.send(func(*pool, time.Time) {})
}

// takeOverflow removes and returns the messages that found the inbox full.
func (p *pool) takeOverflow() []message {
	p.overflow.mu.Lock()
	defer p.overflow.mu.Unlock()
	taken := p.overflow.messages
	p.overflow.messages = nil
	return taken
}

// run handles the messages of the pool and makes its decisions until it is stopped.
func (p *pool) run() {
	defer close(p.stopped)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-p.quit:
			p.redirectWaiting()
			return
		case m := <-p.inbox:
			m(p, time.Now())
			p.handleBacklog()
		case <-timer.C:
		}
		now := time.Now()
		p.decide(now)
		timer.Reset(p.untilNextDecision(now))
	}
}

// handleBacklog handles the queued messages, so that one decision covers a burst.
func (p *pool) handleBacklog() {
	p.handleInbox()
	for _, m := range p.takeOverflow() {
		m(p, time.Now())
	}
}

func (p *pool) handleInbox() {
	for range inboxSize {
		select {
		case m := <-p.inbox:
			m(p, time.Now())
		default:
			return
		}
	}
}

func (p *pool) untilNextDecision(now time.Time) time.Duration {
	next := p.policy.NextDecision(now)
	if next.IsZero() {
		return time.Hour
	}
	return max(next.Sub(now), time.Millisecond)
}

func (p *pool) decide(now time.Time) {
	p.rejectSuspects(now)
	decisions := p.policy.Decide(now)
	for _, r := range decisions.Rejections {
		p.answer(now, r.Ticket, control.AdmitReply{Kind: r.Kind, Detail: r.Detail, RetryAfter: r.RetryAfter})
	}
	for _, g := range decisions.Grants {
		p.grant(now, g)
	}
}

// rejectSuspects rejects waiting requests that crash reports have meanwhile shown to be the
// cause of crashes, or whose prompts begin like those under which targets crashed.
func (p *pool) rejectSuspects(now time.Time) {
	holds := p.callbacks.holds()
	for ticket, w := range p.waiting {
		reply, rejected := p.callbacks.rejectIfSuspect(now, w.args.Fingerprint)
		if !rejected && holds != p.holds {
			reply, rejected = p.callbacks.rejectIfHeld(now, w.args.PrefixHashes, false)
		}
		if rejected {
			p.policy.Cancel(now, ticket)
			p.answer(now, ticket, reply)
		}
	}
	p.holds = holds
}

func (p *pool) grant(now time.Time, g scheduling.Grant) {
	w, isWaiting := p.waiting[g.Ticket]
	row, known := p.row(g.Target)
	if !isWaiting || !known || !serves(row.Load, w.args.Model, w.args.Version, w.args.Adapter) {
		p.policy.Finish(now, scheduling.Finished{Ticket: g.Ticket})
		p.answer(now, g.Ticket, noTargetReply(w))
		return
	}
	p.granted[g.Ticket] = grant{args: w.args, target: row, reason: g.Reason, grantedAt: now}
	p.answer(now, g.Ticket, control.AdmitReply{Granted: true, Target: row.Target, Reason: g.Reason})
}

func (p *pool) answer(now time.Time, ticket string, reply control.AdmitReply) {
	w, isWaiting := p.waiting[ticket]
	if !isWaiting {
		return
	}
	delete(p.waiting, ticket)
	p.callbacks.onDecision(now, w.args, reply)
	w.reply <- reply
}

// submit queues a request. A ticket that was granted before gets the same answer
// again, so that a gateway may retry.
func (p *pool) submit(now time.Time, args control.AdmitArgs, lateDelivery bool, excluded []string, reply chan<- control.AdmitReply) {
	if g, granted := p.granted[args.Ticket]; granted {
		reply <- control.AdmitReply{Granted: true, Target: g.target.Target, Reason: g.reason}
		return
	}
	p.observeIncarnation(now, args)
	w := &waiter{args: args, reply: reply}
	usable, incompatible := classifyTargets(p.rows, args)
	p.waiting[args.Ticket] = w
	if len(usable) == 0 {
		p.answer(now, args.Ticket, noTargetReply(w))
		return
	}
	r := policyRequest(now, args)
	r.LateDelivery = lateDelivery
	r.ExcludedTargets = append(incompatible, p.excludedUnlessAll(usable, append(excluded, args.Avoid...))...)
	p.policy.Submit(now, r)
}

// excludedUnlessAll returns excluded, or nil if it names all usable targets: running
// on an excluded target is better than a rejection.
func (p *pool) excludedUnlessAll(usable, excluded []string) []string {
	for _, name := range usable {
		if !contains(excluded, name) {
			return excluded
		}
	}
	return nil
}

// observeIncarnation releases the slots of a gateway's earlier process once the
// gateway has restarted.
func (p *pool) observeIncarnation(now time.Time, args control.AdmitArgs) {
	if args.Incarnation <= p.incarnations[args.Host] {
		return
	}
	p.incarnations[args.Host] = args.Incarnation
	p.releaseOrphaned(now, nil)
}

// finish withdraws a waiting request, or releases the slot of a granted one.
func (p *pool) finish(now time.Time, f control.Finished) {
	if _, isWaiting := p.waiting[f.Ticket]; isWaiting {
		p.policy.Cancel(now, f.Ticket)
		p.answer(now, f.Ticket, control.AdmitReply{Kind: string(problem.KindDeadline), Detail: "the caller withdrew the request"})
		return
	}
	g, known := p.granted[f.Ticket]
	if !known {
		return
	}
	delete(p.granted, f.Ticket)
	p.policy.Finish(now, scheduling.Finished{Ticket: f.Ticket, Produced: f.Produced, Complete: f.Complete})
	if f.Produced > g.args.Produced {
		p.callbacks.onAnswer(g.grantedAt, g.args.PrefixHashes)
	}
	if f.Complete {
		p.callbacks.onCompletion(g.args.Fingerprint)
		return
	}
	p.recordIncomplete(now, g)
}

// recordCrash tells the policy that a target crashed, once per crash.
func (p *pool) recordCrash(now time.Time, target string) {
	if previous, seen := p.lastCrash[target]; seen && now.Sub(previous) < sameCrashWindow {
		return
	}
	p.lastCrash[target] = now
	p.policy.Crashed(now, target)
}

// releaseOrphaned releases the slots of gateways that have crashed, left or restarted,
// and withdraws their waiting requests. Hosts may be nil.
func (p *pool) releaseOrphaned(now time.Time, hosts map[string]control.Member) {
	for ticket, g := range p.granted {
		if g.isOrphaned(now, hosts, p.incarnations) {
			delete(p.granted, ticket)
			p.policy.Finish(now, scheduling.Finished{Ticket: ticket, Produced: g.args.Produced})
		}
	}
	for ticket, w := range p.waiting {
		if (grant{args: w.args, grantedAt: now}).isOrphaned(now, hosts, p.incarnations) {
			p.policy.Cancel(now, ticket)
			p.answer(now, ticket, control.AdmitReply{Kind: string(problem.KindDeadline), Detail: "the gateway died"})
		}
	}
}

func (p *pool) setTargets(now time.Time, rows []control.TargetState) {
	p.rows = rows
	p.policy.SetTargets(now, policyTargets(rows))
}

func (p *pool) row(name string) (control.TargetState, bool) {
	for _, r := range p.rows {
		if r.Name == name {
			return r, true
		}
	}
	return control.TargetState{}, false
}

// redirectWaiting answers all waiting requests with the not-owner error, so that their
// gateways ask the next owner.
func (p *pool) redirectWaiting() {
	for {
		select {
		case m := <-p.inbox:
			m(p, time.Now())
			continue
		default:
		}
		break
	}
	for ticket, w := range p.waiting {
		delete(p.waiting, ticket)
		close(w.reply)
	}
}

// noTargetReply is the rejection of a request whose model version no engine serves.
// The waiter may be nil.
func noTargetReply(w *waiter) control.AdmitReply {
	reply := control.AdmitReply{Kind: string(problem.KindNoTarget), RetryAfter: defaultRetryAfter, Detail: "no engine serves the model"}
	if w != nil {
		reply.Detail = "no engine serves model " + w.args.Model + " version " + w.args.Version + " now"
	}
	return reply
}
