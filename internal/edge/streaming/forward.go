package streaming

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/draining"
	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/targetconn"
	"corianderhitch/internal/edge/targets"
	"corianderhitch/internal/wait"
)

// forward sends the events to the caller as they arrive, from each engine that
// executes the run in turn, and returns the outcome of the stream.
func (r *Run) forward(ctx context.Context, current *segment) string {
	if current.response.Status != http.StatusOK {
		return r.forwardResponse(current)
	}
	r.ctx = ctx
	r.enterTarget(current)
	r.head = current.response.Header
	for {
		err := r.forwardEvents(current)
		source := current.target
		current.close()
		if next := r.endTakeover(err); next != nil {
			r.leaveTarget()
			r.enterTarget(next)
			current = next
			continue
		}
		if err == errCallerGone {
			r.leaveTarget()
			if replica, _ := r.takeReplica(); replica != nil {
				r.releaseReplica(replica)
			}
			return edge.CanceledReason(ctx)
		}
		if err != io.EOF {
			r.awaitCopy(ctx)
		}
		next, reason := r.nextSegment(ctx, current, err)
		if next == nil && reason != completed {
			next = r.restart(ctx, source, reason, err)
		}
		if next == nil {
			return r.finish(ctx, source, reason, err)
		}
		current = next
	}
}

var errCallerGone = errors.New("caller closed the connection")

// forwardEvents forwards the events of one segment until the segment ends.
func (r *Run) forwardEvents(s *segment) error {
	for first := true; ; first = false {
		b, err := s.next(r.lastEventID.Load())
		if err != nil {
			s.watch.ended(err, s.response.ConnectionClosing)
			return err
		}
		s.watch.event()
		if r.headSent {
			r.recordPause(s.target, first)
		} else {
			r.sendHead(s.target)
		}
		r.forwardedAt = bootclock.Now()
		if err := r.writeEvents(b.bytes); err != nil {
			return errCallerGone
		}
		if b.hasID {
			r.lastEventID.Store(b.lastID)
		}
		r.recordProgress(b.events)
	}
}

// writeEvents sends events to the caller. While a slow caller keeps it from reading further
// events, the engine does not count as silent.
func (r *Run) writeEvents(events []byte) error {
	r.lastEventAt.Store(0)
	defer func() { r.lastEventAt.Store(int64(bootclock.Now())) }()
	if _, err := r.w.Write(events); err != nil {
		return err
	}
	return r.flush()
}

// sendHead sends the status and headers of the response.
func (r *Run) sendHead(t *targets.Target) {
	edge.CopyHeader(r.w.Header(), r.head)
	r.w.Header().Del("Content-Length")
	r.w.WriteHeader(http.StatusOK)
	r.headSent = true
	age := r.call.Age()
	r.startedAfter = r.call.SinceReceived()
	r.server.Observer.ObserveFirstEvent(age)
	r.call.Log.Info("stream: first event", "target", t.ID, "age_ms", age.Milliseconds())
}

// recordPause measures the time since the last events. Pauses longer than the
// route's objective are logged because they violate it.
func (r *Run) recordPause(t *targets.Target, afterMove bool) {
	pause := bootclock.Since(r.forwardedAt)
	r.longestPause = max(r.longestPause, pause)
	objective := r.call.Route.GapObjective
	switch {
	case afterMove:
		r.call.Log.Info("stream: first event after a move", "target", t.ID, "after_event", r.lastEventID.Load(), "pause_ms", pause.Milliseconds())
	case objective > 0 && pause > objective:
		r.call.Log.Info("stream: pause exceeds the objective", "target", t.ID, "after_event", r.lastEventID.Load(), "pause_ms", pause.Milliseconds())
	}
}

const (
	// resumeRetryTime is how long a run tries to reach the engine from whose memory it
	// continues. Callers wait at least 2 s for the next event.
	resumeRetryTime     = 1500 * time.Millisecond
	resumeRetryInterval = 100 * time.Millisecond
	// callerPatienceMargin is how long before its caller gives up a run stops waiting for the
	// engines that hold its memory.
	callerPatienceMargin = 300 * time.Millisecond
)

const (
	completed  = "completed"
	brokenOff  = edge.ReasonBrokenOff
	lostInMove = "lost_in_move"
)

// nextSegment returns the segment that follows one that ended with err, or the
// outcome of the stream if none follows.
func (r *Run) nextSegment(ctx context.Context, ended *segment, err error) (*segment, string) {
	r.leaveTarget()
	replica, stopping := r.takeReplica()
	switch {
	case replica == nil && err == io.EOF:
		return nil, completed
	case replica == nil:
		return nil, brokenOff
	case ctx.Err() != nil:
		r.releaseReplica(replica)
		return nil, brokenOff
	case stopping:
		return r.continueAfterStop(ctx, ended, replica, err)
	case err == io.EOF:
		r.releaseReplica(replica)
		return nil, completed
	}
	// Either the engine crashed, or only the connection broke and the engine still
	// executes the run. It is stopped there, so that it does not continue at both.
	replica.finalCopy = r.stopAtSource(ctx, ended.target, replica)
	close(replica.done)
	return r.continueAfterStop(ctx, ended, replica, err)
}

// stopAtSource stops the run at an engine that may still execute it.
func (r *Run) stopAtSource(ctx context.Context, source *targets.Target, replica *Replica) edge.MoveReply {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	reply := r.server.Engines.Move(ctx, source, r.ID(), replica.Dest, true)
	r.call.Log.Info("stream: asked the engine to stop the run after its stream broke off", "target", source.ID, "result", reply.Result.String(), "error", reply.ErrorText())
	return reply
}

// continueAfterStop waits for the outcome of the final copy and continues the run
// from the replica, or at the source if that fails.
func (r *Run) continueAfterStop(ctx context.Context, ended *segment, replica *Replica, err error) (*segment, string) {
	timer := time.NewTimer(finalCopyTimeout)
	defer timer.Stop()
	reply := edge.MoveReply{Result: edge.MoveUnknown}
	select {
	case <-replica.done:
		reply = replica.finalCopy
	case <-timer.C:
	case <-ctx.Done():
		r.releaseReplica(replica)
		return nil, brokenOff
	}
	if err == io.EOF && reply.Result == edge.MoveNoRun {
		r.releaseReplica(replica)
		return nil, completed // the run completed before the final copy
	}
	handle := replica.Handle
	if stoppedAtSource(reply) {
		handle = reply.Handle
	}
	// The source still holds the memory of a run that a final copy stopped.
	holders := []memoryHolder{{target: replica.Dest, load: replica.Reserved, from: replicaRef(replica, handle)}}
	if stoppedAtSource(reply) {
		source := ended.target
		load := r.server.runLoad(r.call, r.events)
		r.server.Inflight.Add(source.Key(), load)
		holders = append(holders, memoryHolder{target: source, load: load, from: &edge.ReplicaRef{Address: source.Address, Handle: handle}})
	}
	next := r.resumeAtAny(ctx, holders)
	if next != nil {
		r.enterTarget(next)
		return next, ""
	}
	if err == io.EOF && reply.Result == edge.MoveUnknown && ended.response.Delimited {
		return nil, completed // the run may have completed before the final copy
	}
	return nil, lostInMove
}

// resumeAtReplica continues the run at the engine that holds its replica.
func (r *Run) resumeAtReplica(ctx context.Context, replica *Replica, handle string) *segment {
	next, _ := r.resume(ctx, replica.Dest, replica.Reserved, replicaRef(replica, handle))
	return next
}

func replicaRef(replica *Replica, handle string) *edge.ReplicaRef {
	return &edge.ReplicaRef{Address: replica.Source.Address, Handle: handle}
}

// memoryHolder is an engine that holds the memory of a run.
type memoryHolder struct {
	target *targets.Target
	load   inflight.Load // reserved for the run until resume
	from   *edge.ReplicaRef
}

// resumeAtAny continues the run at the first holder of its memory that takes it. It waits for
// the end of their pauses unless the caller gives up before. It returns nil if that fails.
func (r *Run) resumeAtAny(ctx context.Context, holders []memoryHolder) *segment {
	next, paused := r.resumeAtFirst(ctx, holders)
	for next == nil && len(paused) > 0 && ctx.Err() == nil {
		i, left := r.firstToAccept(paused)
		h := paused[i]
		paused = slices.Delete(paused, i, i+1)
		if r.SinceLastEvent()+left > r.call.Route.MinCallerPatience()-callerPatienceMargin {
			return nil
		}
		r.call.Log.Info("stream: waiting for a paused engine that holds the run's memory", "target", h.target.ID, "pause_ms", left.Milliseconds())
		wait.For(ctx, left)
		r.server.Inflight.Add(h.target.Key(), h.load)
		var again []memoryHolder
		next, again = r.resumeAtFirst(ctx, []memoryHolder{h})
		paused = append(paused, again...)
	}
	return next
}

// resumeAtFirst continues the run at the first holder that takes it. Otherwise it returns
// those that rejected the run because they are paused.
func (r *Run) resumeAtFirst(ctx context.Context, holders []memoryHolder) (next *segment, paused []memoryHolder) {
	for i, h := range holders {
		next, err := r.resume(ctx, h.target, h.load, h.from)
		if next != nil {
			for _, other := range holders[i+1:] {
				r.server.Inflight.Remove(other.target.Key(), other.load)
			}
			return next, nil
		}
		rejected := errors.Is(err, errNotExecuted) || errors.Is(err, targetconn.ErrRefused)
		if rejected && r.server.Targets.View().TargetPauseLeft(h.target) > 0 {
			paused = append(paused, h)
		}
	}
	return nil, paused
}

// firstToAccept returns the index of the holder whose pause ends first, and how long it lasts.
func (r *Run) firstToAccept(paused []memoryHolder) (first int, left time.Duration) {
	view := r.server.Targets.View()
	for i, h := range paused {
		if l := view.TargetPauseLeft(h.target); i == 0 || l < left {
			first, left = i, l
		}
	}
	return first, left
}

// resume continues the run at t from the memory that from names. At the destination
// that is the replica, or the final copy if one was made; at the source it is the
// memory of the run that the final copy stopped. It tries again for resumeRetryTime while no
// byte can be sent to t, since no other engine has the memory. It returns an error if that
// fails.
func (r *Run) resume(ctx context.Context, t *targets.Target, load inflight.Load, from *edge.ReplicaRef) (*segment, error) {
	started := time.Now()
	dispatch := edge.Dispatch{Account: r.call.Account, Urgency: r.call.Urgency, ContinueFrom: from, LastEventID: r.lastEventID.Load()}
	s, err := r.server.open(ctx, r, t, load, dispatch, nil)
	for errors.Is(err, targetconn.ErrNotSent) && !errors.Is(err, targetconn.ErrRefused) && ctx.Err() == nil && time.Since(started) < resumeRetryTime {
		wait.For(ctx, resumeRetryInterval)
		r.server.Inflight.Add(t.Key(), load)
		s, err = r.server.open(ctx, r, t, load, dispatch, nil)
	}
	if err == nil && s.response.Status != http.StatusOK {
		err = errors.New("status " + strconv.Itoa(s.response.Status))
		r.abandon(s)
	}
	if err != nil {
		r.call.Log.Warn("stream: run could not be resumed", "target", t.ID, "copy", from.Handle, "after_event", r.lastEventID.Load(), "error", err.Error())
		return nil, err
	}
	r.call.Log.Info("stream: run resumed", "target", t.ID, "copy", from.Handle, "after_event", r.lastEventID.Load(),
		"took_ms", time.Since(started).Milliseconds())
	return s, nil
}

// finish records the outcome and ends the caller's response. The response to an
// incomplete stream is aborted, so that it does not look complete.
func (r *Run) finish(ctx context.Context, source *targets.Target, reason string, err error) string {
	if r.headSent {
		r.server.Observer.ObserveLongestPause(r.longestPause)
	}
	engine := r.call.Service.Engine
	r.server.Lengths.Observe(r.call, r.events*engine.TokensPerEvent, reason == completed)
	if reason == completed && !r.headSent && r.call.ResumesAfter() > 0 {
		r.sendHead(source) // the caller already had all events
	}
	if reason == completed && r.headSent {
		r.recordDuration()
		return completed
	}
	a := r.call
	errText := ""
	if err != nil {
		errText = err.Error()
	}
	switch {
	case ctx.Err() != nil && a.TimeLeft() > 0:
		reason = edge.CanceledReason(ctx)
	case ctx.Err() != nil:
		reason = edge.ReasonTimeout
	default:
		r.server.recordFailure(source, bootclock.Now().Add(-r.SinceLastEvent()))
	}
	a.Log.Warn("stream: broken off", "reason", reason, "target", source.ID, "after_event", r.lastEventID.Load(),
		"silent_ms", r.SinceLastEvent().Milliseconds(), "age_ms", a.Age().Milliseconds(), "shared_parts", a.Call.Generation.SharedPartNames(), "error", errText)
	if !r.headSent {
		status := http.StatusBadGateway
		if reason == edge.ReasonTimeout {
			status = http.StatusGatewayTimeout
		}
		(&edge.Rejection{Status: status, Reason: reason}).Write(r.w, r.server.Sender.Wire)
		return reason
	}
	panic(http.ErrAbortHandler) // closes the connection, so that the response does not look complete
}

// recordDuration records how long the run took, for the drain of this process.
func (r *Run) recordDuration() {
	tokens := (r.events - r.eventsBefore - 1) * r.call.Service.Engine.TokensPerEvent // after the first event
	if tokens <= 0 || r.server.Stalls.Affected(r.call.Received, bootclock.Now()) {
		return // events may have waited unread
	}
	d := draining.Pace{Start: r.startedAfter, PerToken: (r.call.SinceReceived() - r.startedAfter) / time.Duration(tokens)}
	r.server.Drain.Record(r.call.Route.Name, d)
}

// nonStreamSeverity is how much a response that is not a stream counts as a failure
// of the engine; less than 1, since the request itself may be at fault.
const nonStreamSeverity = 0.5

// forwardResponse forwards a response that is not a stream.
func (r *Run) forwardResponse(s *segment) string {
	response := r.readFailedResponse(s, r.call.TimeLeft())
	if response == nil {
		(&edge.Rejection{Status: http.StatusBadGateway, Reason: edge.ReasonMayHaveRun}).Write(r.w, r.server.Sender.Wire)
		return edge.ReasonMayHaveRun
	}
	response.write(r.w)
	return responseFailed
}
