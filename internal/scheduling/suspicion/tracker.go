// Package suspicion finds the requests that crash the targets which run them.
package suspicion

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Verdict tells how a request may be run.
type Verdict string

// The verdicts, by rising suspicion.
const (
	Clear   Verdict = "clear"   // run anywhere
	Spread  Verdict = "spread"  // was beside one crash; keep apart from others of that crash
	Isolate Verdict = "isolate" // was beside two crashes; run on a target of its own
	Refuse  Verdict = "refuse"  // crashed a target alone; never run again
)

const (
	// Memory is how long a crash is held against a request.
	Memory = 30 * time.Minute
	// isolateAfter is the number of crashes of different targets' runs after
	// which a request runs alone.
	isolateAfter = 2
	// sameWithin is the time within which reports of a target's death are taken
	// as one.
	sameWithin = 5 * time.Second
	// maxFingerprints bounds the requests under suspicion, about 100 B each.
	maxFingerprints = 16384
)

// Crash is the death of a target with the fingerprints that it ran. Two reports
// of one crash count once: by its ID, or by target and time if one was heard
// from another host.
type Crash struct {
	ID     string // unique
	Target string
	Heard  bool // from another host
	At     time.Time
	Beside []uint64
}

// same tells whether two reports are of one crash. Hosts learn of it at somewhat
// different times, and a target is not back within sameWithin.
func (c *Crash) same(other *Crash) bool {
	if c.ID == other.ID {
		return true
	}
	return (c.Heard || other.Heard) && c.Target != "" && c.Target == other.Target && c.At.Sub(other.At).Abs() < sameWithin
}

// Tracker holds the requests under suspicion. It is not safe for concurrent use.
type Tracker struct {
	records *simplelru.LRU[uint64, *record]
}

type record struct {
	crashes []Crash // without the fingerprints
	alone   bool
	last    time.Time
}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker {
	records, _ := simplelru.NewLRU[uint64, *record](maxFingerprints, nil) // fails only for a size below 1
	return &Tracker{records: records}
}

// Record counts a crash against all requests that the target ran. If only one
// of them was not exonerated before, it was the cause.
func (t *Tracker) Record(crash Crash) {
	distinct := slices.Compact(slices.Sorted(slices.Values(crash.Beside)))
	for _, fingerprint := range distinct {
		r := t.fresh(fingerprint, crash.At)
		if slices.ContainsFunc(r.crashes, func(c Crash) bool { return c.same(&crash) }) {
			continue
		}
		r.crashes = append(r.crashes, Crash{ID: crash.ID, Target: crash.Target, Heard: crash.Heard, At: crash.At})
		r.alone = r.alone || (len(distinct) == 1 && len(r.crashes) >= isolateAfter)
		r.last = crash.At
	}
}

// Finished exonerates a request that ran to its end.
func (t *Tracker) Finished(fingerprint uint64) { t.records.Remove(fingerprint) }

// Verdict returns how the request may be run at the instant.
func (t *Tracker) Verdict(fingerprint uint64, now time.Time) Verdict {
	r, ok := t.records.Peek(fingerprint)
	switch {
	case !ok || now.Sub(r.last) > Memory:
		return Clear
	case r.alone:
		return Refuse
	case len(r.crashes) >= isolateAfter:
		return Isolate
	default:
		return Spread
	}
}

// Together tells whether two requests were beside the same crash.
func (t *Tracker) Together(a, b uint64) bool {
	ra, okA := t.records.Peek(a)
	rb, okB := t.records.Peek(b)
	if !okA || !okB || a == b {
		return false
	}
	return slices.ContainsFunc(ra.crashes, func(x Crash) bool {
		return slices.ContainsFunc(rb.crashes, func(y Crash) bool { return x.same(&y) })
	})
}

func (t *Tracker) fresh(fingerprint uint64, now time.Time) *record {
	r, ok := t.records.Get(fingerprint)
	if !ok || now.Sub(r.last) > Memory {
		r = &record{}
		t.records.Add(fingerprint, r)
	}
	return r
}
