package placement

import (
	"math"
	"sync"
	"time"

	"corianderhitch/internal/edge/bootclock"
)

// rateTimeConstant is the time over which the rate of runs is averaged.
const rateTimeConstant = 5 * time.Second

// Rate estimates how many runs a second this host places, as an exponentially
// decaying average. It is safe for concurrent use.
type Rate struct {
	mu    sync.Mutex
	value float64           // guarded by mu; runs a second as of at
	at    bootclock.Instant // guarded by mu
}

// RecordRun counts a run.
func (r *Rate) RecordRun() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decay()
	r.value += 1 / rateTimeConstant.Seconds()
}

// PerSecond returns the rate in runs a second.
func (r *Rate) PerSecond() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decay()
	return r.value
}

// decay brings the average up to now. Callers hold r.mu.
func (r *Rate) decay() {
	now := bootclock.Now()
	r.value *= math.Exp(-now.Sub(r.at).Seconds() / rateTimeConstant.Seconds())
	r.at = now
}

// MaxSpread is the spread of a host that knows nothing about the others, for
// example when all hosts start at the same time: all engines look empty to each of
// them, so each draws one of all engines.
const MaxSpread = math.MaxInt

// EstimateSpread returns how many runs the other hosts place within age, the age
// of this host's knowledge of them, if each places as many as this host.
func EstimateSpread(perSecond float64, hosts int, age time.Duration) int {
	return int(math.Round(perSecond * float64(max(0, hosts-1)) * age.Seconds()))
}
