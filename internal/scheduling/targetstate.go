package scheduling

import (
	"time"

	"golang.org/x/time/rate"

	"corianderhitch/internal/scheduling/memory"
	"corianderhitch/internal/scheduling/steptime"
)

const (
	// forecastMaxAge is how long a forecast is used while nothing else changes.
	forecastMaxAge = 200 * time.Millisecond
	// externalSmoothing is the weight of a new report in the estimate of the load
	// that this pool did not grant.
	externalSmoothing = 0.3
	// minStepMS bounds the token rate that a wrong report can claim.
	minStepMS = 1.0
	// stepSmoothing is the weight of a new report in the mean step time.
	stepSmoothing = 0.1
	// externalTolerance is the number of sequences by which reports and this
	// pool's own count may differ although no other owner granted any.
	externalTolerance = 2
	// maxHistory bounds the past usage estimates, taken every historyInterval,
	// that delayed reports are compared with.
	maxHistory      = 64
	historyInterval = 50 * time.Millisecond
	// maxResidentsUnreported is the largest batch on a target that has not
	// reported its capacity.
	maxResidentsUnreported = 8
)

// targetState is a target together with the requests that this pool has placed on
// it.
type targetState struct {
	Target
	slot               int         // in the cache index
	residents          []*resident // in order of grant
	progress           float64     // tokens that a sequence running since the start would have produced
	progressAt         time.Time
	prefillUntil       time.Time // when the prefill of all requests granted so far is expected to end
	prefillBatchAt     time.Time // when the first prompt of the last prefill batch was granted
	prefillBatchTokens float64   // prompt tokens of the last prefill batch
	forecast           memory.Forecast
	forecastAt         time.Time
	forecastStale      bool
	meanStepMS         float64 // exponential mean of the reported steps, including prefill; 0 before the first report
	externalTokens     float64 // tokens in memory that this pool did not grant; negative if sequences share blocks
	externalSequences  float64 // sequences that this pool did not grant
	history            []usage
	permits            *rate.Limiter // nil while the target names no limit
	quarantinedFor     uint64        // fingerprint that the target is reserved for; 0 means none
}

// usage is this pool's own estimate of what its requests used on a target at an
// instant.
type usage struct {
	at        time.Time
	tokens    float64 // in memory
	sequences int
}

func (t *targetState) capacity() float64 { return float64(t.TotalBlocks * t.BlockTokens) }

// advance moves the progress to now at the mean reported step time, or at the
// learned one before the first report, and marks the residents that have started
// to decode.
func (t *targetState) advance(now time.Time, steps *steptime.Curve) {
	if t.progressAt.IsZero() {
		t.progressAt = now
	}
	elapsed := now.Sub(t.progressAt)
	if elapsed <= 0 {
		return
	}
	before := t.progress
	stepMS := t.meanStepMS
	if stepMS <= 0 {
		stepMS = steps.At(float64(len(t.residents)))
	}
	stepMS = max(minStepMS, stepMS)
	t.progress += float64(elapsed) / float64(time.Millisecond) / stepMS
	for _, r := range t.residents {
		if !r.started && !now.Before(r.startsAt) {
			sinceStart := float64(now.Sub(r.startsAt)) / float64(time.Millisecond) / stepMS
			r.started = true
			r.startedAt = max(before, t.progress-sinceStart)
		}
	}
	t.progressAt = now
}

// residentTokens estimates the tokens in memory of this pool's requests now. On
// average half of each request's last block is unused.
func (t *targetState) residentTokens() float64 {
	sum := 0.0
	for _, r := range t.residents {
		sum += float64(r.request.PromptTokens) + r.produced() + float64(t.BlockTokens)/2
	}
	return sum
}

// recordUsage stores the current usage estimate for comparison with later reports.
func (t *targetState) recordUsage(now time.Time) {
	if n := len(t.history); n > 0 && now.Sub(t.history[n-1].at) < historyInterval {
		return
	}
	if len(t.history) == maxHistory {
		t.history = append(t.history[:0], t.history[1:]...)
	}
	t.history = append(t.history, usage{at: now, tokens: t.residentTokens(), sequences: len(t.residents)})
}

// applyReport compares a new report with the usage estimate at the report's time.
// What the engine holds beyond the estimate was granted by others: by a concurrent
// owner of the same pool, by the previous owner, or by a gateway that placed
// requests without an owner.
func (t *targetState) applyReport() {
	t.updateMeanStep()
	if t.BlockTokens == 0 {
		return
	}
	own, smoothing := t.usageAt(t.ReportedAt)
	tokens := float64(t.UsedBlocks*t.BlockTokens) - own.tokens
	sequences := float64(t.Running + t.Waiting - own.sequences)
	t.externalTokens += smoothing * (tokens - t.externalTokens)
	t.externalSequences += smoothing * (sequences - t.externalSequences)
	t.forecastStale = true
}

func (t *targetState) updateMeanStep() {
	if t.StepMS <= 0 {
		return
	}
	if t.meanStepMS == 0 {
		t.meanStepMS = t.StepMS
	}
	t.meanStepMS += stepSmoothing * (t.StepMS - t.meanStepMS)
}

// usageAt returns the usage estimate at an instant, and the smoothing weight of a
// report of that instant. Before the first estimate this pool had granted nothing,
// so that the report counts in full.
func (t *targetState) usageAt(at time.Time) (usage, float64) {
	for i := len(t.history) - 1; i >= 0; i-- {
		if !t.history[i].at.After(at) {
			return t.history[i], externalSmoothing
		}
	}
	return usage{}, 1
}

// batchSize returns the number of sequences on the target, including those that
// others granted. Reports and own counts differ a little while messages are in
// transit, hence the tolerance.
func (t *targetState) batchSize() float64 {
	return float64(len(t.residents)) + max(0, t.externalSequences-externalTolerance)
}

// refreshForecast recomputes the memory forecast if it is stale or too old.
func (t *targetState) refreshForecast(now time.Time) {
	if !t.forecastStale && now.Sub(t.forecastAt) < forecastMaxAge {
		return
	}
	t.forecast = memory.Forecast{}
	for _, r := range t.residents {
		t.forecast.Add(r.sequence())
	}
	t.forecast.AddConstant(t.externalTokens + float64(len(t.residents)*t.BlockTokens)/2)
	t.forecastAt = now
	t.forecastStale = false
}

func (t *targetState) remove(r *resident) {
	for i, x := range t.residents {
		if x == r {
			t.residents = append(t.residents[:i], t.residents[i+1:]...)
			t.forecastStale = true
			return
		}
	}
}
