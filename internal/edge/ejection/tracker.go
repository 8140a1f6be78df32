// Package ejection judges targets by what came of the requests that this host
// sent them. Health endpoints are not asked: they may lie.
package ejection

import (
	"math"
	"slices"
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
	// reportCost is the cost of a target from which this host tells the fleet: one
	// broken connection lately.
	reportCost = 1.5
	// reportWeight is what each host that reports a target adds to its cost. With
	// many hosts each sends a target few requests, and sees few of its failures.
	reportWeight = 0.8
	// reportMemory is how long a report counts.
	reportMemory = 2 * time.Second
	// maxTargets bounds the memory for incarnations that are gone.
	maxTargets = 4096
)

type record struct {
	failures float64 // moving average, 0 to 1
	latency  float64 // moving average in seconds
	at       bootclock.Instant
}

// decayed returns the failure rate as of now.
func (r *record) decayed() float64 {
	return r.failures * math.Exp2(-bootclock.Since(r.at).Seconds()/forgiveAfter.Seconds())
}

// Tracker is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	records map[string]*record // guarded by mu; by incarnation
	reports map[string]report  // guarded by mu; by host
	fleet   map[string]int     // guarded by mu; reports of other hosts by target, as a hub counts them
	fleetAt bootclock.Instant  // guarded by mu
}

// report is what another host says of its targets.
type report struct {
	targets []string
	at      bootclock.Instant
}

// New returns an empty tracker.
func New() *Tracker {
	return &Tracker{records: make(map[string]*record), reports: make(map[string]report)}
}

// Failing returns the targets that failed this host lately.
func (t *Tracker) RecentlyFailed() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var keys []string
	for key, r := range t.records {
		if cost(r.decayed()) > reportCost {
			keys = append(keys, key)
		}
	}
	return keys
}

// Report takes what another host says of its targets.
func (t *Tracker) SetReport(host string, failing []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(failing) == 0 {
		delete(t.reports, host) // most hosts, most of the time
		return
	}
	t.reports[host] = report{targets: failing, at: bootclock.Now()}
}

// Reports counts the hosts that report each target, without one host.
func (t *Tracker) CountReports(without string) map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := make(map[string]int)
	for host, r := range t.reports {
		if bootclock.Since(r.at) > reportMemory {
			delete(t.reports, host)
			continue
		}
		for _, key := range r.targets {
			if host != without {
				counts[key]++
			}
		}
	}
	return counts
}

// SetFleet takes the counts of a hub.
func (t *Tracker) SetFleetReports(counts map[string]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fleet, t.fleetAt = counts, bootclock.Now()
}

// reported counts the other hosts that report a target. Callers hold t.mu.
func (t *Tracker) reported(target string) int {
	if bootclock.Since(t.fleetAt) <= reportMemory && t.fleet != nil {
		return t.fleet[target]
	}
	n := 0
	for _, r := range t.reports {
		if bootclock.Since(r.at) <= reportMemory && slices.Contains(r.targets, target) {
			n++
		}
	}
	return n
}

// Success counts an answer after a time.
func (t *Tracker) RecordSuccess(target string, took time.Duration) {
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
func (t *Tracker) RecordFailure(target string, severity float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(target)
	r.failures += sampleWeight * severity * 2 * (1 - r.failures)
}

// Cost returns how much worse than a sound target one is: 1 for a sound one,
// growing with its failure rate here and with the hosts that report it.
func (t *Tracker) FailureCost(target string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := 1.0
	if r := t.records[target]; r != nil {
		own = cost(r.decayed())
	}
	return own + reportWeight*float64(t.reported(target))
}

func cost(failures float64) float64 { return 1 / math.Pow(1-math.Min(0.95, failures), failurePower) }

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
	r.failures = r.decayed()
	r.at = now
	return r
}
