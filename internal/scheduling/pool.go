package scheduling

import (
	"slices"
	"strings"
	"time"

	"corianderhitch/internal/scheduling/affinity"
	"corianderhitch/internal/scheduling/fairqueue"
	"corianderhitch/internal/scheduling/length"
	"corianderhitch/internal/scheduling/limits"
	"corianderhitch/internal/scheduling/steptime"
	"corianderhitch/internal/scheduling/suspicion"
)

// Pool is the product's Policy. As the owner of a pool it sees all its requests,
// so that it knows what runs where without waiting for a load report, and
// admits a request only when a target can carry it to its end. Two owners of
// one pool may overcommit a target for a while; reports then show each the
// memory that the other granted.
type Pool struct {
	config   Config
	bounds   bounds
	targets  map[string]*targetState
	order    []*targetState // by name
	slots    []bool         // slots of the cache index in use
	cache    *affinity.Index
	depth    [affinity.MaxSlots]int
	lengths  *length.Estimator
	steps    *steptime.Curve
	queue    *fairqueue.Queue
	accounts *limits.Accounts
	suspects *suspicion.Tracker
	copies   *copies
	drain    drainRate
	expiry   expiryHeap
	waiting  map[string]*waiting
	isolated []string // tickets that wait to run alone, in order of arrival
	running  map[string]*resident
	present  map[uint64]int // requests waiting or running, by fingerprint
	repeated []Grant        // of tickets that were submitted again
	refused  []Rejection    // decided at Submit, returned by the next Decide
	deaths   int64
	scratch  []scored
}

// waiting is a queued request.
type waiting struct {
	request  Request
	curve    *length.Curve
	expected float64 // output tokens
}

var _ Policy = (*Pool)(nil)

// NewPool returns a Pool without targets.
func NewPool(config Config) *Pool {
	config = config.withDefaults()
	return &Pool{
		config:   config,
		bounds:   boundsOf(config.Objectives),
		targets:  make(map[string]*targetState),
		cache:    affinity.NewIndex(0),
		lengths:  length.NewEstimator(0),
		steps:    steptime.NewCurve(),
		queue:    fairqueue.New(config.AgeAfter),
		accounts: limits.New(config.Limits),
		suspects: suspicion.NewTracker(),
		copies:   newCopies(),
		waiting:  make(map[string]*waiting),
		running:  make(map[string]*resident),
		present:  make(map[uint64]int),
	}
}

// Configure puts another document's objectives and limits in force. What was
// learned stays.
func (p *Pool) Configure(config Config) {
	p.config = config.withDefaults()
	p.bounds = boundsOf(p.config.Objectives)
	p.accounts.Configure(config.Limits)
}

// ObserveCache implements Policy. After a gap what was known stays: a prefix
// that is wrongly taken as cached costs its prefill once, while forgetting all
// would scatter requests that share prefixes.
func (p *Pool) ObserveCache(_ time.Time, update CacheUpdate) {
	t, ok := p.targets[update.Target]
	if !ok {
		return
	}
	p.cache.Store(t.slot, update.Stored)
	p.cache.Evict(t.slot, update.Evicted)
}

// Cancel implements Policy. A refusal that was not yet returned is dropped too.
func (p *Pool) Cancel(_ time.Time, ticket string) {
	p.withdraw(ticket)
	p.refused = slices.DeleteFunc(p.refused, func(r Rejection) bool { return r.Ticket == ticket })
}

// Finish implements Policy.
func (p *Pool) Finish(now time.Time, finished Finished) {
	r, ok := p.running[finished.Ticket]
	if !ok {
		return
	}
	r.target.advance(now, p.steps)
	p.release(r)
	p.lengths.Observe(keyOf(&r.request), finished.Produced, finished.Complete)
	p.drain.add(now, float64(finished.Produced-r.request.Produced))
	p.queue.AdjustCharge(r.request.Account, r.request.Weight, float64(finished.Produced-r.request.Produced)-r.expected)
	p.accounts.Ended(now, r.request.Account, finished.Produced)
	if finished.Complete {
		p.suspects.RecordCompletion(r.request.Fingerprint)
		p.copies.prove(r.request.Fingerprint)
	}
}

// release takes a resident off its target.
func (p *Pool) release(r *resident) {
	delete(p.running, r.request.Ticket)
	r.target.remove(r)
	p.copies.released(r.request.Fingerprint)
	p.gone(r.request.Fingerprint)
}

// gone counts a request that neither waits nor runs any more, and ends the
// quarantine that was kept for it.
func (p *Pool) gone(fingerprint uint64) {
	p.present[fingerprint]--
	if p.present[fingerprint] > 0 {
		return
	}
	delete(p.present, fingerprint)
	p.endQuarantine(fingerprint)
}

func (p *Pool) withdraw(ticket string) {
	w, ok := p.waiting[ticket]
	if !ok {
		return
	}
	p.queue.Remove(ticket)
	delete(p.waiting, ticket)
	p.gone(w.request.Fingerprint)
}

func keyOf(r *Request) length.Key {
	return length.Key{Model: r.Model, Account: r.Account, Class: r.Class}
}

// TakeWaiting withdraws all waiting requests and returns them in order of their
// tickets, for a pool whose targets are gone.
func (p *Pool) WithdrawAll() []Request {
	list := make([]Request, 0, len(p.waiting))
	for _, w := range p.waiting {
		list = append(list, w.request)
	}
	slices.SortFunc(list, func(a, b Request) int { return strings.Compare(a.Ticket, b.Ticket) })
	for i := range list {
		p.withdraw(list[i].Ticket)
	}
	return list
}
