// Package targetspeed learns how fast targets work: for each incarnation a factor relative to the
// median of its service, 1 for a typical one and 2 for one that takes twice as long. Hosts send the
// sums of their samples to a hub with their syncs; the hub merges them and returns the factors.
package targetspeed

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"corianderhitch/internal/edge/bootclock"
)

const (
	// maxSamples is the number of targets of which a host sends samples in one sync.
	maxSamples = 32
	// reportInterval is the least time between two reports of samples: small fleets sync more often.
	reportInterval = 300 * time.Millisecond
	// updateInterval is the least time between two estimates.
	updateInterval = 200 * time.Millisecond
	// sharedLifetime is how long the estimate of a hub, or of this host as a hub, counts after the last
	// sync. It exceeds three syncs of the largest fleets.
	sharedLifetime = 5 * time.Second
	// unlistedKept is how many later changes an unlisted target's is kept for, so that hosts that are
	// behind get it.
	unlistedKept = 1000
	// ownShare is how many times slower than the shared estimate a target must be for this host for the
	// host's own estimate to count. Its samples are few, and it does not know the prompts of other hosts.
	ownShare = 2.5
)

var (
	// SharedBand leaves out the noise of estimates from the samples of all hosts.
	SharedBand = Band{Enter: 1.5, Leave: 1.25}
	// OwnBand is wider, as prefills for other hosts' runs double the time between events.
	OwnBand = Band{Enter: 2.2, Leave: 1.8}
)

// Tracker holds the samples and factors of targets. It is safe for concurrent use. Its methods may
// be called on nil, which stands for targets that are all alike.
type Tracker struct {
	// Services lists the targets that are compared with each other.
	Services func() []Service
	// OnChange is called when a target becomes slow or fast by this host's own estimate or, on a hub, by
	// that of all hosts. It must not block.
	OnChange func(Change)

	now func() bootclock.Instant

	mu       sync.Mutex
	own      *Estimator            // guarded by mu; of this host's samples
	merged   *Estimator            // guarded by mu; of all hosts' samples
	mergedAt bootclock.Instant     // guarded by mu; of the last samples of another host, 0 for none
	updated  bootclock.Instant     // guarded by mu; when factors were last estimated
	pending  map[ID]Sums           // guarded by mu; not sent to a hub yet
	sentAt   bootclock.Instant     // guarded by mu; of the last report to a hub
	sent     map[ID]publishedValue // guarded by mu; what this host tells others, as a hub
	position Position              // guarded by mu; of sent
	received map[ID]float64        // guarded by mu; factors of the hub
	have     Position              // guarded by mu; of received
	heardAt  bootclock.Instant     // guarded by mu; of the hub's last answer, 0 for none
}

// publishedValue is a factor with the sequence number of its last change.
type publishedValue struct {
	tenths uint8
	seq    uint64
}

// New returns a tracker without samples.
func New(services func() []Service, onChange func(Change)) *Tracker {
	return &Tracker{Services: services, OnChange: onChange, now: bootclock.Now, own: NewEstimator(OwnBand), merged: NewEstimator(SharedBand),
		pending: make(map[ID]Sums), sent: make(map[ID]publishedValue), received: make(map[ID]float64), position: Position{Process: 1 + rand.Uint32N(math.MaxUint32)}}
}

// RecordDecode records that a run of an engine with so many runs produced tokens.
func (t *Tracker) RecordDecode(target string, runs int, elapsed time.Duration, tokens int) {
	t.record(target, DecodeSums(runs, elapsed, tokens))
}

// RecordFirst records the first event of a run after its prompt was prefilled. unread is the number
// of prompt tokens to prefill until then, those of runs ahead included.
func (t *Tracker) RecordFirst(target string, runs, prompt, unread int, took time.Duration) {
	t.record(target, FirstSums(runs, prompt, unread, took))
}

// RecordCall records a successful answer to a plain call that was sent while the target had so many
// others in flight.
func (t *Tracker) RecordCall(target string, inFlight, slots int, took time.Duration) {
	t.record(target, CallSums(inFlight, slots, took))
}

func (t *Tracker) record(target string, s Sums) {
	if t == nil {
		return
	}
	id, now := IDOf(target), t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.own.Add(id, s, now)
	if t.isMerging(now) {
		t.merged.Add(id, s, now)
	}
	if known, ok := t.pending[id]; ok || len(t.pending) < maxSamples {
		t.pending[id] = known.Plus(s)
	}
}

// isMerging reports whether other hosts send this one their samples. Callers hold t.mu.
func (t *Tracker) isMerging(now bootclock.Instant) bool {
	return t.mergedAt != 0 && now.Sub(t.mergedAt) < sharedLifetime
}

// hears reports whether a hub sends this host its factors. Callers hold t.mu.
func (t *Tracker) hears(now bootclock.Instant) bool {
	return t.heardAt != 0 && now.Sub(t.heardAt) < sharedLifetime
}

// Report returns what this host tells a hub: the samples since the last report.
func (t *Tracker) Report() Report {
	if t == nil {
		return Report{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	r := Report{Have: t.have}
	if now.Sub(t.sentAt) < reportInterval {
		return r
	}
	if now.Sub(t.sentAt) < sharedLifetime { // older sums would count as new ones
		for id, s := range t.pending {
			r.Samples = append(r.Samples, newSample(id, s))
		}
	}
	clear(t.pending)
	t.sentAt = now
	return r
}

// Merge adds the samples of another host and returns the factors that it lacks. leads tells that this
// host is the first hub, to which what another hub said before no longer applies.
func (t *Tracker) Merge(r Report, leads bool) Factors {
	if t == nil {
		return Factors{}
	}
	t.mu.Lock()
	now := t.now()
	if leads {
		t.heardAt = 0
	}
	if len(r.Samples) > 0 {
		t.mergedAt = now
	}
	for i := range r.Samples[:min(len(r.Samples), maxSamples)] {
		t.merged.Add(r.Samples[i].Target, r.Samples[i].sums(), now)
	}
	t.mu.Unlock()
	t.update(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isMerging(now) {
		return Factors{} // a hub on standby knows nothing
	}
	f := Factors{Position: t.position, All: r.Have.Process != t.position.Process}
	for id, v := range t.sent {
		if f.All && v.tenths != 10 || !f.All && v.seq > r.Have.Seq {
			f.Changed = append(f.Changed, TargetFactor{Target: id, Tenths: v.tenths})
		}
	}
	return f
}

// Apply puts the factors of a hub in force.
func (t *Tracker) Apply(f Factors) {
	if t == nil || f.Position.Process == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if f.All {
		clear(t.received)
	} else if f.Position.Process != t.have.Process || f.Position.Seq < t.have.Seq {
		return // an answer to an earlier sync
	}
	t.have, t.heardAt = f.Position, t.now()
	for _, c := range f.Changed {
		if c.Tenths == 10 {
			delete(t.received, c.Target)
		} else {
			t.received[c.Target] = float64(c.Tenths) / 10
		}
	}
}

// Slowness returns the factor of a target relative to the median of its service.
func (t *Tracker) Slowness(target string) float64 {
	if t == nil {
		return 1
	}
	now := t.now()
	t.update(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.slowness(IDOf(target), now)
}

// slowness returns the factor of a target. Callers hold t.mu.
func (t *Tracker) slowness(id ID, now bootclock.Instant) float64 {
	own, shared := t.own.Factor(id), 1.0
	switch {
	case t.hears(now):
		if f, ok := t.received[id]; ok {
			shared = f
		}
	case t.isMerging(now):
		shared = t.merged.Factor(id)
	default:
		return own
	}
	if own >= ownShare*shared {
		return own
	}
	return shared
}

// SlownessOf returns the factors of several targets.
func (t *Tracker) SlownessOf(targets []string) []float64 {
	out := slices.Repeat([]float64{1}, len(targets))
	if t == nil {
		return out
	}
	now := t.now()
	t.update(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, target := range targets {
		out[i] = t.slowness(IDOf(target), now)
	}
	return out
}

// Slow returns the factors of all targets whose factor is not 1, by incarnation.
func (t *Tracker) Slow() map[string]float64 {
	slow := make(map[string]float64)
	if t == nil {
		return slow
	}
	for _, s := range t.Services() {
		for _, target := range s.Targets {
			if f := t.Slowness(target); f != 1 {
				slow[target] = f
			}
		}
	}
	return slow
}

// update estimates the factors anew if the last estimates are older than updateInterval.
func (t *Tracker) update(now bootclock.Instant) {
	t.mu.Lock()
	if now.Sub(t.updated) < updateInterval {
		t.mu.Unlock()
		return
	}
	t.updated = now
	idle := len(t.own.records) == 0 && len(t.merged.records) == 0
	t.mu.Unlock()
	if idle {
		return
	}
	services := t.Services()
	t.mu.Lock()
	changes := t.own.Update(services, now)
	merged := t.merged.Update(services, now)
	switch {
	case t.isMerging(now):
		changes = merged
		t.publish(services)
	case t.hears(now):
		changes = nil // the hub logs them
	}
	t.mu.Unlock()
	if t.OnChange != nil {
		for _, c := range changes {
			t.OnChange(c)
		}
	}
}

// publish records which factors other hosts must be told. Callers hold t.mu.
func (t *Tracker) publish(services []Service) {
	next := t.position.Seq + 1
	listed := make(map[ID]bool)
	for _, s := range services {
		for _, target := range s.Targets {
			id := IDOf(target)
			listed[id] = true
			tenths, known := uint8(10*t.merged.Factor(id)+0.5), t.sent[id]
			if tenths != known.tenths && (known.seq != 0 || tenths != 10) {
				t.sent[id], t.position.Seq = publishedValue{tenths: tenths, seq: next}, next
			}
		}
	}
	for id, v := range t.sent {
		switch {
		case listed[id]:
		case v.tenths != 10: // hosts must not keep it: the target may be listed again, as after an evacuation
			t.sent[id], t.position.Seq = publishedValue{tenths: 10, seq: next}, next
		case v.seq+unlistedKept < t.position.Seq:
			delete(t.sent, id)
		}
	}
}
