package scheduling

import (
	"time"

	"corianderhitch/internal/scheduling/memory"
	"corianderhitch/internal/scheduling/steptime"
)

const (
	// forecastFor is how long a forecast holds while nothing else changes.
	forecastMaxAge = 200 * time.Millisecond
	// foreignSmoothing is the share of a new report in the estimate of the
	// memory that this pool did not grant.
	externalSmoothing = 0.3
	// leastStepMS bounds the token rate that a faulty report can claim.
	minStepMS = 1.0
	// stepSmoothing is the share of a new report in the mean step.
	stepSmoothing = 0.1
	// foreignTolerance is the number of sequences by which reports and own
	// counts differ without others' grants.
	externalTolerance = 2
	// historySlots bounds the own estimates kept to compare lagged reports with.
	maxHistory      = 64
	historyInterval = 50 * time.Millisecond
	// unknownResidents is the batch allowed on a target without a load report.
	maxResidentsUnreported = 8
)

// targetState is a target with what this pool has placed on it.
type targetState struct {
	Target
	slot               int
	residents          []*resident // in order of grant
	progress           float64     // tokens that a sequence running all the time would have produced
	progressAt         time.Time
	prefillUntil       time.Time // when the prompts granted until now are computed
	prefillBatchAt     time.Time // when the first prompt of the last lot was granted
	prefillBatchTokens float64   // prompt tokens granted within the same step
	forecast           memory.Forecast
	forecastAt         time.Time
	forecastStale      bool
	meanStepMS         float64 // of the reports, with prefill; 0 before the first
	externalTokens     float64 // tokens in memory that this pool did not grant, or less than 0 where sequences share blocks
	externalSequences  float64 // sequences that this pool did not grant
	history            []usage
	quarantinedFor     uint64 // fingerprint that waits for or runs on the empty target
}

// usage is what this pool had on a target at an instant, by its own estimate.
type usage struct {
	at        time.Time
	tokens    float64 // in memory
	sequences int
}

func (t *targetState) capacity() float64 { return float64(t.TotalBlocks * t.BlockTokens) }

// advance moves the progress to now at the learned step time.
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

// use estimates the tokens that own residents hold now.
func (t *targetState) residentTokens() float64 {
	sum := 0.0
	for _, r := range t.residents {
		sum += float64(r.request.PromptTokens) + r.produced() + float64(t.BlockTokens)/2
	}
	return sum
}

// note keeps an own estimate for the comparison with later reports.
func (t *targetState) recordUsage(now time.Time) {
	if n := len(t.history); n > 0 && now.Sub(t.history[n-1].at) < historyInterval {
		return
	}
	if len(t.history) == maxHistory {
		t.history = append(t.history[:0], t.history[1:]...)
	}
	t.history = append(t.history, usage{at: now, tokens: t.residentTokens(), sequences: len(t.residents)})
}

// reported compares a new report with the own estimate at the report's time.
// What the engine holds beyond it was granted by others: by another owner of the
// same pool, by the owner before, or by a gateway that chose alone.
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

// useAt returns the own use at an instant, and how much a report of it counts.
// Before the first own estimate nothing was granted by this pool, so that the
// report counts in full.
func (t *targetState) usageAt(at time.Time) (usage, float64) {
	for i := len(t.history) - 1; i >= 0; i-- {
		if !t.history[i].at.After(at) {
			return t.history[i], externalSmoothing
		}
	}
	return usage{}, 1
}

// sequences returns the size of the batch, with what others granted. Reports
// and own counts differ a little while messages are under way.
func (t *targetState) batchSize() float64 {
	return float64(len(t.residents)) + max(0, t.externalSequences-externalTolerance)
}

// refresh computes the forecast again if it is stale or old.
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
