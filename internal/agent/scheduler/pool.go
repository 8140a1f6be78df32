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
	// inboxSize bounds the messages that wait for the goroutine of a pool. A full
	// inbox refuses new requests.
	inboxSize = 1024
	// sameDeath is the time within which reports of a target's death mean one.
	sameDeath = 5 * time.Second
	// defaultRetry is the Retry-After where the policy gives none.
	defaultRetry = 2 * time.Second
)

// pool drives the policy of one pool. Only its goroutine touches its fields.
type pool struct {
	key    Key
	log    *slog.Logger
	policy scheduling.Policy
	inbox  chan message
	quit   chan struct{}
	gone   chan struct{} // closed when nothing is answered any more
	done   sync.WaitGroup
	events events

	rows         []control.TargetState
	waiting      map[string]*waiter // by ticket
	granted      map[string]grant   // by ticket
	deaths       map[string]time.Time
	cuts         []cut            // requests that ended incomplete lately
	incarnations map[string]int64 // highest seen, by gateway host
}

// waiter is a request in the queue with the call that waits for the answer.
type waiter struct {
	args  control.AdmitArgs
	reply chan<- control.AdmitReply // of capacity 1
}

// events tells what happened in a pool.
type events interface {
	decided(now time.Time, args control.AdmitArgs, reply control.AdmitReply)
	completed(fingerprint uint64)
	// suspect returns the refusal of a request that is known to crash targets.
	suspect(now time.Time, fingerprint uint64) (control.AdmitReply, bool)
}

// message is a unit of work of a pool.
type message func(p *pool, now time.Time)

func startPool(key Key, log *slog.Logger, policy scheduling.Policy, ev events) *pool {
	p := &pool{
		key:          key,
		log:          log,
		policy:       policy,
		inbox:        make(chan message, inboxSize),
		quit:         make(chan struct{}),
		gone:         make(chan struct{}),
		events:       ev,
		waiting:      make(map[string]*waiter),
		granted:      make(map[string]grant),
		deaths:       make(map[string]time.Time),
		incarnations: make(map[string]int64),
	}
	p.done.Go(p.run)
	return p
}

// stop ends the goroutine; whoever waits gets the not-owner answer first.
func (p *pool) stop() {
	close(p.quit)
	p.done.Wait()
}

// send queues a message, or tells that the inbox is full.
func (p *pool) send(m message) bool {
	select {
	case p.inbox <- m:
		return true
	default:
		return false
	}
}

func (p *pool) run() {
	defer close(p.gone)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-p.quit:
			p.handOver()
			return
		case m := <-p.inbox:
			m(p, time.Now())
			p.drain()
		case <-timer.C:
		}
		now := time.Now()
		p.decide(now)
		timer.Reset(p.untilNext(now))
	}
}

// drain handles what else waits, so that one decision covers a burst.
func (p *pool) drain() {
	for range inboxSize {
		select {
		case m := <-p.inbox:
			m(p, time.Now())
		default:
			return
		}
	}
}

func (p *pool) untilNext(now time.Time) time.Duration {
	next := p.policy.NextDecision(now)
	if next.IsZero() {
		return time.Hour
	}
	return max(next.Sub(now), time.Millisecond)
}

func (p *pool) decide(now time.Time) {
	p.refuseSuspects(now)
	decisions := p.policy.Decide(now)
	for _, r := range decisions.Rejections {
		p.answer(now, r.Ticket, control.AdmitReply{Kind: r.Kind, Detail: r.Detail, RetryAfter: r.RetryAfter})
	}
	for _, g := range decisions.Grants {
		p.grant(now, g)
	}
}

// refuseSuspects gives those that wait their final answer as soon as a crash
// elsewhere has shown that their request is its cause.
func (p *pool) refuseSuspects(now time.Time) {
	for ticket, w := range p.waiting {
		if reply, refused := p.events.suspect(now, w.args.Fingerprint); refused {
			p.policy.Cancel(now, ticket)
			p.answer(now, ticket, reply)
		}
	}
}

func (p *pool) grant(now time.Time, g scheduling.Grant) {
	w, waits := p.waiting[g.Ticket]
	row, known := p.row(g.Target)
	if !waits || !known || !serves(row.Load, w.args.Model, w.args.Version, w.args.Adapter) {
		p.policy.Finish(now, scheduling.Finished{Ticket: g.Ticket})
		p.answer(now, g.Ticket, noTarget(w))
		return
	}
	p.granted[g.Ticket] = grant{args: w.args, target: row, reason: g.Reason, at: now}
	p.answer(now, g.Ticket, control.AdmitReply{Granted: true, Target: row.Target, Reason: g.Reason})
}

func (p *pool) answer(now time.Time, ticket string, reply control.AdmitReply) {
	w, waits := p.waiting[ticket]
	if !waits {
		return
	}
	delete(p.waiting, ticket)
	p.events.decided(now, w.args, reply)
	w.reply <- reply
}

// submit queues a request. A ticket that was granted before gets the same
// answer again.
func (p *pool) submit(now time.Time, args control.AdmitArgs, mayBeLate bool, avoid []string, reply chan<- control.AdmitReply) {
	if g, again := p.granted[args.Ticket]; again {
		reply <- control.AdmitReply{Granted: true, Target: g.target.Target, Reason: g.reason}
		return
	}
	p.newcomer(now, args)
	w := &waiter{args: args, reply: reply}
	usable, lacking := split(p.rows, args)
	p.waiting[args.Ticket] = w
	if len(usable) == 0 {
		p.answer(now, args.Ticket, noTarget(w))
		return
	}
	r := request(now, args)
	r.LateDelivery = mayBeLate
	r.ExcludedTargets = append(lacking, p.avoidable(usable, append(avoid, args.Avoid...))...)
	p.policy.Submit(now, r)
}

// avoidable drops the list if it names all usable targets: running again on one
// of them beats a refusal.
func (p *pool) avoidable(usable, avoid []string) []string {
	for _, name := range usable {
		if !contains(avoid, name) {
			return avoid
		}
	}
	return nil
}

// newcomer returns the places of an earlier run of the same gateway.
func (p *pool) newcomer(now time.Time, args control.AdmitArgs) {
	if args.Incarnation <= p.incarnations[args.Host] {
		return
	}
	p.incarnations[args.Host] = args.Incarnation
	p.expire(now, nil)
}

func (p *pool) finish(now time.Time, f control.Finished) {
	if _, waits := p.waiting[f.Ticket]; waits {
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
	if f.Complete {
		p.events.completed(g.args.Fingerprint)
		return
	}
	p.noteCut(now, g)
}

// crashed tells the policy once that a target died.
func (p *pool) crashed(now time.Time, target string) {
	if last, seen := p.deaths[target]; seen && now.Sub(last) < sameDeath {
		return
	}
	p.deaths[target] = now
	p.policy.Crashed(now, target)
}

// expire returns the places of gateways that died. Hosts may be nil.
func (p *pool) expire(now time.Time, hosts map[string]control.Member) {
	for ticket, g := range p.granted {
		if g.lost(now, hosts, p.incarnations) {
			delete(p.granted, ticket)
			p.policy.Finish(now, scheduling.Finished{Ticket: ticket, Produced: g.args.Produced})
		}
	}
	for ticket, w := range p.waiting {
		if (grant{args: w.args, at: now}).lost(now, hosts, p.incarnations) {
			p.policy.Cancel(now, ticket)
			p.answer(now, ticket, control.AdmitReply{Kind: string(problem.KindDeadline), Detail: "the gateway died"})
		}
	}
}

func (p *pool) setTargets(now time.Time, rows []control.TargetState) {
	p.rows = rows
	p.policy.SetTargets(now, toPolicy(rows))
}

func (p *pool) row(name string) (control.TargetState, bool) {
	for _, r := range p.rows {
		if r.Name == name {
			return r, true
		}
	}
	return control.TargetState{}, false
}

// handOver answers all that wait, so that their gateways ask the next owner.
func (p *pool) handOver() {
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

func noTarget(w *waiter) control.AdmitReply {
	reply := control.AdmitReply{Kind: string(problem.KindNoTarget), RetryAfter: defaultRetry, Detail: "no engine serves the model"}
	if w != nil {
		reply.Detail = "no engine serves model " + w.args.Model + " version " + w.args.Version + " now"
	}
	return reply
}
