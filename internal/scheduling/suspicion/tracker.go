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
	// maxFingerprints bounds the requests under suspicion, about 100 B each.
	maxFingerprints = 16384
)

// Crash is the death of a target with the fingerprints that it ran.
type Crash struct {
	ID     string // unique, so that the same news counts once
	At     time.Time
	Beside []uint64
}

// Tracker holds the requests under suspicion. It is not safe for concurrent use.
type Tracker struct {
	records *simplelru.LRU[uint64, *record]
}

type record struct {
	crashes []string
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
		if slices.Contains(r.crashes, crash.ID) {
			continue
		}
		r.crashes = append(r.crashes, crash.ID)
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
	return slices.ContainsFunc(ra.crashes, func(id string) bool { return slices.Contains(rb.crashes, id) })
}

func (t *Tracker) fresh(fingerprint uint64, now time.Time) *record {
	r, ok := t.records.Get(fingerprint)
	if !ok || now.Sub(r.last) > Memory {
		r = &record{}
		t.records.Add(fingerprint, r)
	}
	return r
}
