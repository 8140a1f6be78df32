package streaming

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/targetconn"
	"corianderhitch/internal/edge/targets"
)

const (
	// stopTimeout is for how long an engine that may still execute a run may send nothing at all before the
	// run goes on at another one. Then it has crashed, is silent or is unreachable.
	stopTimeout = 400 * time.Millisecond
	// stopAnswerValidity is for how long an engine counts as at work after it has answered without
	// having stopped the run. It may end after that.
	stopAnswerValidity = 2 * stopTimeout
	// stopCheckInterval is how often the evidence that an engine is at work is looked at.
	stopCheckInterval = 50 * time.Millisecond
	// contactMargin is how long after the stream of a run has broken off bytes on other connections may
	// be read that the engine sent before.
	contactMargin = 50 * time.Millisecond
	// maxInvalidAnswers is how many answers in a row may be none before an engine that sends to others is not
	// awaited any longer: it will not say that it has stopped the run.
	maxInvalidAnswers = 3
)

// Reasons of stops in log lines.
const (
	stopAfterBreak    = "stream_broke_off"
	stopAfterTakeover = "taken_over"
	stopAfterSend     = "not_answered" // the engine got a request whose answer did not arrive
	stopOthers        = "goes_on_elsewhere"
	stopAtEnd         = "run_ended"
)

// engineStop ends a run at an engine that the run has left or that may have begun it. The engine
// is asked until it has answered that it does not execute the run, or has ended, or until the
// deadline has passed that it got with the run.
type engineStop struct {
	r      *Run
	engine *targets.Target
	other  *targets.Target // a final move has to name a destination
	reason string
	// unanswered means that the engine got a request whose answer did not arrive.
	unanswered bool
	ctx        context.Context
	cancel     context.CancelFunc
	started    bootclock.Instant
	quit       chan struct{} // closed when no other call is to be made
	quitOnce   sync.Once
	done       chan struct{} // closed after the last call
	changed    chan struct{} // receives a value after a call; holds one at most

	mu         sync.Mutex
	stopped    bool              // guarded by mu; the engine does not execute the run
	reply      edge.MoveReply    // guarded by mu; the one that says so, MoveUnknown before
	answeredAt bootclock.Instant // guarded by mu; when the engine answered last without having stopped the run, 0 if it did not
	unreached  bool              // guarded by mu; the last call did not reach the engine
	awaited    bool              // guarded by mu; the run waits for reply, to continue from the memory that it names
	settled    bool              // guarded by mu; reply has been passed on, and does not change any more
	unused     []edge.MoveReply  // guarded by mu; those after reply that name memory
	invalid    int               // guarded by mu; outcomes in a row that were no valid answers
	open       int               // guarded by mu; calls without an outcome yet
	calls      int               // guarded by mu; calls made
	finished   bool              // guarded by mu; the engine need not be asked again
}

// stopAt begins to stop the run at an engine, or returns the stop in progress. Callers that set
// awaited call await. Otherwise the memory that the engine keeps of the run is released.
func (r *Run) stopAt(engine, other *targets.Target, reason string, awaited bool) *engineStop {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.stops[engine.Key()]; s != nil {
		s.mu.Lock()
		s.awaited = s.awaited || awaited
		s.mu.Unlock()
		return s
	}
	s := &engineStop{r: r, engine: engine, other: other, reason: reason, unanswered: r.unstopped[engine.Key()] != nil, awaited: awaited,
		reply: edge.MoveReply{Result: edge.MoveUnknown}, started: bootclock.Now(), quit: make(chan struct{}), done: make(chan struct{}), changed: make(chan struct{}, 1)}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	if r.stops == nil {
		r.stops = make(map[string]*engineStop)
	}
	r.stops[engine.Key()] = s
	delete(r.unstopped, engine.Key())
	go s.run()
	return s
}

// await waits until the engine has stopped the run, and returns its answer. It returns false if
// the engine cannot be reached or sends nothing any more, or if ctx or patience ends; the engine
// is asked on meanwhile. One that sends anything is at work: the run must not go on elsewhere.
func (s *engineStop) await(ctx context.Context, patience time.Duration) (edge.MoveReply, bool) {
	started := bootclock.Now()
	ctx, cancel := context.WithTimeout(ctx, max(patience, stopTimeout))
	defer cancel()
	check := time.NewTicker(stopCheckInterval)
	defer check.Stop()
	for {
		reply, stopped, waits := s.progress(ctx, started)
		if !waits {
			s.logWait(started, stopped)
			return reply, stopped
		}
		select {
		case <-s.changed:
		case <-check.C:
		case <-ctx.Done():
		case <-s.done:
			s.mu.Lock()
			s.unreached = true // nobody asks the engine any more
			s.mu.Unlock()
		}
	}
}

// progress returns the engine's answer and whether the run has stopped, as far as a wait since started
// has shown, and whether the wait goes on.
func (s *engineStop) progress(ctx context.Context, started bootclock.Instant) (reply edge.MoveReply, stopped, waits bool) {
	heard := s.heardLately(started)
	s.mu.Lock()
	defer s.mu.Unlock()
	waited := bootclock.Since(started)
	if s.stopped {
		// A call that waits for an answer may have stopped the run and be copying its memory.
		if s.reply.Result == edge.MoveNoRun && s.open > 0 && waited < stopTimeout && ctx.Err() == nil {
			return s.reply, false, true
		}
		s.awaited, s.settled = true, true
		return s.reply, true, false
	}
	silent := s.answeredAt == 0 && waited >= stopTimeout || s.answeredAt != 0 && bootclock.Since(s.answeredAt) >= stopAnswerValidity
	s.awaited = ctx.Err() == nil && (heard && s.invalid < maxInvalidAnswers || !s.unreached && !silent)
	return s.reply, false, s.awaited
}

// logWait logs the end of a wait and the evidence that it is based on.
func (s *engineStop) logWait(started bootclock.Instant, stopped bool) {
	s.mu.Lock()
	calls, open := s.calls, s.open
	s.mu.Unlock()
	s.r.Log().Info("stream: waited for an engine to stop the run", "target", s.engine.ID, "reason", s.reason, "stopped", stopped,
		"at_work", s.engineAtWork(), "heard_ms_ago", s.contact().SinceHeard.Milliseconds(), "calls", calls, "open_calls", open,
		"waited_ms", bootclock.Since(started).Milliseconds())
}

// contact returns how long ago this host reached and heard the engine by any request.
func (s *engineStop) contact() targetconn.Contact {
	return s.r.server.Sender.Pool.Contact(s.engine.Key())
}

// heardLately reports whether the engine has sent anything within stopTimeout, and after since.
func (s *engineStop) heardLately(since bootclock.Instant) bool {
	return s.contact().SinceHeard < min(stopTimeout, bootclock.Since(since)-contactMargin)
}

// engineAtWork reports whether the engine has sent anything lately and has not stopped the run.
func (s *engineStop) engineAtWork() bool {
	heard := s.heardLately(s.started)
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.stopped && (heard && s.invalid < maxInvalidAnswers || !s.unreached && s.answeredAt != 0 && bootclock.Since(s.answeredAt) < stopAnswerValidity)
}

// replaced reports whether a later incarnation, of this engine or of another target, has its address.
// The engine has ended then, and calls would reach the later one.
func (s *engineStop) replaced() bool {
	view := s.r.server.Targets.View()
	for _, key := range view.OthersAt(s.engine.Address, s.engine.Key()) {
		if view.Get(key).StartedAtMS > s.engine.StartedAtMS {
			return true
		}
	}
	return !view.Listed(s.engine.Key()) && view.TakenOver(s.engine.Address, s.engine.Key())
}

// observe records the outcome of a call.
func (s *engineStop) observe(reply edge.MoveReply) {
	s.mu.Lock()
	s.unreached = didNotReach(reply)
	if errors.Is(reply.Err, targetconn.ErrInvalidResponse) {
		s.invalid++
	} else {
		s.invalid = 0
	}
	switch {
	case s.stopped && s.reply.Result == edge.MoveNoRun && !s.settled && stoppedAtSource(reply):
		s.reply = reply // an earlier call has stopped the run
	case s.stopped && reply.Handle != "":
		s.unused = append(s.unused, reply)
	case s.stopped:
	case hasStopped(reply):
		s.stopped, s.reply = true, reply
	case reply.Answered():
		s.answeredAt = bootclock.Now()
	}
	s.mu.Unlock()
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// finish records and logs that the engine need not be asked again.
func (s *engineStop) finish(reply edge.MoveReply, ended bool) {
	s.mu.Lock()
	s.finished = true
	calls := s.calls
	s.mu.Unlock()
	s.r.Log().Info("stream: asked an engine to stop the run", "target", s.engine.ID, "reason", s.reason, "result", reply.Result.String(),
		"stopped", hasStopped(reply), "engine_gone", ended, "calls", calls, "took_ms", bootclock.Since(s.started).Milliseconds(), "error", reply.ErrorText())
}

// end leaves the memory that the run does not continue from to be released.
func (s *engineStop) end() {
	r := s.r
	s.mu.Lock()
	unused := s.unused
	if !s.awaited && s.reply.Handle != "" {
		unused = append(unused, s.reply)
	}
	s.mu.Unlock()
	r.mu.Lock()
	if r.stops[s.engine.Key()] == s {
		delete(r.stops, s.engine.Key())
	}
	for _, reply := range unused {
		r.leftMemory = append(r.leftMemory, leftMemory{s.engine, s.other, reply})
	}
	r.mu.Unlock()
	s.cancel()
	close(s.done)
	if len(unused) > 0 {
		r.awaitTarget()
		for _, m := range r.takeLeftMemory() {
			r.releaseCopy(m.engine, m.reply.Handle)
		}
	}
}

// hasStopped reports whether an engine does not execute the run after its answer to a final move.
func hasStopped(reply edge.MoveReply) bool {
	return stoppedAtSource(reply) || reply.Result == edge.MoveNoRun
}

// didNotReach reports whether a call did not reach its engine.
func didNotReach(reply edge.MoveReply) bool {
	return errors.Is(reply.Err, targetconn.ErrNotSent) && !errors.Is(reply.Err, targetconn.ErrRefused)
}

// endStops ends the stops of the run at the address of an engine that is about to get it. A call in
// flight is awaited for a while, since it could stop the run that begins now. It reports whether an
// engine has to be asked again if the run does not get there.
func (r *Run) endStops(engine *targets.Target) (unfinished bool) {
	var ending []*engineStop
	r.mu.Lock()
	for _, s := range r.stops {
		if s.engine.Address == engine.Address {
			ending = append(ending, s)
		}
	}
	r.mu.Unlock()
	for _, s := range ending {
		s.quitOnce.Do(func() { close(s.quit) })
		select {
		case <-s.done:
		case <-time.After(stopTimeout):
			s.cancel()
			<-s.done
		}
		s.mu.Lock()
		unfinished = unfinished || !s.finished
		s.mu.Unlock()
	}
	return unfinished
}

// noteUnstopped records that an engine may execute the run although the run does not continue there.
func (r *Run) noteUnstopped(engine *targets.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unstopped == nil {
		r.unstopped = make(map[string]*targets.Target)
	}
	r.unstopped[engine.Key()] = engine
}

// stopAtOthers stops the run at all engines that may execute it but the one where it goes on.
func (r *Run) stopAtOthers(current *targets.Target) {
	r.mu.Lock()
	delete(r.unstopped, current.Key())
	engines := make([]*targets.Target, 0, len(r.unstopped))
	for _, e := range r.unstopped {
		engines = append(engines, e)
	}
	r.mu.Unlock()
	if len(engines) == 0 || !r.call.Service.Engine.SupportsMigration {
		return // engines without moves are stopped by the end of their connections
	}
	for _, e := range engines {
		r.stopAt(e, current, stopOthers, false)
	}
}

// stopAll stops a run that has ended at all engines that may execute it.
func (r *Run) stopAll() {
	r.mu.Lock()
	engines := make([]*targets.Target, 0, len(r.unstopped))
	for _, e := range r.unstopped {
		engines = append(engines, e)
	}
	r.mu.Unlock()
	for _, e := range engines {
		if other := r.anotherEngine(e); other != nil && r.call.Service.Engine.SupportsMigration {
			r.stopAt(e, other, stopAtEnd, false)
		}
	}
}

// anotherEngine returns an engine of the run's service that does not leave and is not e, nil if there
// is none.
func (r *Run) anotherEngine(e *targets.Target) *targets.Target {
	serving := r.server.view(r.call).Serving(r.call.Service.Name)
	if i := slices.IndexFunc(serving, func(t *targets.Target) bool { return t.Key() != e.Key() }); i >= 0 {
		return serving[i]
	}
	return nil
}

// isBeingStopped reports whether an engine is asked to stop the run and has not done so.
func (r *Run) isBeingStopped(e *targets.Target) bool {
	r.mu.Lock()
	s := r.stops[e.Key()]
	r.mu.Unlock()
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.stopped
}

// anyEngineAtWork reports whether an engine that the run has left, or that may have begun it, has
// sent anything lately and has not stopped it.
func (r *Run) anyEngineAtWork() bool {
	r.mu.Lock()
	stops := slices.Collect(maps.Values(r.stops))
	r.mu.Unlock()
	return slices.ContainsFunc(stops, (*engineStop).engineAtWork)
}

// mayHaveBegun reports whether an engine may execute a request that was not answered.
func mayHaveBegun(err error) bool {
	return errors.Is(err, targetconn.ErrBroken) || errors.Is(err, targetconn.ErrInvalidResponse) || errors.Is(err, errUnsigned)
}
