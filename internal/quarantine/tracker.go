package quarantine

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"corianderhitch/internal/rendezvous"
)

const (
	// maxFailures bounds the failures that are kept; those under no held key go first, the
	// oldest of them first. maxFailuresPerTarget bounds those of one incarnation.
	maxFailures          = 1024
	maxFailuresPerTarget = 64
	// maxKeys bounds the keys of one failure; the most specific ones are kept.
	maxKeys = 16
	// maxShared bounds the survivals that hosts tell each other.
	maxShared = 4096
	// maxTold bounds the keys of which other hosts told that they hold them back.
	maxTold = 256
	// probationTurn is how long a host may be the only one that lets a key on probation through:
	// it may be gone, or get no such request. After probationTurns hosts, each begins at an instant
	// of its own within probationSpread. Each lets one request through at a time, so that as a rule
	// one request ends the probation.
	probationTurn   = 30 * time.Second
	probationTurns  = 4
	probationSpread = time.Minute
	// trialTimeout is how long a host waits for the outcome of a request on probation.
	trialTimeout = 10 * time.Second
)

// Tracker holds the evidence that a host has and has heard of. It is safe for concurrent use.
type Tracker struct {
	// Hosts returns the names of all hosts that share their evidence, none if they are not known yet;
	// nil for a host that decides alone. It is set before the first use.
	Hosts func() []string

	host     string
	onChange func(Change)

	mu       sync.Mutex
	failures []*failure              // guarded by mu; in the order in which this host learned of them
	known    map[string]bool         // guarded by mu; identities of failures
	suspects map[Key]int             // guarded by mu; number of failures by key, targets' keys included
	shared   map[Key]*sharedSurvival // guarded by mu; survivals that matter for failures
	seen     survivals               // guarded by mu; survivals that this host saw of parts and targets
	requests survivals               // guarded by mu; the same of whole requests
	held     map[Key]*Hold           // guarded by mu; result of decide
	told     map[Key]Instant         // guarded by mu; when another host told that it holds a key back
	trials   map[Key]Instant         // guarded by mu; when this host last let a key on probation through
	expired  map[Key]Instant         // guarded by mu; Until of holds whose end was reported
	decideAt Instant                 // guarded by mu; until when held follows from the evidence
	seq      uint64                  // guarded by mu; of the latest change of the evidence
}

// sharedSurvival is a survival that hosts tell each other.
type sharedSurvival struct {
	at       Instant
	released bool // by an operator
	seq      uint64
}

// ChangeKind is what happened to a key.
type ChangeKind int

// Kinds of changes.
const (
	Held     ChangeKind = iota // the key is held back from now on
	Cleared                    // a later survival, or crashes that another key explains
	Expired                    // the hold is over; the key is on probation
	Released                   // an operator released the key
)

// String returns the name of the change in logs and metrics.
func (c ChangeKind) String() string {
	return [...]string{"held", "cleared", "expired", "released"}[c]
}

// Change tells that a key became held or no longer is.
type Change struct {
	Kind ChangeKind
	Hold Hold
	Now  Instant
	// Own reports whether this host's own evidence or operator caused the change. A host that saw
	// one of the crashes under a held key counts among the causes, since each of several hosts
	// may complete the case by the evidence of the others.
	Own bool
}

// New returns an empty tracker. onChange is called after each change of what is held back,
// without locks held; nil for none.
func New(host string, onChange func(Change)) *Tracker {
	if onChange == nil {
		onChange = func(Change) {}
	}
	return &Tracker{host: host, onChange: onChange, known: make(map[string]bool), suspects: make(map[Key]int), shared: make(map[Key]*sharedSurvival),
		held: make(map[Key]*Hold), told: make(map[Key]Instant), trials: make(map[Key]Instant), expired: make(map[Key]Instant)}
}

// ReportFailure records that a request with the given keys, from the least to the most
// specific, failed at a target before or just after its answer began, at the given instant: its
// connection broke or nothing came. It reports whether the evidence is new to this host, so
// that others should hear of it.
func (t *Tracker) ReportFailure(now, at Instant, incarnation string, keys []Key) bool {
	return t.reportFailure(now, Crash{Incarnation: incarnation, At: at}, keys)
}

// ReportDoubtfulFailure is ReportFailure for a request for whose failure the way to the target may have
// been at fault.
func (t *Tracker) ReportDoubtfulFailure(now, at Instant, incarnation string, keys []Key) bool {
	return t.reportFailure(now, Crash{Incarnation: incarnation, At: at, Doubtful: true}, keys)
}

func (t *Tracker) reportFailure(now Instant, c Crash, keys []Key) bool {
	c.Host = t.host
	t.mu.Lock()
	added := t.addFailure(now, &failure{Crash: c, keys: keys})
	changes := t.decide(now, added, true)
	t.mu.Unlock()
	t.notify(changes)
	return added
}

// ReportSurvival records that a request, sent to an incarnation at sentAt, was answered in
// full or went on to be answered, and that the answer began at the given instant. It reports
// whether other hosts should hear of it.
func (t *Tracker) ReportSurvival(now, sentAt, began Instant, incarnation string, keys []Key) bool {
	t.mu.Lock()
	matters := t.addSurvival(now, targetKey(incarnation), sentAt)
	for _, key := range keys {
		if hold := t.held[key]; hold != nil && began >= hold.Until {
			t.clearWithCrashes(now, hold, false) // the cause is gone
			matters = true
		}
		matters = t.addSurvival(now, key, began) || matters
	}
	changes := t.decide(now, matters, true)
	t.mu.Unlock()
	t.notify(changes)
	return matters
}

// ReportHeld records that another host held a key back at the given instant. The key is held back
// here too once enough targets have crashed under it, at however many moments, unless it has
// survived since.
func (t *Tracker) ReportHeld(now, at Instant, key Key) {
	t.mu.Lock()
	for k, told := range t.told {
		if told < now-evidenceLifetime {
			delete(t.told, k)
		}
	}
	if known, ok := t.told[key]; !ok && len(t.told) >= maxTold || known >= at {
		t.mu.Unlock()
		return
	}
	t.told[key] = at
	changes := t.decide(now, true, false)
	t.mu.Unlock()
	t.notify(changes)
}

// addSurvival remembers a survival and shares it if it matters. Callers hold t.mu.
func (t *Tracker) addSurvival(now Instant, key Key, at Instant) bool {
	t.seenOf(key).add(key, at)
	return t.share(now, key, at, false)
}

// seenOf returns the survivals in which a key is remembered. Most requests are not repeated and must
// not displace parts of prompts. Callers hold t.mu.
func (t *Tracker) seenOf(key Key) *survivals {
	if key.Kind == KindRequest {
		return &t.requests
	}
	return &t.seen
}

// has reports whether the failure counts against a key or its target is the key.
func (f *failure) has(key Key) bool {
	if key.Kind == KindTarget {
		return targetKey(f.Incarnation) == key
	}
	return slices.Contains(f.keys, key)
}

// allKeys returns the keys of the request and of its target.
func (f *failure) allKeys() []Key { return append(slices.Clone(f.keys), targetKey(f.Incarnation)) }

// share adds a survival to those that hosts tell each other, if it takes back a failure or
// is the first one known of a suspected key. Callers hold t.mu.
func (t *Tracker) share(now Instant, key Key, at Instant, released bool) bool {
	known := t.shared[key]
	if t.suspects[key] == 0 || (known != nil && known.at >= at) {
		return false
	}
	takesBack := func(f *failure) bool { return f.At < at && (known == nil || f.At >= known.at) }
	first := key.Kind != KindTarget && (known == nil || known.at < now-survivalMemory)
	if !slices.ContainsFunc(t.failures, func(f *failure) bool { return f.has(key) && (first || takesBack(f)) }) {
		return false
	}
	if known == nil && len(t.shared) >= maxShared {
		t.dropShared()
	}
	t.seq++
	t.shared[key] = &sharedSurvival{at: at, released: released, seq: t.seq}
	return true
}

// dropShared drops survivals of keys that are not suspected any more.
func (t *Tracker) dropShared() {
	oldest := Key{}
	for key, s := range t.shared {
		if t.suspects[key] == 0 {
			delete(t.shared, key)
		} else if o := t.shared[oldest]; o == nil || s.at < o.at {
			oldest = key
		}
	}
	if len(t.shared) >= maxShared {
		delete(t.shared, oldest)
	}
}

// addFailure adds a failure that is not known yet. Callers hold t.mu.
func (t *Tracker) addFailure(now Instant, f *failure) bool {
	f.keys = slices.Clone(f.keys[max(0, len(f.keys)-maxKeys):])
	id := f.identity()
	if len(f.keys) == 0 || f.At < now-evidenceLifetime {
		return false
	}
	if t.known[id] {
		return !f.Doubtful && t.makeCertain(id)
	}
	ofTarget := 0
	for _, other := range t.failures {
		if other.Incarnation == f.Incarnation {
			ofTarget++
		}
	}
	if ofTarget >= maxFailuresPerTarget {
		return false
	}
	t.seq++
	f.seq = t.seq
	t.failures = append(t.failures, f)
	t.known[id] = true
	for _, key := range f.allKeys() {
		t.suspects[key]++
	}
	t.prune(now)
	// This host may have seen the keys survive when nobody suspected them.
	for _, key := range f.allKeys() {
		if at, ok := t.seenOf(key).get(key); ok && at > now-survivalMemory {
			t.share(now, key, at, false)
		}
	}
	return true
}

// makeCertain notes that a failure which may be known as doubtful is certain, and reports whether that is
// new. Callers hold t.mu.
func (t *Tracker) makeCertain(id string) bool {
	i := slices.IndexFunc(t.failures, func(f *failure) bool { return f.Doubtful && f.identity() == id })
	if i < 0 {
		return false
	}
	t.seq++
	t.failures[i].Doubtful, t.failures[i].seq = false, t.seq
	return true
}

// identity identifies what several hosts or messages may report: a request at a target.
func (f *failure) identity() string {
	var b strings.Builder
	b.WriteString(f.Incarnation)
	for _, key := range f.keys {
		b.WriteByte(' ')
		b.WriteString(key.String())
	}
	return b.String()
}

// prune drops failures that are too old or too many. Callers hold t.mu.
func (t *Tracker) prune(now Instant) {
	t.drop(func(f *failure) bool { return f.At < now-evidenceLifetime })
	if len(t.failures) <= maxFailures {
		return
	}
	oldest := slices.IndexFunc(t.failures, func(f *failure) bool { return !t.underHeldKey(f) })
	dropped := t.failures[max(oldest, 0)]
	t.drop(func(f *failure) bool { return f == dropped })
}

func (t *Tracker) drop(drops func(*failure) bool) {
	t.failures = slices.DeleteFunc(t.failures, func(f *failure) bool {
		if !drops(f) {
			return false
		}
		delete(t.known, f.identity())
		for _, key := range f.allKeys() {
			if t.suspects[key]--; t.suspects[key] <= 0 {
				delete(t.suspects, key)
			}
		}
		return true
	})
}

func (t *Tracker) underHeldKey(f *failure) bool {
	return slices.ContainsFunc(f.keys, func(key Key) bool { return t.held[key] != nil })
}

// decide computes anew what is held back if the evidence changed, and returns the changes.
// Callers hold t.mu.
func (t *Tracker) decide(now Instant, evidenceChanged, own bool) []Change {
	if !evidenceChanged {
		return nil
	}
	held, until := decide(now, t.failures, t.suspects, func(key Key) (Instant, bool) {
		s := t.shared[key]
		if s == nil || s.at < now-survivalMemory {
			return 0, false
		}
		return s.at, true
	}, func(key Key) (Instant, bool) {
		at, ok := t.told[key]
		return at, ok && at >= now-evidenceLifetime
	})
	var changes []Change
	for key, hold := range held {
		if before := t.held[key]; before == nil || (before.Until <= now && hold.Until > now) {
			changes = append(changes, Change{Kind: Held, Hold: *hold, Now: now, Own: own || t.sawCrashOf(hold)})
		}
	}
	for key, hold := range t.held {
		if held[key] != nil {
			continue
		}
		kind := Cleared
		if s := t.shared[key]; s != nil && s.released {
			kind = Released
		}
		changes = append(changes, Change{Kind: kind, Hold: *hold, Now: now, Own: own})
		delete(t.trials, key)
		delete(t.expired, key)
	}
	t.held, t.decideAt = held, until
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.Hold.Key.String(), b.Hold.Key.String()) })
	return changes
}

// sawCrashOf reports whether this host saw one of the crashes under a key.
func (t *Tracker) sawCrashOf(h *Hold) bool {
	return slices.ContainsFunc(h.Crashes, func(c Crash) bool { return c.Host == t.host })
}

func (t *Tracker) notify(changes []Change) {
	for _, c := range changes {
		t.onChange(c)
	}
}

// Check returns the hold because of which a request with the keys must not be sent now, nil
// if there is none.
func (t *Tracker) Check(now Instant, keys []Key) *Hold {
	hold, changes := t.check(now, keys, false)
	t.notify(changes)
	return hold
}

// Admit is Check for a request that is sent at once if it returns nil. Of the requests with
// a key on probation it lets one through at a time.
func (t *Tracker) Admit(now Instant, keys []Key) *Hold {
	hold, changes := t.check(now, keys, true)
	t.notify(changes)
	return hold
}

func (t *Tracker) check(now Instant, keys []Key, sends bool) (*Hold, []Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.failures) == 0 {
		return nil, nil
	}
	var changes []Change
	if ended := t.endTrials(now); ended || now >= t.decideAt {
		t.prune(now)
		changes = t.decide(now, true, ended)
	}
	var onTrial []Key
	for _, key := range keys {
		hold := t.held[key]
		if hold == nil {
			continue
		}
		if now >= hold.Until && t.expired[key] != hold.Until {
			t.expired[key] = hold.Until
			changes = append(changes, Change{Kind: Expired, Hold: *hold, Now: now})
		}
		trial, tried := t.trials[key]
		if now < t.probationBegins(hold) || (tried && trial >= hold.Until && now < trial+trialTimeout) {
			held := *hold
			return &held, changes
		}
		onTrial = append(onTrial, key)
	}
	if sends {
		for _, key := range onTrial {
			t.trials[key] = now
		}
	}
	return nil, changes
}

// probationBegins returns from when on this host lets single requests with a key through.
func (t *Tracker) probationBegins(h *Hold) Instant {
	if t.Hosts == nil {
		return h.Until
	}
	// The turns don't follow from the crashes, whose order differs between hosts.
	turn := probationTurns
	if hosts := t.Hosts(); len(hosts) > 0 {
		turn = min(rendezvous.Rank(h.Key.String(), t.host, hosts), probationTurns)
	}
	begins := h.Until + time.Duration(turn)*probationTurn
	if turn == probationTurns {
		share := float64(xxhash.Sum64String(t.host+" "+h.Key.String())>>11) / (1 << 53)
		begins += time.Duration(share * float64(probationSpread))
	}
	return begins
}

// RetryAfter returns after which time a caller of a held request may come again.
func (t *Tracker) RetryAfter(now Instant, h *Hold) time.Duration {
	return max(t.probationBegins(h)-now, 0)
}

// Holds returns what is held back or on probation, in order of keys.
func (t *Tracker) Holds() []Hold {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Hold
	for _, key := range slices.SortedFunc(maps.Keys(t.held), func(a, b Key) int { return strings.Compare(a.String(), b.String()) }) {
		out = append(out, *t.held[key])
	}
	return out
}

// Release ends the hold of a key by order of an operator, with the evidence for it: what
// crashed under the key doesn't count against others that were in the same requests. It
// reports whether the key was held.
func (t *Tracker) Release(now Instant, key Key) bool {
	t.mu.Lock()
	hold := t.held[key]
	if hold != nil {
		t.clearWithCrashes(now, hold, true)
	}
	changes := t.decide(now, hold != nil, true)
	t.mu.Unlock()
	t.notify(changes)
	return hold != nil
}

// clearWithCrashes takes back the crashes under a held key for all keys that were in the same
// requests or batches, so that none of them is blamed instead. Callers hold t.mu.
func (t *Tracker) clearWithCrashes(now Instant, hold *Hold, released bool) {
	for _, c := range hold.Crashes {
		for _, f := range t.failures {
			if f.Incarnation == c.Incarnation {
				for _, key := range f.keys {
					t.share(now, key, now, released)
				}
			}
		}
	}
}
