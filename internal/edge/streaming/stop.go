package streaming

import (
	"context"
	"errors"
	"sync"
	"time"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/targetconn"
	"corianderhitch/internal/edge/targets"
	"corianderhitch/internal/wait"
)

const (
	// stopTimeout is how long a run waits for the answer of an engine that may still execute it
	// before it goes on at another one, and bounds the first call. An engine that does not answer
	// in time has crashed, is silent or is unreachable.
	stopTimeout = 400 * time.Millisecond
	// stopCallTimeout bounds each later call. A silent engine answers once it goes on.
	stopCallTimeout = 2500 * time.Millisecond
	// stopRetryInterval is the time between two calls. It doubles, up to maxStopInterval, after
	// stopBackoffAfter, and at once while the engine cannot be reached.
	stopRetryInterval = 50 * time.Millisecond
	stopBackoffAfter  = time.Second
	maxStopInterval   = time.Second
	// lateStart is when an engine that does not execute the run is asked again if it may only
	// begin it: the request may wait there or be on its way.
	lateStart = 300 * time.Millisecond
)

// engineStop ends a run at an engine that the run has left or that may have begun it. The engine
// is asked until it has answered that it does not execute the run, is gone or must have stopped
// at the deadline that it got with the run.
type engineStop struct {
	r      *Run
	engine *targets.Target
	other  *targets.Target // a final move has to name a destination
	// mayBegin means that the engine got a request whose outcome is not known.
	mayBegin bool
	ctx      context.Context
	cancel   context.CancelFunc
	done     chan struct{} // closed after the last call
	changed  chan struct{} // receives a value after a call; holds one at most

	mu        sync.Mutex
	stopped   bool           // guarded by mu; the engine does not execute the run
	reply     edge.MoveReply // guarded by mu; the one that says so, MoveUnknown before
	answers   bool           // guarded by mu; the engine has answered, but has not stopped the run
	unreached bool           // guarded by mu; the last call did not reach the engine
	awaited   bool           // guarded by mu; the run waits for reply, to continue from the memory that it names
	late      string         // guarded by mu; memory of a run that the engine began only after reply
}

// stopAt begins to stop the run at an engine, or returns the stop in progress. Unless await is
// called, the memory that the engine keeps of the run is released.
func (r *Run) stopAt(engine, other *targets.Target, mayBegin bool) *engineStop {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.stops[engine.Key()]; s != nil {
		return s
	}
	s := &engineStop{r: r, engine: engine, other: other, mayBegin: mayBegin, reply: edge.MoveReply{Result: edge.MoveUnknown}, done: make(chan struct{}), changed: make(chan struct{}, 1)}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	if r.stops == nil {
		r.stops = make(map[string]*engineStop)
	}
	r.stops[engine.Key()] = s
	delete(r.mayExecute, engine.Key())
	go s.run()
	return s
}

// await waits until the engine has stopped the run, and returns its answer. It returns false if
// the engine cannot be reached or does not answer, or if ctx or patience ends; the engine is
// asked on meanwhile. An engine that answers is at work, so that the run must not go on elsewhere.
func (s *engineStop) await(ctx context.Context, patience time.Duration) (edge.MoveReply, bool) {
	s.mu.Lock()
	s.awaited = true
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, max(patience, stopTimeout))
	defer cancel()
	silent := time.NewTimer(stopTimeout)
	defer silent.Stop()
	for timeIsUp := false; ; {
		s.mu.Lock()
		reply, stopped := s.reply, s.stopped
		s.awaited = stopped || ctx.Err() == nil && !s.unreached && (s.answers || !timeIsUp)
		awaited := s.awaited
		s.mu.Unlock()
		if stopped || !awaited {
			return reply, stopped
		}
		select {
		case <-s.changed:
		case <-s.done:
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.reply, s.stopped
		case <-silent.C:
			timeIsUp = true
		case <-ctx.Done():
		}
	}
}

// run asks the engine until the run does not execute there any more.
func (s *engineStop) run() {
	defer s.end()
	r, started := s.r, bootclock.Now()
	deadline := started.Add(max(stopCallTimeout, r.call.TimeLeft()))
	timeout, interval := stopTimeout, stopRetryInterval
	for calls := 1; ; calls++ {
		if s.replaced() {
			reply := edge.MoveReply{Result: edge.MoveNoRun}
			s.observe(reply)
			s.logEnd(reply, true, calls-1, started)
			return
		}
		ctx, cancel := context.WithTimeout(s.ctx, timeout)
		calledAt := bootclock.Now()
		reply := r.server.Engines.Move(ctx, s.engine, r.ID(), s.other, true)
		cancel()
		s.observe(reply)
		stopped, recheck := hasStopped(reply), false
		if stopped {
			recheck, s.mayBegin = s.mayBegin && reply.Result == edge.MoveNoRun, false
		}
		gone := !stopped && unreached(reply) && r.server.Targets.View().Get(s.engine.Key()) == nil
		if stopped && !recheck || gone || s.ctx.Err() != nil || bootclock.Now() > deadline {
			s.logEnd(reply, gone, calls, started)
			return
		}
		switch {
		case recheck:
			interval = lateStart
		case bootclock.Since(calledAt) >= stopTimeout:
			interval = stopRetryInterval // the call took the time
		case unreached(reply) || bootclock.Since(started) > stopBackoffAfter:
			interval = min(2*interval, maxStopInterval)
		default:
			interval = stopRetryInterval
		}
		wait.For(s.ctx, interval)
		timeout = stopCallTimeout
	}
}

// logEnd logs the outcome of a stop after its last call.
func (s *engineStop) logEnd(reply edge.MoveReply, gone bool, calls int, started bootclock.Instant) {
	s.r.Log().Info("stream: asked an engine to stop the run", "target", s.engine.ID, "result", reply.Result.String(), "stopped", hasStopped(reply), "gone", gone,
		"calls", calls, "took_ms", bootclock.Since(started).Milliseconds(), "error", reply.ErrorText())
}

// replaced reports whether a later incarnation, of this engine or of another target, has its address.
// The engine has ended then, and calls would stop the run at the later one.
func (s *engineStop) replaced() bool {
	view := s.r.server.Targets.View()
	for _, key := range view.OthersAt(s.engine.Address, s.engine.Key()) {
		if view.Get(key).StartedAtMS > s.engine.StartedAtMS {
			return true
		}
	}
	return false
}

// observe records the answer to a call.
func (s *engineStop) observe(reply edge.MoveReply) {
	s.mu.Lock()
	s.unreached = unreached(reply)
	switch {
	case s.stopped:
		s.late = reply.Handle
	case hasStopped(reply):
		s.stopped, s.reply = true, reply
	default:
		s.answers = s.answers || reply.Answered()
	}
	s.mu.Unlock()
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// end releases the memory that nobody continues from.
func (s *engineStop) end() {
	s.r.mu.Lock()
	if s.r.stops[s.engine.Key()] == s {
		delete(s.r.stops, s.engine.Key())
	}
	s.r.mu.Unlock()
	s.cancel()
	close(s.done)
	s.mu.Lock()
	awaited, handle, late := s.awaited, s.reply.Handle, s.late
	s.mu.Unlock()
	if !awaited && handle != "" {
		s.r.releaseCopy(s.engine, handle)
	}
	if late != "" {
		s.r.releaseCopy(s.engine, late)
	}
}

// engineAnswers reports whether the engine has answered without having stopped the run.
func (s *engineStop) engineAnswers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answers && !s.stopped
}

// hasStopped reports whether an engine does not execute the run after its answer to a final move.
func hasStopped(reply edge.MoveReply) bool {
	return stoppedAtSource(reply) || reply.Result == edge.MoveNoRun
}

// unreached reports whether a call did not reach its engine.
func unreached(reply edge.MoveReply) bool {
	return errors.Is(reply.Err, targetconn.ErrNotSent) && !errors.Is(reply.Err, targetconn.ErrRefused)
}

// endStops ends the stops of the run at the address of an engine that is about to get it.
func (r *Run) endStops(engine *targets.Target) {
	var ended []*engineStop
	r.mu.Lock()
	for _, s := range r.stops {
		if s.engine.Address == engine.Address {
			ended = append(ended, s)
		}
	}
	r.mu.Unlock()
	for _, s := range ended {
		s.cancel()
		<-s.done
	}
}

// noteMayExecute records that an engine may execute the run although the run does not continue there.
func (r *Run) noteMayExecute(engine *targets.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mayExecute == nil {
		r.mayExecute = make(map[string]*targets.Target)
	}
	r.mayExecute[engine.Key()] = engine
}

// stopElsewhere stops the run at all engines that may execute it but the one where it goes on.
func (r *Run) stopElsewhere(current *targets.Target) {
	r.mu.Lock()
	delete(r.mayExecute, current.Key())
	engines := make([]*targets.Target, 0, len(r.mayExecute))
	for _, e := range r.mayExecute {
		engines = append(engines, e)
	}
	r.mu.Unlock()
	for _, e := range engines {
		r.stopAt(e, current, true)
	}
}

// mayHaveBegun reports whether an engine may execute a request that was not answered.
func mayHaveBegun(err error) bool {
	return errors.Is(err, targetconn.ErrBroken) || errors.Is(err, targetconn.ErrInvalidResponse) || errors.Is(err, errUnsigned)
}
