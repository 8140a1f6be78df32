package placement

import (
	"math"
	"sync"
	"time"

	"corianderhitch/internal/edge/bootclock"
)

// rateMemory is over what time the rate of runs is averaged.
const rateMemory = 5 * time.Second

// Rate estimates how many runs this host places a second. It is safe for
// concurrent use.
type Rate struct {
	mu    sync.Mutex
	value float64           // guarded by mu; runs a second as of at
	at    bootclock.Instant // guarded by mu
}

// Add counts a run.
func (r *Rate) RecordRun() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decay()
	r.value += 1 / rateMemory.Seconds()
}

// PerSecond returns the rate.
func (r *Rate) PerSecond() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decay()
	return r.value
}

// decay brings the average up to now. Callers hold r.mu.
func (r *Rate) decay() {
	now := bootclock.Now()
	r.value *= math.Exp(-now.Sub(r.at).Seconds() / rateMemory.Seconds())
	r.at = now
}

// Unknown is the spread of a host that knows nothing of the others, as after a
// start of all hosts at once: to each of them all engines look empty, so that one
// is drawn among all.
const MaxSpread = math.MaxInt

// Spread returns how many runs the other hosts place while this one's knowledge
// of them ages, if all place as many as this host.
func EstimateSpread(perSecond float64, hosts int, age time.Duration) int {
	return int(math.Round(perSecond * float64(max(0, hosts-1)) * age.Seconds()))
}
