package quarantine

import (
	"slices"
	"time"
)

// maxEvidence bounds the records of each kind in one message. The rest follows in the next.
const maxEvidence = 256

// Failure is a failure as hosts tell each other of it. Age is the time since it happened.
type Failure struct {
	Incarnation string
	Host        string
	Keys        []Key
	Age         time.Duration
	Doubtful    bool // see Crash; builds that don't know it take all failures for certain, and ask for two moments
}

// Survival is a survival as hosts tell each other of it.
type Survival struct {
	Key      Key
	Age      time.Duration
	Released bool // by an operator
}

// Evidence is a part of a host's evidence.
type Evidence struct {
	Failures  []Failure
	Survivals []Survival
}

// Empty reports whether the evidence holds nothing.
func (e *Evidence) Empty() bool { return len(e.Failures) == 0 && len(e.Survivals) == 0 }

// Seq returns the sequence number of the latest change of the evidence.
func (t *Tracker) Seq() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.seq
}

// Since returns the evidence that changed after a sequence number, 0 for all, in the order of
// the changes, and the sequence number from which the next call continues.
func (t *Tracker) Since(now Instant, after uint64) (Evidence, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.endTrials(now) {
		t.decideAt = now // at the next check
	}
	if after >= t.seq {
		return Evidence{}, t.seq
	}
	var changed []uint64
	for _, f := range t.failures {
		if f.seq > after {
			changed = append(changed, f.seq)
		}
	}
	for _, s := range t.shared {
		if s.seq > after {
			changed = append(changed, s.seq)
		}
	}
	slices.Sort(changed)
	next := t.seq
	if len(changed) > maxEvidence {
		next = changed[maxEvidence-1]
	}
	var e Evidence
	for _, f := range t.failures {
		if f.seq > after && f.seq <= next {
			e.Failures = append(e.Failures, Failure{Incarnation: f.Incarnation, Host: f.Host, Keys: f.keys, Age: now - f.At, Doubtful: f.Doubtful})
		}
	}
	for key, s := range t.shared {
		if s.seq > after && s.seq <= next {
			e.Survivals = append(e.Survivals, Survival{Key: key, Age: now - s.at, Released: s.released})
		}
	}
	return e, next
}

// valid reports whether a host can have told this. maxKeys is also what an older build keeps of a
// failure's keys.
func (f *Failure) valid() bool {
	return f.Incarnation != "" && len(f.Keys) <= maxKeys && f.Age >= 0 && f.Age <= evidenceLifetime &&
		!slices.ContainsFunc(f.Keys, func(key Key) bool { return !key.valid() || key.Kind == KindTarget })
}

// valid reports whether a host can have told this.
func (s *Survival) valid() bool { return s.Key.valid() && s.Age >= 0 && s.Age <= evidenceLifetime }

// Merge adds another host's evidence, without what no host can have told. It reports whether something
// was new to this host, so that those which learn from it should hear of it.
func (t *Tracker) Merge(now Instant, e Evidence) bool {
	if e.Empty() {
		return false
	}
	t.mu.Lock()
	changed := false
	for i := range e.Failures {
		if f := &e.Failures[i]; f.valid() {
			changed = t.addFailure(now, &failure{Crash: Crash{Incarnation: f.Incarnation, Host: f.Host, At: now - f.Age, Doubtful: f.Doubtful}, keys: f.Keys}) || changed
		}
	}
	for i := range e.Survivals {
		s := &e.Survivals[i]
		if !s.valid() {
			continue
		}
		at := now - s.Age
		t.seenOf(s.Key).add(s.Key, at) // a failure that it matters for may arrive later
		changed = t.share(now, s.Key, at, s.Released) || changed
	}
	changes := t.decide(now, changed, false)
	t.mu.Unlock()
	t.notify(changes)
	return changed
}

// HeldEvidence returns the evidence because of which keys are held back: all that failed at the
// targets that crashed under them, and what survived.
func (t *Tracker) HeldEvidence(now Instant) Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	crashed := make(map[string]bool)
	for _, h := range t.held {
		for _, c := range h.Crashes {
			crashed[c.Incarnation] = true
		}
	}
	var e Evidence
	survived := make(map[Key]bool)
	for _, f := range t.failures {
		if !crashed[f.Incarnation] || len(e.Failures) >= maxEvidence {
			continue
		}
		e.Failures = append(e.Failures, Failure{Incarnation: f.Incarnation, Host: f.Host, Keys: f.keys, Age: now - f.At, Doubtful: f.Doubtful})
		for _, key := range f.allKeys() {
			if s := t.shared[key]; s != nil && !survived[key] && len(e.Survivals) < maxEvidence {
				survived[key] = true
				e.Survivals = append(e.Survivals, Survival{Key: key, Age: now - s.at, Released: s.released})
			}
		}
	}
	return e
}
