package experiment

import (
	"time"

	"corianderhitch/api/engine"
	"corianderhitch/internal/enginemodel"
)

// engineSlot is a target's place, in which one engine after the other may run.
type engineSlot struct {
	name       string
	engine     *enginemodel.Engine
	up         bool
	known      bool // the owner takes it as healthy
	leaving    bool // known by a gateway to be leaving, before the reports say so
	stalledTo  time.Time
	cacheAfter int64
	scheduled  time.Time // of the pending step event
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

// The model version that all requests of the experiment use.
const (
	model   = "model"
	version = "1"
)

// maxEngineWaiting is large enough that engines themselves refuse nothing.
const maxEngineWaiting = 1 << 20

// wake schedules the engine's next step.
func (r *runner) wake(slot *engineSlot) {
	at, busy := slot.engine.NextStep()
	if !busy || at.Equal(slot.scheduled) {
		return
	}
	slot.scheduled = at
	running := slot.engine
	r.time.at(at, func() {
		if slot.engine != running || !slot.scheduled.Equal(at) {
			return
		}
		slot.scheduled = time.Time{}
		r.step(slot)
	})
}

// step ends a step of the engine and delivers its tokens.
func (r *runner) step(slot *engineSlot) {
	arrives := r.time.now.Add(r.link)
	if slot.stalledTo.After(r.time.now) {
		resumed := r.time.now.Add(milliseconds(r.scenario.DetectionMS))
		if slot.stalledTo.Before(resumed) {
			resumed = slot.stalledTo
		}
		arrives = resumed.Add(r.link)
	}
	for _, e := range slot.engine.Step(r.time.now) {
		r.engineEvent(slot, e, arrives)
	}
	if slot.up {
		r.wake(slot)
	}
}

func (r *runner) engineEvent(slot *engineSlot, e enginemodel.Event, arrives time.Time) {
	switch e.Kind {
	case enginemodel.EventToken:
		if c := r.byTicket[e.ID]; c != nil {
			r.metrics.token(c, e.Tokens, arrives.Add(callerLink))
		}
	case enginemodel.EventDone:
		if c := r.byTicket[e.ID]; c != nil {
			r.ended(c, e.Tokens, arrives)
		}
	case enginemodel.EventPreempted:
		r.metrics.preemptions++
	case enginemodel.EventCrashed:
		r.down(slot, r.link)
		r.time.after(crashRestart, func() { r.restart(slot) })
	case enginemodel.EventStopped:
		r.down(slot, r.link)
	}
}
