package enginemodel

import (
	"time"

	"corianderhitch/api/engine"
)

// reporter keeps samples of the load that a lagging reader may still see, oldest
// first.
type reporter struct {
	samples []engine.LoadReport
	next    time.Time // of the next sample
}

// sample records the state that has held since the last call, if a sample was
// due by now: the latest one, and after a longer pause also the one that is seen
// from outside now.
func (r *reporter) sample(now time.Time, e *Engine) {
	every := e.config.ReportEvery
	if every == 0 || now.Before(r.next) {
		return
	}
	if r.next.IsZero() {
		r.next = now
	}
	seen := now.Add(-e.config.ReportLag)
	r.forget(seen)
	if r.next.Before(seen) {
		r.record(lastDue(r.next, seen, every), e)
	}
	if !now.Before(r.next) {
		r.record(lastDue(r.next, now, every), e)
	}
}

func (r *reporter) record(at time.Time, e *Engine) {
	r.samples = append(r.samples, e.report(at))
	r.next = at.Add(e.config.ReportEvery)
}

// lastDue returns the last of the times next, next+every and so on by now.
func lastDue(next, now time.Time, every time.Duration) time.Time {
	return now.Add(-(now.Sub(next) % every))
}

// forget drops the samples that nobody sees any more.
func (r *reporter) forget(before time.Time) {
	n := 0
	for n+1 < len(r.samples) && !r.samples[n+1].ReportedAt.After(before) {
		n++
	}
	r.samples = append(r.samples[:0], r.samples[n:]...)
}

// Load returns the load report that is seen from outside at now.
func (e *Engine) Load(now time.Time) engine.LoadReport {
	e.advance(now)
	if e.config.ReportEvery == 0 {
		return e.report(now)
	}
	seen := e.reports.samples[0]
	for _, sample := range e.reports.samples[1:] {
		if sample.ReportedAt.After(now.Add(-e.config.ReportLag)) {
			break
		}
		seen = sample
	}
	return seen
}

// CurrentLoad returns the state without lag, which a real engine does not show.
func (e *Engine) CurrentLoad(now time.Time) engine.LoadReport {
	e.advance(now)
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
