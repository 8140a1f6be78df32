package suspicion

import "time"

// Tracker keeps the recent crashes with the requests that ran in each, and
// judges requests by them. It is not safe for concurrent use.
type Tracker struct {
	crashes []*record // oldest first
}

// record is one crash. The requests that have run to their end since are taken
// out of it.
type record struct {
	crash  Crash // without the fingerprints
	ran    map[uint64]struct{}
	passed map[uint64]struct{} // ran on elsewhere past the point of the crash
	made   map[uint64]struct{} // had made tokens
}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker { return &Tracker{} }

// Record counts a crash against all requests that the target ran. More news of
// the same crash adds the requests that it names.
func (t *Tracker) RecordCrash(crash Crash) {
	t.expire(crash.At)
	r := t.find(&crash)
	if r == nil {
		r = &record{crash: crash, ran: make(map[uint64]struct{}), passed: make(map[uint64]struct{}), made: make(map[uint64]struct{})}
		r.crash.Suspects, r.crash.Progressed = nil, nil
		t.crashes = append(t.crashes, r)
	}
	for _, fingerprint := range crash.Suspects {
		if _, free := r.passed[fingerprint]; !free && len(r.ran) < maxFingerprints {
			r.ran[fingerprint] = struct{}{}
		}
	}
	for _, fingerprint := range crash.Progressed {
		if r.holds(fingerprint) {
			r.made[fingerprint] = struct{}{}
		}
	}
	if len(t.crashes) > maxCrashes {
		t.crashes = t.crashes[1:]
	}
}

// Finished exonerates a request that ran to its end.
func (t *Tracker) RecordCompletion(fingerprint uint64) {
	for _, r := range t.crashes {
		delete(r.ran, fingerprint)
	}
}

// Passed exonerates a request that has run on past the point at which targets
// died under it: a request that crashes its targets does so again when it is
// continued. It still counts as one that is near many crashes.
func (t *Tracker) RecordSurvival(fingerprint uint64) {
	for _, r := range t.crashes {
		if r.holds(fingerprint) {
			delete(r.ran, fingerprint)
			r.passed[fingerprint] = struct{}{}
		}
	}
}

// Verdict returns how the request may be run at the instant.
func (t *Tracker) Verdict(fingerprint uint64, now time.Time) Verdict {
	t.expire(now)
	if len(t.crashes) == 0 {
		return Clear
	}
	if t.culprit(fingerprint) {
		return Reject
	}
	open := 0
	for _, r := range t.crashes {
		if r.holds(fingerprint) && !t.explained(r) {
			open++
		}
	}
	switch open {
	case 0:
		return Clear
	case 1:
		return Spread
	default:
		return Isolate
	}
}

// Remaining returns how long it takes until the first crash of the request is
// forgotten, and with it the reason to refuse.
func (t *Tracker) ExpiresIn(fingerprint uint64, now time.Time) time.Duration {
	for _, r := range t.crashes {
		if r.holds(fingerprint) {
			return r.crash.At.Add(Retention).Sub(now)
		}
	}
	return 0
}

// Together tells whether two requests were beside the same unexplained crash.
func (t *Tracker) ShareCrash(a, b uint64) bool {
	if a == b {
		return false
	}
	for _, r := range t.crashes {
		if r.holds(a) && r.holds(b) && !t.explained(r) {
			return true
		}
	}
	return false
}

// culprit tells whether the request alone was in two crashes or more, or was in
// so many that chance is no explanation.
func (t *Tracker) culprit(fingerprint uint64) bool {
	count, near := 0, 0
	made := IsLateDelivery(fingerprint)
	var common map[uint64]struct{}
	for _, r := range t.crashes {
		if _, passed := r.passed[fingerprint]; passed {
			near++
		}
		if !r.holds(fingerprint) {
			continue
		}
		count++
		if _, progressed := r.made[fingerprint]; progressed {
			made = true
		}
		common = intersect(common, r.ran)
	}
	return count >= refuseAfter || count+near >= refuseNear || (count >= isolateAfter && len(common) == 1 && !made)
}

// explained tells whether a crash has its culprit, so that the others are free.
func (t *Tracker) explained(r *record) bool {
	for fingerprint := range r.ran {
		if t.culprit(fingerprint) {
			return true
		}
	}
	return false
}

func (t *Tracker) find(crash *Crash) *record {
	for _, r := range t.crashes {
		if r.crash.same(crash) {
			return r
		}
	}
	return nil
}

func (t *Tracker) expire(now time.Time) {
	for len(t.crashes) > 0 && now.Sub(t.crashes[0].crash.At) >= Retention {
		t.crashes = t.crashes[1:]
	}
}

func (r *record) holds(fingerprint uint64) bool {
	_, held := r.ran[fingerprint]
	return held
}

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
