// Package enginemodel is a model engine as a deterministic state machine:
// continuous batching, block-wise KV memory, preemption, a prefix cache, lagging
// reports and faults. It has no I/O, no clock and no goroutine: every method
// takes the time, and the caller advances from NextStep to NextStep. The
// stand-in engine runs it in real time behind HTTP; experiments and tests run it
// in virtual time.
//
// The same configuration, seed and calls give the same run. An Engine is not
// safe for concurrent use.
package enginemodel

import (
	"slices"
	"time"

	"corianderhitch/api/engine"
)

// Engine is one model engine.
type Engine struct {
	config   Config
	status   Status
	slowdown float64 // factor of the step time

	sequences map[string]*sequence // waiting and running, by generation id
	running   []*sequence          // in order of admission
	waiting   waitingQueue
	arrivals  int64 // orders sequences by arrival
	pool      blockPool

	stepping bool // a step is under way
	stepEnd  time.Time
	stepTime time.Duration // of the step under way, or else of the last one
	crashing *sequence     // its first decode step is the step under way

	events []Event // not yet returned by Step
	spare  []Event // returned by the last Step

	stopAt  time.Time // end of a reclaim's notice; zero means none
	orders  orderBook
	reports reporter
	stats   Stats
}

// New returns an idle engine.
func New(config Config) *Engine {
	config = config.withDefaults()
	e := &Engine{
		config:    config,
		status:    StatusServing,
		slowdown:  1,
		sequences: make(map[string]*sequence),
		orders:    newOrderBook(config),
	}
	e.pool = newBlockPool(config.TotalBlocks, newCacheLog(config))
	return e
}

// Name returns the target name of the engine.
func (e *Engine) Name() string { return e.config.Name }

// Status returns the status of the engine.
func (e *Engine) Status() Status { return e.status }

// Start submits a request as it comes over HTTP. A generation id that is
// waiting or running is not started again. An error is a *problem.Error with
// ran=no.
func (e *Engine) Start(now time.Time, request engine.GenerateRequest) error {
	submission, err := e.read(request)
	if err != nil {
		return err
	}
	return e.Submit(now, submission)
}

// Submit queues a generation. See Start.
func (e *Engine) Submit(now time.Time, submission Submission) error {
	e.advance(now)
	if _, known := e.sequences[submission.ID]; known {
		return nil
	}
	if err := e.admissible(submission); err != nil {
		return err
	}
	e.arrivals++
	s := newSequence(submission, e.arrivals)
	e.sequences[s.id] = s
	e.waiting.push(s)
	if !e.stepping {
		e.plan(now)
	}
	return nil
}

// Cancel ends a generation and returns its number of output tokens. No event of
// it follows. ok is false if the generation is neither waiting nor running.
func (e *Engine) Cancel(now time.Time, id string) (tokens int, ok bool) {
	e.advance(now)
	s := e.sequences[id]
	if s == nil {
		return 0, false
	}
	if s.running {
		e.dropRunning(s)
	} else {
		e.waiting.remove(s)
	}
	e.end(s)
	e.events = slices.DeleteFunc(e.events, func(event Event) bool { return event.ID == id })
	e.stats.Canceled++
	return s.produced, true
}

// NextStep returns when Step has something to do. It returns false for an idle
// engine.
func (e *Engine) NextStep() (time.Time, bool) {
	if e.status.ended() {
		return time.Time{}, false
	}
	next, ok := e.stepEnd, e.stepping
	if !e.stopAt.IsZero() && (!ok || e.stopAt.Before(next)) {
		next, ok = e.stopAt, true
	}
	return next, ok
}

// Step ends the step that is due at now, if any, and begins the next one. The
// events are valid until the next call of Step.
func (e *Engine) Step(now time.Time) []Event {
	e.advance(now)
	switch {
	case e.status.ended():
	case !e.stopAt.IsZero() && !now.Before(e.stopAt):
		e.stop(StatusStopped, Event{Kind: EventStopped})
	case e.stepping && !now.Before(e.stepEnd):
		e.finishStep(now)
		e.plan(e.nextStart(now))
	}
	out := e.events
	e.events = e.spare[:0]
	e.spare = out
	return out
}

// maxCatchUp is the lateness of a caller in real time up to which steps follow
// each other as if it had been on time.
const maxCatchUp = 20 * time.Millisecond

func (e *Engine) nextStart(now time.Time) time.Time {
	if now.Sub(e.stepEnd) <= maxCatchUp {
		return e.stepEnd
	}
	return now
}

// finishStep applies the effects of the step under way.
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
			s.held++
		}
		if e.emit(s, now) {
			kept = append(kept, s)
		}
	}
	clear(e.running[len(kept):])
	e.running = kept
}

// finishPrefill applies a prefill chunk and reports whether the prompt is done.
func (e *Engine) finishPrefill(s *sequence, now time.Time) bool {
	s.prefillLeft -= s.chunk
	e.stats.PrefillTokens += int64(s.chunk)
	s.chunk = 0
	if s.prefillLeft > 0 {
		return false
	}
	e.pool.share(s, now)
	s.held = s.promptTokens + s.produced
	return true
}

// emit produces the next token and reports whether the sequence goes on.
func (e *Engine) emit(s *sequence, now time.Time) bool {
	if s.produced < s.length {
		if !s.preemptedAt.IsZero() {
			e.resumed(s, now)
		}
		e.events = append(e.events, Event{Kind: EventToken, ID: s.id, Tokens: s.produced})
		s.produced++
		e.stats.Tokens++
	}
	if s.produced < s.length {
		return true
	}
	e.finish(s, s.reason)
	return false
}

func (e *Engine) resumed(s *sequence, now time.Time) {
	stall := now.Sub(s.preemptedAt)
	s.preemptedAt = time.Time{}
	e.stats.Stall += stall
	e.events = append(e.events, Event{Kind: EventResumed, ID: s.id, Tokens: s.produced, Stall: stall})
}

// finish ends a sequence that is in neither list any more.
func (e *Engine) finish(s *sequence, reason engine.FinishReason) {
	e.end(s)
	e.stats.Finished++
	e.events = append(e.events, Event{Kind: EventDone, ID: s.id, Tokens: s.produced, Reason: reason})
}

func (e *Engine) end(s *sequence) {
	e.pool.release(s)
	delete(e.sequences, s.id)
}

// dropRunning takes a sequence out of the batch and keeps the order of the rest.
func (e *Engine) dropRunning(s *sequence) {
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

// advance does what has become due before now apart from steps.
func (e *Engine) advance(now time.Time) {
	e.reports.sample(now, e)
	e.orders.advance(now)
}
