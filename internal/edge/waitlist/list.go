package waitlist

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/placement"
)

const (
	// maxHeldFor bounds the entries before a run for which room is kept at each decision. The
	// decision costs one choice of an engine for each.
	maxHeldFor = 6
	// maxEntries bounds the entries of a service.
	maxEntries = 4096
	// acceptShare is the share of its useful wait that a new run may be predicted to wait. Runs
	// of other accounts may go first later: with 0.5, a tenth more of the rejections came later
	// than an eighth of the objective, and as many runs were served.
	acceptShare = 0.25
	// hopelessFactor times the time left until its latest useful start is the predicted wait at
	// which an accepted run is rejected.
	hopelessFactor = 2
	// askInterval is the time between two asks of a host, with some delay.
	askInterval = 110 * time.Millisecond
	// maxReservedShare bounds the share of the engines that are kept for single large runs.
	maxReservedShare = 0.125
	// largeFactor times the mean size of its kind is the size from which an engine is kept for
	// a run that fits nowhere.
	largeFactor = 1.2
	// minReserve times the mean memory that more urgent kinds use is kept for them, and up to
	// pressureReserve times as much in addition if they find no room at their first ask. A
	// constant 1.5 gave long runs 0.60 instead of 0.79 of their credit in a short burst of twice
	// the load, and urgent ones 0.99 instead of 0.96.
	minReserve, pressureReserve = 0.5, 2.5
	// pressureGain times the share of the more urgent tokens that found no room is the share of
	// pressureReserve that is kept.
	pressureGain = 3
	// maxReserveShare bounds the memory that is kept, as a share of each engine's. With 0.15, long
	// runs earned up to 0.07 more, and 0.62 instead of 0.76 of the largest tenth of the urgent
	// prompts was served at slow engines.
	maxReserveShare = 0.3
	// calmAfter is the time ahead for which the whole rate of a kind is promised to callers that
	// come back; sooner, the share falls with the square of the time. Bursts last seconds, and a
	// caller that comes back within one takes the room of another that is still in time.
	calmAfter = 8 * time.Second
	// firstReturn is the earliest time at which a rejected caller may come back, and
	// maxFirstReturnShare bounds it as a share of the time left.
	firstReturn         = 8 * time.Second
	maxFirstReturnShare = 0.25
	// prefillMargin times the usual prefill time is allowed for the prompts ahead of a run.
	prefillMargin = 1.2
	// acceptedShare of its time left is the longest time after which a caller comes back.
	acceptedShare = 0.32
	// minReturn is the shortest time after which a caller may come back.
	minReturn = 100 * time.Millisecond
)

// Stats counts what a List has decided.
type Stats struct {
	Entries   int
	Predicted time.Duration // wait that was predicted last
	Kept      int64         // promises whose caller came back and was placed
	Broken    int64         // promises whose caller came back and was not placed
}

// List orders the waiting runs of all hosts. It is safe for concurrent use.
type List struct {
	mu       sync.Mutex
	services map[string]*service // guarded by mu
	promises promises            // guarded by mu
	stats    Stats               // guarded by mu
}

// New returns an empty list.
func New() *List {
	return &List{services: make(map[string]*service), promises: promises{byPrint: make(map[string]*promise)}}
}

// service holds the waiting runs of one service.
type service struct {
	entries  []*entry // in no order
	byID     map[string]*entry
	accounts *accounts
	kinds    map[int]*kind // by urgency
	// decided holds when runs were placed or rejected lately, by ID. Another run of the same host may
	// still name them among those that wait with it.
	decided map[string]bootclock.Instant
}

// Stats returns what the list has decided so far.
func (l *List) Stats(now bootclock.Instant) Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	stats := l.stats
	for _, s := range l.services {
		for _, e := range s.entries {
			if !e.expired(now) {
				stats.Entries++
			}
		}
	}
	return stats
}

// Decide returns the index of the engine that the run gets, -1 if none, and whether the run is
// rejected.
func (l *List) Decide(now bootclock.Instant, r *Request) (int, Verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.promises.expire(now)
	s := l.service(now, r.Service)
	l.expire(now, s)
	s.accounts.refresh(now, s.refersTo) // before tokens are recorded: the scale overflows after two hours without asks
	for i := range r.Others {
		if o := &r.Others[i]; !s.wasDecided(now, o.ID) {
			l.enter(now, s, o)
		}
	}
	e := l.enter(now, s, &r.Ask)
	e.asks++
	before, ahead, first := s.before(e)
	v := Verdict{Class: e.class, Position: before, Entries: len(s.entries), Predicted: s.kind(now, e.Urgency).predict(now, ahead)}
	l.stats.Predicted = max(0, v.Predicted)
	i := -1
	if e.class != Early || before == 0 { // a caller that repeats its request gains nothing
		i = s.choose(now, r, e, first)
	}
	if i < 0 && e.asks == 1 && e.class != Early {
		s.kind(now, e.Urgency).missed.add(now, float64(e.Tokens))
	}
	switch {
	case i >= 0:
		l.place(now, s, e)
	case s.isHopeless(e, before, v.Predicted):
		v.Rejected, v.RetryAfter = true, l.reject(now, s, e, v.Predicted)
	default:
		e.accepted = true
	}
	return i, v
}

func (l *List) service(now bootclock.Instant, name string) *service {
	s := l.services[name]
	if s == nil {
		s = &service{byID: make(map[string]*entry), accounts: newAccounts(now), kinds: make(map[int]*kind), decided: make(map[string]bootclock.Instant)}
		l.services[name] = s
	}
	return s
}

func (s *service) kind(now bootclock.Instant, urgency int) *kind {
	k := s.kinds[urgency]
	if k == nil {
		k = newKind(now)
		s.kinds[urgency] = k
	}
	return k
}

func (s *service) refersTo(a *account) bool {
	return slices.ContainsFunc(s.entries, func(e *entry) bool { return e.account == a })
}

// wasDecided reports whether a run was placed or rejected within the lifetime of an entry.
func (s *service) wasDecided(now bootclock.Instant, id string) bool {
	at, ok := s.decided[id]
	return ok && now.Sub(at) <= entryLifetime
}

// decide records that a run was placed or rejected, and removes its entry.
func (s *service) decide(now bootclock.Instant, e *entry) {
	s.remove(e)
	s.decided[e.ID] = now
}

// expire removes the entries whose hosts ask no more, and forgets decisions.
func (l *List) expire(now bootclock.Instant, s *service) {
	maps.DeleteFunc(s.decided, func(_ string, at bootclock.Instant) bool { return now.Sub(at) > entryLifetime })
	s.entries = slices.DeleteFunc(s.entries, func(e *entry) bool {
		if !e.expired(now) {
			return false
		}
		l.countPromise(e, false)
		delete(s.byID, e.ID)
		return true
	})
}

func (l *List) countPromise(e *entry, kept bool) {
	switch {
	case !e.promised:
	case kept:
		l.stats.Kept++
	default:
		l.stats.Broken++
	}
}

// enter adds or refreshes the entry of a run.
func (l *List) enter(now bootclock.Instant, s *service, a *Ask) *entry {
	e := s.byID[a.ID]
	if e != nil {
		e.refresh(now, a)
		return e
	}
	e = &entry{account: s.accounts.get(a.Account)}
	e.refresh(now, a)
	if s.has(a.Fingerprint) {
		l.promises.share(now, a.Fingerprint)
	}
	if a.Again {
		e.class = Due
	} else {
		e.class, e.promised = l.promises.class(now, a.Fingerprint)
		if e.class != Early {
			if !e.promised { // otherwise counted when it came first
				s.accounts.recordAsked(now, e.account, a.Urgency, a.Tokens)
			}
			s.kind(now, a.Urgency).recordAsked(now, a)
		}
	}
	if len(s.entries) < maxEntries {
		s.entries = append(s.entries, e)
		s.byID[a.ID] = e
	}
	return e
}

// has reports whether a run with the fingerprint waits.
func (s *service) has(fingerprint string) bool {
	return fingerprint != "" && slices.ContainsFunc(s.entries, func(e *entry) bool { return e.Fingerprint == fingerprint })
}

func (s *service) remove(e *entry) {
	if s.byID[e.ID] == e {
		delete(s.byID, e.ID)
		s.entries = slices.DeleteFunc(s.entries, func(o *entry) bool { return o == e })
	}
}

// before returns how many entries precede e, the tokens of those of its urgency, and the first
// maxHeldFor of them in order.
func (s *service) before(e *entry) (n, ahead int, first []*entry) {
	first = make([]*entry, 0, maxHeldFor+1)
	for _, o := range s.entries {
		if o == e || o.compare(e) > 0 {
			continue
		}
		n++
		if o.Urgency == e.Urgency {
			ahead += o.Tokens
		}
		if len(first) == maxHeldFor && o.compare(first[maxHeldFor-1]) > 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(first, o, (*entry).compare)
		first = slices.Insert(first, at, o)
		first = first[:min(len(first), maxHeldFor)]
	}
	return n, ahead, first
}

// choose returns the engine for e that no entry before it could use, -1 if there is none.
func (s *service) choose(now bootclock.Instant, r *Request, e *entry, first []*entry) int {
	need := s.limit(now, r, e, r.Need)
	if placement.ChooseEngine(r.Engines, r.Engine, need, r.Tried) < 0 {
		s.reserve(now, r, e, need)
		return -1
	}
	engines := slices.Clone(r.Engines)
	for _, o := range s.entries {
		if o != e && o.reserved != "" && o.Urgency <= e.Urgency {
			s.block(r, engines, o.reserved)
		}
	}
	own := map[string]bool{e.reserved: true}
	for _, o := range first {
		var tried map[string]bool
		if o.Urgency >= e.Urgency {
			tried = own // the engine that is kept for e is not for o
		}
		if i := placement.ChooseEngine(engines, r.Engine, s.limit(now, r, o, o.requirements()), tried); i >= 0 {
			engines[i].Load = engines[i].Load.Plus(o.load())
		}
	}
	return placement.ChooseEngine(engines, r.Engine, need, r.Tried)
}

// block makes an engine appear full.
func (s *service) block(r *Request, engines []placement.Candidate, key string) {
	for i := range engines {
		if engines[i].Target.Key() == key {
			engines[i].Load.Runs = max(engines[i].Load.Runs, r.Engine.Slots)
		}
	}
}

// reserve keeps the engine that will have room for e first, if e is large.
func (s *service) reserve(now bootclock.Instant, r *Request, e *entry, need placement.Requirements) {
	if mean := s.kind(now, e.Urgency).meanTokens(now); mean == 0 || float64(e.Tokens) <= largeFactor*mean {
		return
	}
	held := make(map[string]bool)
	for _, o := range s.entries {
		if o != e && o.reserved != "" {
			held[o.reserved] = true
		}
	}
	best, missing := "", math.MaxInt
	for _, c := range r.Engines {
		key := c.Target.Key()
		if held[key] || r.Tried[key] || c.FailureCost > placement.MaxHealthyCost {
			continue
		}
		if key == e.reserved {
			return
		}
		if m := placement.MissingTokens(c.Load, r.Engine, need); m < missing {
			best, missing = key, m
		}
	}
	e.reserved = ""
	if len(held) < max(1, int(maxReservedShare*float64(len(r.Engines)))) {
		e.reserved = best
	}
}

// limit adds to the requirements of a run what it must leave for more urgent ones, and how long
// its wait may still be.
func (s *service) limit(now bootclock.Instant, r *Request, e *entry, need placement.Requirements) placement.Requirements {
	left := e.latest.Sub(now)
	if e.Objective > 0 {
		need.MaxAhead = max(1, min(placement.MaxPrefillWait(e.Objective), time.Duration(float64(left)/prefillMargin)))
	}
	if len(s.entries) <= 1 && left < e.Objective/2 {
		return need // nothing else waits
	}
	memory := 0.0
	for urgency, k := range s.kinds {
		if urgency >= e.Urgency || k.runs.rate(now)*demandTimeConstant.Seconds() < 1 {
			continue
		}
		memory += max(0, (minReserve+pressureReserve*min(1, pressureGain*k.pressure(now)))*k.demand.rate(now)-k.held.rate(now))
	}
	need.Reserve = int(min(memory/float64(max(1, len(r.Engines))), maxReserveShare*float64(r.Engine.MemoryTokens)))
	return need
}

// isHopeless reports whether a run that was not placed should be rejected now.
func (s *service) isHopeless(e *entry, before int, predicted time.Duration) bool {
	switch {
	case e.UsefulFor <= askInterval && e.asks > 1:
		return true // its next ask comes too late
	case e.class == Early:
		return before > 0
	case before == 0 || e.class == Due || e.reserved != "":
		return false
	case !e.accepted:
		return float64(predicted) > acceptShare*float64(e.UsefulFor)
	}
	return predicted > hopelessFactor*e.UsefulFor
}

func (l *List) place(now bootclock.Instant, s *service, e *entry) {
	l.countPromise(e, true)
	if !e.Again {
		s.accounts.recordServed(now, e.account, e.Urgency, e.Tokens)
		s.kind(now, e.Urgency).recordServed(now, &e.Ask)
	}
	s.decide(now, e)
}

// reject removes an entry and returns when its caller may come back. A caller that would come
// back to full engines is told a time after which it does not come back.
func (l *List) reject(now bootclock.Instant, s *service, e *entry, predicted time.Duration) time.Duration {
	l.countPromise(e, false)
	s.decide(now, e)
	if made := l.promises.byPrint[e.Fingerprint]; made != nil && !made.shared {
		return max(made.at.Sub(now), minReturn) // a second place for the same request is not promised
	}
	k := s.kind(now, e.Urgency)
	earliest := max(predicted, min(firstReturn, time.Duration(maxFirstReturnShare*float64(e.TimeLeft))))
	at := max(now.Add(earliest), k.nextReturn)
	if float64(at.Sub(now)) > acceptedShare*float64(e.TimeLeft) || l.promises.isFull() {
		at = max(at, now.Add(time.Duration(2*acceptedShare*float64(e.TimeLeft))))
		l.promises.add(now, at, e.Fingerprint, false)
		return at.Sub(now)
	}
	share := min(1, at.Sub(now).Seconds()/calmAfter.Seconds())
	rate := max(minRate, share*share*k.fast.rate(now))
	k.nextReturn = at.Add(time.Duration(float64(e.Tokens) / rate * float64(time.Second)))
	l.promises.add(now, at, e.Fingerprint, true)
	return at.Sub(now)
}
