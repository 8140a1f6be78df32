package streaming

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/draining"
	"corianderhitch/internal/edge/targets"
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
			return r.endForCaller(ctx, current)
		}
		r.beginInterruption(ctx, err)
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
		before := r.forwardedAt
		r.forwardedAt = bootclock.Now()
		r.measureSpeed(s, before, b.events, first)
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
	completed  = "completed"
	brokenOff  = edge.ReasonBrokenOff
	lostInMove = "lost_in_move"
	// notStopped: the engine whose stream broke off answers, but does not stop the run.
	notStopped = "not_stopped"
)

// nextSegment returns the segment that follows one that ended with err, or the
// outcome of the stream if none follows.
func (r *Run) nextSegment(ctx context.Context, ended *segment, err error) (*segment, string) {
	r.leaveTarget()
	replica, stopping := r.takeReplica()
	complete := err == io.EOF && (ended.response.Delimited || !r.mayHaveBeenStopped())
	switch {
	case replica == nil && complete:
		return nil, completed
	case replica == nil:
		return nil, brokenOff
	case ctx.Err() != nil:
		r.releaseReplica(replica)
		return nil, brokenOff
	case stopping:
		return r.continueAfterStop(ctx, ended, replica, err)
	case complete:
		r.releaseReplica(replica)
		return nil, completed
	case r.server.Targets.View().Evacuated(replica.Dest.Key()):
		r.releaseReplica(replica) // stopping the run would copy it there once more
		return nil, brokenOff
	}
	return r.stopAndContinue(ctx, ended, replica)
}

// stopAndContinue continues a run whose engine may have crashed, or may still execute it because
// only the connection broke. It goes on elsewhere once the engine has stopped it or does not answer.
func (r *Run) stopAndContinue(ctx context.Context, ended *segment, replica *Replica) (*segment, string) {
	stop := r.stopAt(ended.target, replica.Dest, stopAfterBreak, true)
	reply, stopped := stop.await(ctx, r.patienceLeft())
	switch {
	case stopped:
	case ctx.Err() != nil:
		r.releaseReplica(replica)
		return nil, brokenOff
	case stop.engineAtWork():
		r.releaseReplica(replica)
		return nil, notStopped
	}
	return r.continueFrom(ctx, ended, replica, reply)
}

// patienceLeft returns how long the run may try to go on before its caller gives up.
func (r *Run) patienceLeft() time.Duration {
	return r.call.Route.MinCallerPatience() - r.SinceLastEvent() - callerPatienceMargin
}

// continueAfterStop waits for the outcome of the final copy and continues the run.
func (r *Run) continueAfterStop(ctx context.Context, ended *segment, replica *Replica, err error) (*segment, string) {
	if err == io.EOF && ended.response.Delimited {
		r.releaseAfterFinalCopy(replica)
		return nil, completed // the stream of a run that was stopped comes without its end
	}
	timer := time.NewTimer(finalCopyTimeout)
	defer timer.Stop()
	reply := edge.MoveReply{Result: edge.MoveUnknown}
	select {
	case <-replica.final.done:
		reply = replica.final.reply
	case <-timer.C:
	case <-ctx.Done():
		r.releaseReplica(replica)
		return nil, brokenOff
	}
	if err == io.EOF && reply.Result != edge.MoveUnknown && reply.Result != edge.MoveRejected && !stoppedAtSource(reply) {
		r.releaseReplica(replica)
		return nil, completed // the engine has not stopped the run
	}
	if !hasStopped(reply) {
		return r.stopAndContinue(ctx, ended, replica)
	}
	return r.continueFrom(ctx, ended, replica, reply)
}

// continueFrom continues the run from the replica, or at the source if that fails. reply is the
// source's last answer to a final move.
func (r *Run) continueFrom(ctx context.Context, ended *segment, replica *Replica, reply edge.MoveReply) (*segment, string) {
	handle := replica.Handle
	if stoppedAtSource(reply) {
		handle = reply.Handle
	}
	holders := []*memoryHolder{replicaHolder(replica, handle)}
	if stoppedAtSource(reply) {
		// The source still holds the memory of a run that a final copy stopped.
		load := r.server.runLoad(r.call, r.events)
		holders = append(holders, &memoryHolder{target: ended.target, load: load, from: edge.ReplicaRef{Address: ended.target.Address, Handle: handle}})
	}
	next := r.resume(ctx, holders...)
	if next == nil {
		return nil, lostInMove
	}
	r.enterTarget(next)
	return next, ""
}

// finish records the outcome and ends the caller's response. The response to an
// incomplete stream is aborted, so that it does not look complete.
func (r *Run) finish(ctx context.Context, source *targets.Target, reason string, err error) string {
	r.stopAll()
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
	r.logBrokenOff(reason, source.ID, errText)
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
