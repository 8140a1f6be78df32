package suspicion

import (
	"maps"
	"slices"
	"time"
)

// Tracker records recent crashes with the requests that were running on the
// crashed targets, and derives from them how each request may be run. It is not
// safe for concurrent use; its zero value is ready.
type Tracker struct {
	crashes   []*crashRecord // oldest first
	completed completions
}

// crashRecord is one crash with the fingerprints of its suspects. Requests that
// complete or survive on another target are removed from the suspects.
type crashRecord struct {
	crash      Crash // without the fingerprints
	suspects   map[uint64]struct{}
	survived   map[uint64]struct{} // continued on another target past the point of the crash
	progressed map[uint64]struct{} // had produced tokens before the crash
}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker { return &Tracker{} }

// RecordCrash makes all requests that were running on the target suspects of the
// crash. A further report of the same crash adds the requests that it lists.
func (t *Tracker) RecordCrash(crash Crash) {
	t.dropExpired(crash.At)
	r := t.findRecord(&crash)
	if r == nil {
		r = &crashRecord{crash: crash, suspects: make(map[uint64]struct{}), survived: make(map[uint64]struct{}), progressed: make(map[uint64]struct{})}
		r.crash.Suspects, r.crash.Progressed = nil, nil
		i := len(t.crashes) // reports of earlier crashes may arrive later
		for i > 0 && t.crashes[i-1].crash.At.After(crash.At) {
			i--
		}
		t.crashes = slices.Insert(t.crashes, i, r)
	}
	for _, fingerprint := range crash.Suspects {
		if t.completed.isAfter(fingerprint, r.crash.At) {
			continue // an agent that has just started may learn of the crash last
		}
		if _, survived := r.survived[fingerprint]; !survived && len(r.suspects) < maxSuspectsPerCrash {
			r.suspects[fingerprint] = struct{}{}
		}
	}
	for _, fingerprint := range crash.Progressed {
		if r.isSuspect(fingerprint) {
			r.progressed[fingerprint] = struct{}{}
		}
	}
	if len(t.crashes) > maxCrashes {
		t.crashes = t.crashes[1:]
	}
}

// RecordCompletion clears a request that ran to its end at the given time of the crashes
// until then, also of those that are recorded later.
func (t *Tracker) RecordCompletion(fingerprint uint64, at time.Time) {
	t.completed.add(fingerprint, at)
	for _, r := range t.crashes {
		if !r.crash.At.After(at) {
			delete(r.suspects, fingerprint)
		}
	}
}

// RecordSurvival clears a request of the crashes recorded until the given time, when it
// was continued on another target and ran past the point of the crash: a request that
// crashes its targets would have crashed that one too. These crashes still count towards
// rejectSurvivorAfter.
func (t *Tracker) RecordSurvival(fingerprint uint64, at time.Time) {
	for _, r := range t.crashes {
		if r.isSuspect(fingerprint) && !r.crash.At.After(at) {
			delete(r.suspects, fingerprint)
			r.survived[fingerprint] = struct{}{}
		}
	}
}

// Crashes returns the crashes recorded until now with their present suspects.
func (t *Tracker) Crashes(now time.Time) []Crash {
	t.dropExpired(now)
	crashes := make([]Crash, 0, len(t.crashes))
	for _, r := range t.crashes {
		crash := r.crash
		crash.Suspects = slices.Collect(maps.Keys(r.suspects))
		crash.Progressed = slices.Collect(maps.Keys(r.progressed))
		crashes = append(crashes, crash)
	}
	return crashes
}

// Verdict returns how the request may be run at the given time.
func (t *Tracker) Verdict(fingerprint uint64, now time.Time) Verdict {
	t.dropExpired(now)
	if len(t.crashes) == 0 {
		return Clear
	}
	if t.isCulprit(fingerprint) {
		return Reject
	}
	unexplained := 0
	for _, r := range t.crashes {
		if r.isSuspect(fingerprint) && !t.culpritKnown(r) {
			unexplained++
		}
	}
	switch unexplained {
	case 0:
		return Clear
	case 1:
		return Spread
	default:
		return Isolate
	}
}

// ExpiresIn returns the time until the oldest crash of which the request is a
// suspect expires, after which the request may no longer be rejected. It is 0 if the
// request is not a suspect.
func (t *Tracker) ExpiresIn(fingerprint uint64, now time.Time) time.Duration {
	for _, r := range t.crashes {
		if r.isSuspect(fingerprint) {
			return r.crash.At.Add(Retention).Sub(now)
		}
	}
	return 0
}

// ShareCrash reports whether two requests are suspects of the same crash, and the
// culprit of that crash is unknown.
func (t *Tracker) ShareCrash(a, b uint64) bool {
	if a == b {
		return false
	}
	for _, r := range t.crashes {
		if r.isSuspect(a) && r.isSuspect(b) && !t.culpritKnown(r) {
			return true
		}
	}
	return false
}

// isCulprit reports whether the request is the only common suspect of two or more
// crashes, or was running in too many crashes for a coincidence.
func (t *Tracker) isCulprit(fingerprint uint64) bool {
	count, survived := 0, 0
	progressed := IsLateDelivery(fingerprint)
	var commonSuspects map[uint64]struct{}
	for _, r := range t.crashes {
		if _, found := r.survived[fingerprint]; found {
			survived++
		}
		if !r.isSuspect(fingerprint) {
			continue
		}
		count++
		if _, found := r.progressed[fingerprint]; found {
			progressed = true
		}
		commonSuspects = intersect(commonSuspects, r.suspects)
	}
	return count >= rejectSuspectAfter || count+survived >= rejectSurvivorAfter || (count >= rejectSoleSuspectAfter && len(commonSuspects) == 1 && !progressed)
}

// culpritKnown reports whether one of the crash's suspects is a culprit, which
// clears the others.
func (t *Tracker) culpritKnown(r *crashRecord) bool {
	for fingerprint := range r.suspects {
		if t.isCulprit(fingerprint) {
			return true
		}
	}
	return false
}

func (t *Tracker) findRecord(crash *Crash) *crashRecord {
	for _, r := range t.crashes {
		if r.crash.isSameCrash(crash) {
			return r
		}
	}
	return nil
}

// dropExpired drops the crashes older than Retention.
func (t *Tracker) dropExpired(now time.Time) {
	for len(t.crashes) > 0 && now.Sub(t.crashes[0].crash.At) >= Retention {
		t.crashes = t.crashes[1:]
	}
}

func (r *crashRecord) isSuspect(fingerprint uint64) bool {
	_, found := r.suspects[fingerprint]
	return found
}

// intersect returns the fingerprints that are in both sets; a nil set a stands for
// the set of all fingerprints.
func intersect(a, b map[uint64]struct{}) map[uint64]struct{} {
	if a == nil {
		return b
	}
	both := make(map[uint64]struct{})
	for x := range a {
		if _, ok := b[x]; ok {
			both[x] = struct{}{}
		}
	}
	return both
}
