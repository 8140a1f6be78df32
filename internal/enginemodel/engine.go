// Package enginemodel simulates a model engine as a deterministic state machine with
// continuous batching, paged KV memory, preemption, a prefix cache, delayed load
// reports and fault injection. It has no I/O, clock or goroutines: callers pass the
// time to every method and call Step at the times that NextStep returns. The stand-in
// engine runs it in real time behind HTTP; experiments and tests run it in virtual
// time.
//
// The same configuration, seed and calls produce the same results. An Engine is not
// safe for concurrent use.
package enginemodel

import (
	"slices"
	"time"

	"corianderhitch/api/engine"
)

// Engine simulates one model engine.
type Engine struct {
	config   Config
	status   Status
	slowdown float64 // factor of the step time, at least 1

	sequences map[string]*sequence // waiting and running, by generation id
	running   []*sequence          // in order of admission
	waiting   waitingQueue
	arrivals  int64 // number of sequences submitted so far
	pool      blockPool

	stepping bool // a step is in progress
	stepEnd  time.Time
	stepTime time.Duration // of the step in progress, or else of the last one
	crashing *sequence     // crashes the engine at the end of the step in progress

	events         []Event // not yet returned by Step
	recycledEvents []Event // the slice that the last Step returned

	stopAt   time.Time // when a reclaimed engine stops; zero if it is not reclaimed
	pauseEnd time.Time // until when new generations are rejected; zero if never
	silentTo time.Time // before which no step ends; zero if never
	orders   orderProcessor
	reports  reporter
	stats    Stats
}

// New returns an engine without any generation.
func New(config Config) *Engine {
	config = config.withDefaults()
	e := &Engine{
		config:    config,
		status:    StatusServing,
		slowdown:  1,
		sequences: make(map[string]*sequence),
		orders:    newOrderProcessor(config),
	}
	e.pool = newBlockPool(config.TotalBlocks, newCacheLog(config))
	return e
}

// Name returns the target name of the engine.
func (e *Engine) Name() string { return e.config.Name }

// Status returns the status of the engine.
func (e *Engine) Status() Status { return e.status }

// Start validates an HTTP request and submits it. It does nothing if a generation with
// this id is already waiting or running. Errors are of type *problem.Error with ran=no.
func (e *Engine) Start(now time.Time, request engine.GenerateRequest) error {
	submission, err := e.parseRequest(request)
	if err != nil {
		return err
	}
	return e.Submit(now, submission)
}

// Submit queues a generation, which joins the batch at the next step with room for it.
// Repeated ids and errors are handled as in Start.
func (e *Engine) Submit(now time.Time, submission Submission) error {
	e.applyDue(now)
	if _, known := e.sequences[submission.ID]; known {
		return nil
	}
	if err := e.checkAdmission(now, submission); err != nil {
		return err
	}
	e.arrivals++
	s := newSequence(submission, e.arrivals)
	s.crashesEngine = s.crashesEngine || (e.config.CrashingBlock != 0 && slices.Contains(s.prefixHashes, e.config.CrashingBlock))
	e.sequences[s.id] = s
	e.waiting.push(s)
	if !e.stepping {
		e.planStep(now)
	}
	return nil
}

// Cancel ends a generation and returns how many output tokens it had produced. No
// further event of the generation is returned. ok is false if it is neither waiting
// nor running.
func (e *Engine) Cancel(now time.Time, id string) (tokens int, ok bool) {
	e.applyDue(now)
	s := e.sequences[id]
	if s == nil {
		return 0, false
	}
	if s.running {
		e.removeFromBatch(s)
	} else {
		e.waiting.remove(s)
	}
	e.discard(s)
	e.events = slices.DeleteFunc(e.events, func(event Event) bool { return event.ID == id })
	e.stats.Canceled++
	return s.produced, true
}

// NextStep returns the time at which Step must be called next, or false if no step or
// stop is pending.
func (e *Engine) NextStep() (time.Time, bool) {
	if e.status.ended() {
		return time.Time{}, false
	}
	next, ok := e.stepDue(), e.stepping
	if !e.stopAt.IsZero() && (!ok || e.stopAt.Before(next)) {
		next, ok = e.stopAt, true
	}
	return next, ok
}

// Step ends the current step if it is due at now, starts the next one and returns the
// events since the last call. The slice is valid until the next call of Step.
func (e *Engine) Step(now time.Time) []Event {
	e.applyDue(now)
	switch {
	case e.status.ended():
	case !e.stopAt.IsZero() && !now.Before(e.stopAt):
		e.stop(StatusStopped, Event{Kind: EventStopped})
	case e.stepping && !now.Before(e.stepDue()):
		e.finishStep(now)
		e.planStep(e.nextStepStart(now))
	}
	out := e.events
	e.events = e.recycledEvents[:0]
	e.recycledEvents = out
	return out
}

// stepDue returns when the effects of the step in progress are due.
func (e *Engine) stepDue() time.Time {
	if e.stepEnd.Before(e.silentTo) {
		return e.silentTo
	}
	return e.stepEnd
}

// maxCatchUpDelay is how late a real-time caller may call Step without delaying the
// following steps: up to it, the next step starts when the last one ended.
const maxCatchUpDelay = 20 * time.Millisecond

func (e *Engine) nextStepStart(now time.Time) time.Time {
	if now.Sub(e.stepEnd) <= maxCatchUpDelay {
		return e.stepEnd
	}
	return now
}

// finishStep applies the effects of the step in progress.
func (e *Engine) finishStep(now time.Time) {
	e.stepping = false
	e.stats.Steps++
	if e.crashing != nil {
		e.stop(StatusCrashed, Event{Kind: EventCrashed, ID: e.crashing.id})
		return
	}
	kept := e.running[:0]
	for _, s := range e.running {
		if s.prefillLeft > 0 {
			if !e.finishPrefill(s, now) {
				kept = append(kept, s)
				continue
			}
		} else {
			s.kvTokens++
		}
		if e.emit(s, now) {
			kept = append(kept, s)
		}
	}
	clear(e.running[len(kept):])
	e.running = kept
}

// finishPrefill accounts for a computed prefill chunk and reports whether the prefill
// is complete.
func (e *Engine) finishPrefill(s *sequence, now time.Time) bool {
	s.prefillLeft -= s.prefillChunk
	e.stats.PrefillTokens += int64(s.prefillChunk)
	s.prefillChunk = 0
	if s.prefillLeft > 0 {
		return false
	}
	e.pool.sharePrompt(s, now)
	s.kvTokens = s.promptTokens + s.produced
	return true
}

// emit produces the next token and reports whether the sequence continues.
func (e *Engine) emit(s *sequence, now time.Time) bool {
	if s.produced < s.outputLength {
		if !s.preemptedAt.IsZero() {
			e.recordResume(s, now)
		}
		e.events = append(e.events, Event{Kind: EventToken, ID: s.id, Tokens: s.produced})
		s.produced++
		e.stats.Tokens++
	}
	if s.produced < s.outputLength {
		return true
	}
	e.finish(s, s.finishReason)
	return false
}

func (e *Engine) recordResume(s *sequence, now time.Time) {
	stall := now.Sub(s.preemptedAt)
	s.preemptedAt = time.Time{}
	e.stats.Stall += stall
	e.events = append(e.events, Event{Kind: EventResumed, ID: s.id, Tokens: s.produced, Stall: stall})
}

// finish ends a sequence that the caller has removed from the batch and the waiting
// queue.
func (e *Engine) finish(s *sequence, reason engine.FinishReason) {
	e.discard(s)
	e.stats.Finished++
	e.events = append(e.events, Event{Kind: EventDone, ID: s.id, Tokens: s.produced, Reason: reason})
}

func (e *Engine) discard(s *sequence) {
	e.pool.release(s)
	delete(e.sequences, s.id)
}

// removeFromBatch removes a sequence from the batch and keeps the order of the others.
func (e *Engine) removeFromBatch(s *sequence) {
	for i, x := range e.running {
		if x == s {
			e.running = append(e.running[:i], e.running[i+1:]...)
			break
		}
	}
	s.running = false
	if e.crashing == s {
		e.crashing = nil
	}
}

// applyDue applies what is due by now other than steps: load reports and the ends of
// model loads.
func (e *Engine) applyDue(now time.Time) {
	e.reports.sample(now, e)
	e.orders.finishLoads(now)
}
