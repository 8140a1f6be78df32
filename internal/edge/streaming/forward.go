package streaming

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/targets"
)

// forward passes the events on as they come, over all engines that the run is
// at, and returns the word that says how the stream ended.
func (r *Run) forward(ctx context.Context, s *segment) string {
	head := s.response
	if head.Status != http.StatusOK {
		return r.forwardResponse(s)
	}
	for {
		err := r.forwardEvents(s, head.Header)
		source := s.target
		s.close()
		if err == errCallerGone {
			r.leaveTarget()
			if c, _ := r.takeReplica(); c != nil {
				r.releaseReplica(c)
			}
			return edge.ReasonCallerGone
		}
		next, reason := r.nextSegment(ctx, source, err)
		if next == nil {
			return r.finish(ctx, source, reason, err)
		}
		s = next
	}
}

var errCallerGone = errors.New("the caller takes no more bytes")

// copyEvents passes the events of one segment on until it ends.
func (r *Run) forwardEvents(s *segment, head http.Header) error {
	for first := true; ; first = false {
		b, err := s.next(r.lastEventID)
		if err != nil {
			return err
		}
		if r.headSent {
			r.recordPause(s.target, first)
		} else {
			r.sendHead(s.target, head)
		}
		r.forwardedAt = bootclock.Now()
		r.lastEventAt.Store(int64(r.forwardedAt))
		if _, err := r.w.Write(b.bytes); err != nil {
			return errCallerGone
		}
		if err := r.flush(); err != nil {
			return errCallerGone
		}
		if b.hasID {
			r.lastEventID = b.lastID
		}
		r.recordProgress(b.events)
	}
}

// begin sends the head of the answer.
func (r *Run) sendHead(t *targets.Target, head http.Header) {
	edge.CopyHeader(r.w.Header(), head)
	r.w.Header().Del("Content-Length")
	r.w.WriteHeader(http.StatusOK)
	r.headSent = true
	age := r.call.Age()
	r.server.Observer.ObserveFirstEvent(age)
	r.call.Log.Info("stream: first event", "target", t.ID, "age_ms", age.Milliseconds())
}

// notePause records the time since the last events. Pauses beyond the route's
// objective are logged: they make the answer late.
func (r *Run) recordPause(t *targets.Target, afterMove bool) {
	pause := bootclock.Since(r.forwardedAt)
	r.longestPause = max(r.longestPause, pause)
	objective := r.call.Route.GapObjective
	switch {
	case afterMove:
		r.call.Log.Info("stream: first event after a move", "target", t.ID, "after_event", r.lastEventID, "pause_ms", pause.Milliseconds())
	case objective > 0 && pause > objective:
		r.call.Log.Info("stream: pause exceeds the objective", "target", t.ID, "after_event", r.lastEventID, "pause_ms", pause.Milliseconds())
	}
}

const (
	completed  = "completed"
	brokenOff  = edge.ReasonBrokenOff
	lostInMove = "lost_in_move"
)

// after decides what follows the end of a segment: the next segment, or the word
// that says how the stream ends.
func (r *Run) nextSegment(ctx context.Context, source *targets.Target, err error) (*segment, string) {
	r.leaveTarget()
	c, stopping := r.takeReplica()
	switch {
	case c == nil && err == io.EOF:
		return nil, completed
	case c == nil:
		return nil, brokenOff
	case ctx.Err() != nil:
		r.releaseReplica(c)
		return nil, brokenOff
	case stopping:
		return r.continueAfterStop(ctx, source, c, err)
	case err == io.EOF:
		r.releaseReplica(c)
		return nil, completed
	}
	// The engine died under the run, but not before its memory was copied, or only
	// the connection broke: then the run must not go on at both.
	c.finalCopy = r.stopAtSource(ctx, source, c)
	close(c.done)
	return r.continueAfterStop(ctx, source, c, err)
}

// halt stops the run at an engine that may still work on it.
func (r *Run) stopAtSource(ctx context.Context, source *targets.Target, c *Replica) edge.MoveReply {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	reply := r.server.Engines.Move(ctx, source.Address, r.ID(), c.Dest.Address, true)
	r.call.Log.Info("stream: run is stopped where its stream broke off", "target", source.ID, "result", reply.Result.String(), "error", reply.ErrorText())
	return reply
}

// afterStop waits for the outcome of the final copy and continues at the copy.
func (r *Run) continueAfterStop(ctx context.Context, source *targets.Target, c *Replica, err error) (*segment, string) {
	timer := time.NewTimer(finalCopyTimeout)
	defer timer.Stop()
	reply := edge.MoveReply{Result: edge.MoveUnknown}
	select {
	case <-c.done:
		reply = c.finalCopy
	case <-timer.C:
	case <-ctx.Done():
		r.releaseReplica(c)
		return nil, brokenOff
	}
	if err == io.EOF && reply.Result == edge.MoveNoRun {
		r.releaseReplica(c)
		return nil, completed // the run was over before the final copy
	}
	handle := c.Handle
	if stoppedAtSource(reply) {
		handle = reply.Handle
	}
	next, reason := r.resumeAtReplica(ctx, c, handle)
	if next != nil || !stoppedAtSource(reply) {
		return next, reason
	}
	// The source keeps the memory of a run that it stopped.
	load := r.server.runLoad(r.call, r.events)
	r.server.Inflight.Add(source.Key(), load)
	if next := r.resume(ctx, source, load, &edge.ReplicaRef{Address: source.Address, Handle: handle}); next != nil {
		return next, ""
	}
	return nil, lostInMove
}

// resumeAt continues the run where its copy is.
func (r *Run) resumeAtReplica(ctx context.Context, c *Replica, handle string) (*segment, string) {
	next := r.resume(ctx, c.Dest, c.Reserved, &edge.ReplicaRef{Address: c.Source.Address, Handle: handle})
	if next == nil {
		return nil, lostInMove
	}
	return next, ""
}

// resume continues the run from a copy of its memory, or returns nil.
func (r *Run) resume(ctx context.Context, t *targets.Target, load inflight.Load, from *edge.ReplicaRef) *segment {
	started := time.Now()
	s, err := r.server.open(ctx, r, t, load, edge.Dispatch{
		Account: r.call.Account, Urgency: r.call.Urgency, ContinueFrom: from, LastEventID: strconv.FormatInt(r.lastEventID, 10),
	})
	if err == nil && s.response.Status != http.StatusOK {
		err = errors.New("status " + strconv.Itoa(s.response.Status))
		s.close()
		r.leaveTarget()
	}
	if err != nil {
		r.call.Log.Warn("stream: run cannot be continued", "target", t.ID, "copy", from.Handle, "after_event", r.lastEventID, "error", err.Error())
		return nil
	}
	r.call.Log.Info("stream: run is continued", "target", t.ID, "copy", from.Handle, "after_event", r.lastEventID,
		"took_ms", time.Since(started).Milliseconds())
	return s
}

// end finishes the caller's answer. A stream that is not whole ends without the
// mark of its end.
func (r *Run) finish(ctx context.Context, source *targets.Target, reason string, err error) string {
	if r.headSent {
		r.server.Observer.ObserveLongestPause(r.longestPause)
	}
	engine := r.call.Service.Engine
	r.server.Lengths.Observe(r.call, r.events*engine.TokensPerEvent, reason == completed)
	if reason == completed && r.headSent {
		return completed
	}
	a := r.call
	errText := ""
	if err != nil {
		errText = err.Error()
	}
	switch {
	case ctx.Err() != nil && a.TimeLeft() > 0:
		reason = edge.ReasonCallerGone
	case ctx.Err() != nil:
		reason = edge.ReasonTimeout
	default:
		r.server.Health.RecordFailure(source.Key(), 1)
	}
	a.Log.Warn("stream: broken off", "reason", reason, "target", source.ID, "after_event", r.lastEventID,
		"age_ms", a.Age().Milliseconds(), "error", errText)
	if !r.headSent {
		status := http.StatusBadGateway
		if reason == edge.ReasonTimeout {
			status = http.StatusGatewayTimeout
		}
		(&edge.Rejection{Status: status, Reason: reason}).Write(r.w, r.server.Sender.Wire)
		return reason
	}
	panic(http.ErrAbortHandler) // closes the connection, so that the answer does not look whole
}

// answerSeverity is what an answer that is no stream counts against an engine: it
// may be the request's own fault.
const nonStreamSeverity = 0.5

// passOn hands on an answer that is no stream.
func (r *Run) forwardResponse(s *segment) string {
	body, err := io.ReadAll(io.LimitReader(s.response, maxEventBytes))
	r.server.Health.RecordFailure(s.target.Key(), nonStreamSeverity)
	s.close()
	r.leaveTarget()
	if err != nil {
		(&edge.Rejection{Status: http.StatusBadGateway, Reason: edge.ReasonMayHaveRun}).Write(r.w, r.server.Sender.Wire)
		return edge.ReasonMayHaveRun
	}
	edge.CopyHeader(r.w.Header(), s.response.Header)
	r.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	r.w.WriteHeader(s.response.Status)
	_, _ = r.w.Write(body) // a caller that has left needs no answer
	return "failed"
}
