// Package ejection tracks how often targets fail and how fast they answer, by the
// outcomes of the requests that this host sent them and the failure reports of other
// hosts. Placement avoids targets with a high failure cost (outlier ejection). Health
// endpoints are not used, because a failing target may still report itself healthy
// there.
package ejection

import (
	"math"
	"slices"
	"sync"
	"time"

	"corianderhitch/internal/edge/bootclock"
)

const (
	// sampleWeight is the weight of a new outcome in the moving averages: about the
	// last ten requests count.
	sampleWeight = 0.1
	// failureHalfLife is the time in which a failure rate without new samples halves,
	// so that a target which is avoided is tried again.
	failureHalfLife = 1500 * time.Millisecond
	// latencyHalfLife is the same for an average latency.
	latencyHalfLife = 2 * time.Second
	// failurePower is the exponent of the failure cost: a target that fails half of
	// its requests costs eight times as much as a healthy one.
	failurePower = 3
	// minReportedCost is the cost above which this host reports a target to the
	// others. One recent broken connection exceeds it.
	minReportedCost = 1.5
	// reportWeight is what each host that reports a target adds to its cost. With
	// many hosts, each sends a target few requests and sees few of its failures.
	reportWeight = 0.8
	// reportLifetime is how long a report counts.
	reportLifetime = 2 * time.Second
	// maxTargets bounds the memory for incarnations that no longer exist.
	maxTargets = 4096
)

// record holds the outcomes of this host's requests to a target.
type record struct {
	failureRate float64           // moving average, 0 to 1
	latency     float64           // moving average in seconds, as of measuredAt
	updatedAt   bootclock.Instant // as of when failureRate holds
	measuredAt  bootclock.Instant // when the last answer was measured
	answeredAt  bootclock.Instant // when the last answer began; 0 for none
	silent      bool              // see MarkSilent
}

// decayedRate returns the failure rate as of now.
func (r *record) decayedRate() float64 {
	return r.failureRate * math.Exp2(-bootclock.Since(r.updatedAt).Seconds()/failureHalfLife.Seconds())
}

// Tracker tracks the failure cost and latency of targets, by incarnation. It is safe
// for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	records map[string]*record // guarded by mu; by incarnation
	reports map[string]report  // guarded by mu; by reporting host
	fleet   map[string]int     // guarded by mu; number of other hosts that report each target, counted by a hub
	fleetAt bootclock.Instant  // guarded by mu; when fleet was received
}

// report is another host's list of failing targets.
type report struct {
	targets    []string
	receivedAt bootclock.Instant
}

// New returns an empty tracker.
func New() *Tracker {
	return &Tracker{records: make(map[string]*record), reports: make(map[string]report)}
}

// RecentlyFailed returns the targets that recently failed requests of this host.
func (t *Tracker) RecentlyFailed() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var keys []string
	for key, r := range t.records {
		if cost(r.decayedRate()) > minReportedCost {
			keys = append(keys, key)
		}
	}
	return keys
}

// Forget forgets the outcomes of this host's requests to a target, when the fault turns out to be
// its own.
func (t *Tracker) Forget(target string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.records, target)
}

// SetReport replaces the failing targets that another host reported.
func (t *Tracker) SetReport(host string, failing []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(failing) == 0 {
		delete(t.reports, host) // keeps the map small: most hosts report no failures
		return
	}
	t.reports[host] = report{targets: failing, receivedAt: bootclock.Now()}
}

// CountReports returns by how many hosts other than exceptHost each target is
// reported as failing.
func (t *Tracker) CountReports(exceptHost string) map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := make(map[string]int)
	for host, r := range t.reports {
		if bootclock.Since(r.receivedAt) > reportLifetime {
			delete(t.reports, host)
			continue
		}
		for _, key := range r.targets {
			if host != exceptHost {
				counts[key]++
			}
		}
	}
	return counts
}

// SetFleetReports replaces the number of hosts that report each target, as a hub
// counted them.
func (t *Tracker) SetFleetReports(counts map[string]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fleet, t.fleetAt = counts, bootclock.Now()
}

// reportCount returns how many other hosts report a target as failing. A recent count
// of a hub takes precedence. Callers hold t.mu.
func (t *Tracker) reportCount(target string) int {
	if bootclock.Since(t.fleetAt) <= reportLifetime && t.fleet != nil {
		return t.fleet[target]
	}
	n := 0
	for _, r := range t.reports {
		if bootclock.Since(r.receivedAt) <= reportLifetime && slices.Contains(r.targets, target) {
			n++
		}
	}
	return n
}

// RecordSuccess records an answer of a target and how long it took, 0 if that is not known.
func (t *Tracker) RecordSuccess(target string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(target)
	r.failureRate *= 1 - sampleWeight
	if took == 0 {
		return
	}
	r.measuredAt = r.updatedAt
	if r.latency == 0 {
		r.latency = took.Seconds()
		return
	}
	r.latency += sampleWeight * (took.Seconds() - r.latency)
}

// RecordFailure records a request that a target failed. Severity is 1 for a broken
// connection and less for an answer that may be the request's own fault. A failure of
// severity 1 weighs twice as much as a success.
func (t *Tracker) RecordFailure(target string, severity float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(target)
	r.failureRate += sampleWeight * severity * 2 * (1 - r.failureRate)
}

// RecordAnswer records that an answer of a target begins, whatever its status. It reports
// whether the target was marked as silent until now.
func (t *Tracker) RecordAnswer(target string) (wasSilent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(target)
	wasSilent, r.silent = r.silent, false
	r.answeredAt = r.updatedAt
	return wasSilent
}

// AnsweredSince reports whether an answer of a target has begun since the given time.
func (t *Tracker) AnsweredSince(target string, since bootclock.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[target]
	return r != nil && r.answeredAt >= since
}

// MarkSilent marks a target as silent until its next answer.
func (t *Tracker) MarkSilent(target string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record(target).silent = true
}

// FailureCost returns how much worse a target is than a healthy one: 1 for a healthy
// target, growing with its failure rate on this host and with the number of hosts
// that report it.
func (t *Tracker) FailureCost(target string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := 1.0
	if r := t.records[target]; r != nil {
		own = cost(r.decayedRate())
	}
	return own + reportWeight*float64(t.reportCount(target))
}

func cost(failureRate float64) float64 {
	return 1 / math.Pow(1-math.Min(0.95, failureRate), failurePower)
}

// Latency returns the average time to an answer of a target, 0 if unknown. It decreases
// while no answer is measured.
func (t *Tracker) Latency(target string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[target]
	if r == nil {
		return 0
	}
	age := bootclock.Since(r.measuredAt).Seconds()
	return time.Duration(r.latency * math.Exp2(-age/latencyHalfLife.Seconds()) * float64(time.Second))
}

// record returns the record of a target, decayed to now. Callers hold t.mu.
func (t *Tracker) record(target string) *record {
	now := bootclock.Now()
	r := t.records[target]
	if r == nil {
		if len(t.records) >= maxTargets {
			clear(t.records)
		}
		r = &record{updatedAt: now}
		t.records[target] = r
	}
	r.failureRate = r.decayedRate()
	r.updatedAt = now
	return r
}
