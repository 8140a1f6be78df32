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

// Pool is the Policy used in production. All requests of a pool pass through its
// owner, so that a Pool knows what runs where without waiting for a load report,
// and it admits a request only if a target is expected to have memory for its
// whole output. While two hosts both act as the owner of one pool they may
// overcommit a target, until load reports show each owner the memory that the
// other's grants use.
type Pool struct {
	config            Config
	operatingPoint    operatingPoint
	targets           map[string]*targetState
	sortedTargets     []*targetState // by target name
	slotUsed          []bool         // slots of the cache index in use
	cache             *affinity.Index
	prefixDepth       [affinity.MaxSlots]int // result of cache.Match, reused by newCandidate
	lengths           *length.Estimator
	steps             *steptime.Curve
	queue             *fairqueue.Queue
	accounts          *limits.Accounts
	suspects          *suspicion.Tracker
	duplicates        *duplicates // which targets run requests with equal fingerprints
	completions       completionRate
	deadlines         deadlineHeap
	waiting           map[string]*waitingRequest
	isolated          []string // tickets that wait to run alone, in order of arrival
	running           map[string]*resident
	openRequests      map[uint64]int // requests waiting or running, by fingerprint
	repeatedGrants    []Grant        // of tickets that were submitted again
	pendingRejections []Rejection    // decided at Submit, returned by the next Decide
	crashCount        int64          // for unique crash IDs
	scored            []scoredTarget // reused by chooseTarget
}

// waitingRequest is a request that was neither granted nor rejected yet.
type waitingRequest struct {
	request        Request
	curve          *length.Curve // distribution of its output length
	expectedTokens float64       // output tokens still to come
}

var _ Policy = (*Pool)(nil)

// NewPool returns a Pool without targets.
func NewPool(config Config) *Pool {
	config = config.withDefaults()
	return &Pool{
		config:         config,
		operatingPoint: newOperatingPoint(config.Objectives),
		targets:        make(map[string]*targetState),
		cache:          affinity.NewIndex(0),
		lengths:        length.NewEstimator(0),
		steps:          steptime.NewCurve(),
		queue:          fairqueue.New(config.AgeAfter),
		accounts:       limits.New(config.Limits, config.RatesUsedUntil),
		suspects:       suspicion.NewTracker(),
		duplicates:     newDuplicates(),
		waiting:        make(map[string]*waitingRequest),
		running:        make(map[string]*resident),
		openRequests:   make(map[uint64]int),
	}
}

// Configure replaces the objectives and limits. Learned state is kept, and so are
// the queued and running requests.
func (p *Pool) Configure(config Config) {
	p.config = config.withDefaults()
	p.operatingPoint = newOperatingPoint(p.config.Objectives)
	p.accounts.Configure(config.Limits)
}

// TakeOver records that another process may have granted requests until now, which the
// rates of accounts must allow for.
func (p *Pool) TakeOver(now time.Time) { p.accounts.TakeOver(now) }

// ObserveCache implements Policy. It keeps the known contents after missed
// events: a prefix that is wrongly assumed to be cached costs one prefill, while
// forgetting everything would place requests that share prefixes on different
// targets.
func (p *Pool) ObserveCache(_ time.Time, update CacheUpdate) {
	t, ok := p.targets[update.Target]
	if !ok {
		return
	}
	p.cache.Store(t.slot, update.Stored)
	p.cache.Evict(t.slot, update.Evicted)
}

// Cancel implements Policy. It also drops a rejection that Decide has not
// returned yet.
func (p *Pool) Cancel(_ time.Time, ticket string) {
	p.withdraw(ticket)
	p.pendingRejections = slices.DeleteFunc(p.pendingRejections, func(r Rejection) bool { return r.Ticket == ticket })
}

// Finish implements Policy.
func (p *Pool) Finish(now time.Time, finished Finished) {
	r, ok := p.running[finished.Ticket]
	if !ok {
		return
	}
	r.target.advance(now, p.steps)
	p.release(r)
	p.lengths.Observe(lengthKey(&r.request), finished.Produced, finished.Complete)
	p.completions.add(now, float64(finished.Produced-r.request.Produced))
	p.queue.AdjustCharge(r.request.Account, r.request.Weight, float64(finished.Produced-r.request.Produced)-r.expectedTokens)
	p.accounts.Ended(now, r.request.Account, finished.Produced)
	if finished.Complete {
		p.suspects.RecordCompletion(r.request.Fingerprint, now)
		p.duplicates.markCompleted(r.request.Fingerprint)
	}
}

// release frees the capacity of a running request, however it ended.
func (p *Pool) release(r *resident) {
	delete(p.running, r.request.Ticket)
	r.target.remove(r)
	p.duplicates.remove(r.request.Fingerprint)
	p.closeRequest(r.request.Fingerprint)
}

// closeRequest records that a request with the fingerprint neither waits nor runs
// any more. After the last one it ends the quarantine for the fingerprint.
func (p *Pool) closeRequest(fingerprint uint64) {
	p.openRequests[fingerprint]--
	if p.openRequests[fingerprint] > 0 {
		return
	}
	delete(p.openRequests, fingerprint)
	p.endQuarantine(fingerprint)
}

// withdraw removes a waiting request from the pool, if the ticket names one.
func (p *Pool) withdraw(ticket string) {
	w, ok := p.waiting[ticket]
	if !ok {
		return
	}
	p.queue.Remove(ticket)
	p.isolated = slices.DeleteFunc(p.isolated, func(isolated string) bool { return isolated == ticket })
	delete(p.waiting, ticket)
	p.closeRequest(w.request.Fingerprint)
}

func lengthKey(r *Request) length.Key {
	return length.Key{Model: r.Model, Account: r.Account, Class: r.Class}
}

// WithdrawAll removes all waiting requests and returns them sorted by ticket. It
// serves pools that have lost all their targets.
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
