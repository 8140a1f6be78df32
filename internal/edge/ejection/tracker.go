// Package ejection judges targets by what came of the requests that this host
// sent them. Health endpoints are not asked: they may lie.
package ejection

import (
	"math"
	"sync"
	"time"

	"corianderhitch/internal/edge/bootclock"
)

const (
	// sampleWeight is the part of a new outcome in the moving averages: about
	// the last ten requests count.
	sampleWeight = 0.1
	// forgiveAfter halves a failure rate that gets no new samples, so that a
	// target which is avoided is tried again.
	forgiveAfter = 1500 * time.Millisecond
	// failurePower makes a target that fails half of its requests eight times
	// as costly as a sound one.
	failurePower = 3
	// maxTargets bounds the memory for incarnations that are gone.
	maxTargets = 4096
)

type record struct {
	failures float64 // moving average, 0 to 1
	latency  float64 // moving average in seconds
	at       bootclock.Instant
}

// Tracker is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	records map[string]*record // guarded by mu; by incarnation
}

// New returns an empty tracker.
func New() *Tracker { return &Tracker{records: make(map[string]*record)} }

// Success counts an answer after a time.
func (t *Tracker) Success(target string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(target)
	r.failures *= 1 - sampleWeight
	if r.latency == 0 {
		r.latency = took.Seconds()
		return
	}
	r.latency += sampleWeight * (took.Seconds() - r.latency)
}

// Failure counts a request that the target failed. Severity is 1 for a broken
// connection and less for an answer that may be the request's own fault.
func (t *Tracker) Failure(target string, severity float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(target)
	r.failures += sampleWeight * severity * 2 * (1 - r.failures)
}

// Failures returns the failure rate of a target, 0 to 1.
func (t *Tracker) Failures(target string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[target]
	if r == nil {
		return 0
	}
	return r.failures * math.Exp2(-bootclock.Since(r.at).Seconds()/forgiveAfter.Seconds())
}

// Cost returns how much worse than a sound target one is: 1 for a sound one,
// growing with its failure rate.
func (t *Tracker) Cost(target string) float64 {
	return 1 / math.Pow(1-math.Min(0.95, t.Failures(target)), failurePower)
}

// Latency returns the average time to an answer, 0 if unknown.
func (t *Tracker) Latency(target string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[target]; r != nil {
		return time.Duration(r.latency * float64(time.Second))
	}
	return 0
}

// record returns the record of a target, decayed to now. Callers hold t.mu.
func (t *Tracker) record(target string) *record {
	now := bootclock.Now()
	r := t.records[target]
	if r == nil {
		if len(t.records) >= maxTargets {
			clear(t.records)
		}
		r = &record{at: now}
		t.records[target] = r
	}
	r.failures *= math.Exp2(-now.Sub(r.at).Seconds() / forgiveAfter.Seconds())
	r.at = now
	return r
}
