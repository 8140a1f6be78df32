package experiment

import (
	"time"

	"corianderhitch/api/engine"
	"corianderhitch/internal/enginemodel"
)

// targetState is a target with the engine that runs there. A restart replaces the
// engine.
type targetState struct {
	name            string
	engine          *enginemodel.Engine
	starts          int // of engines, which states that earlier ones made don't bind
	running         bool
	believedHealthy bool      // as reported to the policy
	knownLeaving    bool      // an engine rejected a request as leaving, possibly before reports show it
	stalledUntil    time.Time // end of a stall of its link
	lastCacheSeq    int64
	nextStepAt      time.Time // of the scheduled step; zero if none is scheduled
}

func (r *runner) newEngine(index int) *enginemodel.Engine {
	e := r.scenario.Engine
	return enginemodel.New(enginemodel.Config{
		Name:                targetName(index),
		Seed:                r.seed<<8 + uint64(index),
		TotalBlocks:         e.Blocks,
		MaxBatch:            e.MaxBatch,
		PrefillChunk:        e.PrefillTokensPerStep,
		StepBase:            milliseconds(e.StepBaseMS),
		StepPerSequence:     milliseconds(e.StepPerSequenceMS),
		StepPerPrefillToken: milliseconds(e.PrefillMSPerToken),
		ReportEvery:         milliseconds(r.scenario.Reports.EveryMS),
		ReportLag:           milliseconds(r.scenario.Reports.LagMS),
		CacheLag:            milliseconds(r.scenario.Reports.CacheLagMS),
		CacheLoss:           r.scenario.Reports.CacheLossPercent / 100,
		MaxWaiting:          maxEngineWaiting,
		Loaded:              []engine.Loaded{{Model: model, Version: version}},
	})
}

// The model version of all requests.
const (
	model   = "model"
	version = "1"
)

// maxEngineWaiting is large enough that engines never reject a request as overloaded.
const maxEngineWaiting = 1 << 20

// scheduleStep schedules the engine's next step, if it has one.
func (r *runner) scheduleStep(target *targetState) {
	at, busy := target.engine.NextStep()
	if !busy || at.Equal(target.nextStepAt) {
		return
	}
	target.nextStepAt = at
	current := target.engine
	r.timeline.schedule(at, func() {
		if target.engine != current || !target.nextStepAt.Equal(at) {
			return
		}
		target.nextStepAt = time.Time{}
		r.step(target)
	})
}

// step completes a step of the engine and delivers its events. On a stalled link they are
// delayed until the stall ends or the gateway has detected it.
func (r *runner) step(target *targetState) {
	arrivesAt := r.timeline.now.Add(r.linkDelay)
	if target.stalledUntil.After(r.timeline.now) {
		resumesAt := r.timeline.now.Add(milliseconds(r.scenario.DetectionMS))
		if target.stalledUntil.Before(resumesAt) {
			resumesAt = target.stalledUntil
		}
		arrivesAt = resumesAt.Add(r.linkDelay)
	}
	for _, e := range target.engine.Step(r.timeline.now) {
		r.handleEngineEvent(target, e, arrivesAt)
	}
	if target.running {
		r.scheduleStep(target)
	}
}

// handleEngineEvent handles an event of the target's engine that arrives at its
// gateway at arrivesAt.
func (r *runner) handleEngineEvent(target *targetState, e enginemodel.Event, arrivesAt time.Time) {
	switch e.Kind {
	case enginemodel.EventToken:
		if c := r.callsByTicket[e.ID]; c != nil {
			r.metrics.recordToken(c, e.Tokens, arrivesAt.Add(callerDelay))
		}
	case enginemodel.EventDone:
		if c := r.callsByTicket[e.ID]; c != nil {
			r.generationEnded(c, e.Tokens, arrivesAt)
		}
	case enginemodel.EventPreempted:
		r.metrics.preemptions++
	case enginemodel.EventCrashed:
		r.takeDown(target, r.linkDelay)
		r.timeline.scheduleAfter(crashRestartDelay, func() { r.restart(target) })
	case enginemodel.EventStopped:
		r.takeDown(target, r.linkDelay)
	}
}
