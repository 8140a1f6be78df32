package enginemodel

import (
	"time"

	"corianderhitch/api/engine"
)

// reporter keeps the load samples that delayed reports may still return, oldest first.
type reporter struct {
	samples    []engine.LoadReport
	nextSample time.Time // when the next sample is due
}

// sample records the samples that have become due since the last call. The state has not
// changed in between, so two of them suffice: the latest one and, if the last call was
// longer than the lag ago, the one that is visible now.
func (r *reporter) sample(now time.Time, e *Engine) {
	interval := e.config.ReportEvery
	if interval == 0 || now.Before(r.nextSample) {
		return
	}
	if r.nextSample.IsZero() {
		r.nextSample = now
	}
	visible := now.Add(-e.config.ReportLag)
	r.prune(visible)
	if r.nextSample.Before(visible) {
		r.record(lastDue(r.nextSample, visible, interval), e)
	}
	if !now.Before(r.nextSample) {
		r.record(lastDue(r.nextSample, now, interval), e)
	}
}

func (r *reporter) record(at time.Time, e *Engine) {
	r.samples = append(r.samples, e.report(at))
	r.nextSample = at.Add(e.config.ReportEvery)
}

// lastDue returns the last of the times next, next+interval and so on up to now.
func lastDue(next, now time.Time, interval time.Duration) time.Time {
	return now.Add(-(now.Sub(next) % interval))
}

// prune removes the samples older than the latest one that was reported at or before
// the given time.
func (r *reporter) prune(before time.Time) {
	n := 0
	for n+1 < len(r.samples) && !r.samples[n+1].ReportedAt.After(before) {
		n++
	}
	r.samples = append(r.samples[:0], r.samples[n:]...)
}

// Load returns the load report that is visible at now, which lags by Config.ReportLag.
func (e *Engine) Load(now time.Time) engine.LoadReport {
	e.applyDue(now)
	if e.config.ReportEvery == 0 {
		return e.report(now)
	}
	latest := e.reports.samples[0]
	for _, sample := range e.reports.samples[1:] {
		if sample.ReportedAt.After(now.Add(-e.config.ReportLag)) {
			break
		}
		latest = sample
	}
	return latest
}

// CurrentLoad returns the state at now without lag, which real engines don't provide.
func (e *Engine) CurrentLoad(now time.Time) engine.LoadReport {
	e.applyDue(now)
	return e.report(now)
}

func (e *Engine) report(at time.Time) engine.LoadReport {
	return engine.LoadReport{
		Target:      e.config.Name,
		ReportedAt:  at,
		Running:     len(e.running),
		Waiting:     len(e.waiting.items),
		UsedBlocks:  e.pool.used(),
		TotalBlocks: e.pool.total,
		BlockTokens: BlockTokens,
		StepMS:      float64(e.stepTime) / float64(time.Millisecond),
		Preemptions: e.stats.Preemptions,
		Leaving:     e.status != StatusServing,
		Loaded:      e.orders.loaded,
		Role:        e.orders.role,
	}
}
