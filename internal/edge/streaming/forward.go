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
		return r.passOn(s)
	}
	for {
		err := r.copyEvents(s, head.Header)
		source := s.target
		s.close()
		if err == errCallerGone {
			r.leave()
			if c, _ := r.takeCopy(); c != nil {
				r.dropCopy(c)
			}
			return edge.ReasonCallerGone
		}
		next, reason := r.after(ctx, source, err)
		if next == nil {
			return r.end(ctx, source, reason, err)
		}
		s = next
	}
}

var errCallerGone = errors.New("the caller takes no more bytes")

// copyEvents passes the events of one segment on until it ends.
func (r *Run) copyEvents(s *segment, head http.Header) error {
	for first := true; ; first = false {
		b, err := s.next(r.lastID)
		if err != nil {
			return err
		}
		if r.started {
			r.notePause(s.target, first)
		} else {
			r.begin(s.target, head)
		}
		r.passedAt = bootclock.Now()
		r.heardAt.Store(int64(r.passedAt))
		if _, err := r.w.Write(b.bytes); err != nil {
			return errCallerGone
		}
		if err := r.flush(); err != nil {
			return errCallerGone
		}
		if b.hasID {
			r.lastID = b.lastID
		}
		r.progress(b.events)
	}
}

// begin sends the head of the answer.
func (r *Run) begin(t *targets.Target, head http.Header) {
	edge.CopyHeader(r.w.Header(), head)
	r.w.Header().Del("Content-Length")
	r.w.WriteHeader(http.StatusOK)
	r.started = true
	age := r.call.Age()
	r.server.Observer.ObserveFirstEvent(age)
	r.call.Log.Info("stream: first event", "target", t.ID, "age_ms", age.Milliseconds())
}

// notePause records the time since the last events. Pauses beyond the route's
// objective are logged: they make the answer late.
func (r *Run) notePause(t *targets.Target, moved bool) {
	pause := bootclock.Since(r.passedAt)
	r.longestPause = max(r.longestPause, pause)
	objective := r.call.Route.GapObjective
	switch {
	case moved:
		r.call.Log.Info("stream: first event after a move", "target", t.ID, "after_event", r.lastID, "pause_ms", pause.Milliseconds())
	case objective > 0 && pause > objective:
		r.call.Log.Info("stream: pause exceeds the objective", "target", t.ID, "after_event", r.lastID, "pause_ms", pause.Milliseconds())
	}
}

const (
	ended      = "completed"
	brokenOff  = edge.ReasonBrokenOff
	lostInMove = "lost_in_move"
)

// after decides what follows the end of a segment: the next segment, or the word
// that says how the stream ends.
func (r *Run) after(ctx context.Context, source *targets.Target, err error) (*segment, string) {
	r.leave()
	c, stopping := r.takeCopy()
	switch {
	case c == nil && err == io.EOF:
		return nil, ended
	case c == nil:
		return nil, brokenOff
	case ctx.Err() != nil:
		r.dropCopy(c)
		return nil, brokenOff
	case stopping:
		return r.afterStop(ctx, source, c, err)
	case err == io.EOF:
		r.dropCopy(c)
		return nil, ended
	}
	// The engine died under the run, but not before its memory was copied, or only
	// the connection broke: then the run must not go on at both.
	c.moved = r.halt(ctx, source, c)
	close(c.done)
	return r.afterStop(ctx, source, c, err)
}

// halt stops the run at an engine that may still work on it.
func (r *Run) halt(ctx context.Context, source *targets.Target, c *Replica) edge.MoveReply {
	ctx, cancel := context.WithTimeout(ctx, haltPatience)
	defer cancel()
	moved := r.server.Engines.Move(ctx, source.Address, r.ID(), c.Dest.Address, true)
	r.call.Log.Info("stream: run is stopped where its stream broke off", "target", source.ID, "result", moved.Result.String(), "error", moved.ErrorText())
	return moved
}

// afterStop waits for the outcome of the final copy and continues at the copy.
func (r *Run) afterStop(ctx context.Context, source *targets.Target, c *Replica, err error) (*segment, string) {
	timer := time.NewTimer(stopPatience)
	defer timer.Stop()
	moved := edge.MoveReply{Result: edge.MoveUnknown}
	select {
	case <-c.done:
		moved = c.moved
	case <-timer.C:
	case <-ctx.Done():
		r.dropCopy(c)
		return nil, brokenOff
	}
	if err == io.EOF && moved.Result == edge.MoveNoRun {
		r.dropCopy(c)
		return nil, ended // the run was over before the final copy
	}
	handle := c.Handle
	if halted(moved) {
		handle = moved.Handle
	}
	next, reason := r.resumeAt(ctx, c, handle)
	if next != nil || !halted(moved) {
		return next, reason
	}
	// The source keeps the memory of a run that it stopped.
	counted := r.server.load(r.call, r.events)
	r.server.Inflight.Add(source.Key(), counted)
	if next := r.resume(ctx, source, counted, &edge.ReplicaRef{Address: source.Address, Handle: handle}); next != nil {
		return next, ""
	}
	return nil, lostInMove
}

// resumeAt continues the run where its copy is.
func (r *Run) resumeAt(ctx context.Context, c *Replica, handle string) (*segment, string) {
	next := r.resume(ctx, c.Dest, c.Reserved, &edge.ReplicaRef{Address: c.Source.Address, Handle: handle})
	if next == nil {
		return nil, lostInMove
	}
	return next, ""
}

// resume continues the run from a copy of its memory, or returns nil.
func (r *Run) resume(ctx context.Context, t *targets.Target, counted inflight.Load, from *edge.ReplicaRef) *segment {
	started := time.Now()
	s, err := r.server.open(ctx, r, t, counted, edge.Dispatch{
		Account: r.call.Account, Urgency: r.call.Urgency, ContinueFrom: from, LastEventID: strconv.FormatInt(r.lastID, 10),
	})
	if err == nil && s.response.Status != http.StatusOK {
		err = errors.New("status " + strconv.Itoa(s.response.Status))
		s.close()
		r.leave()
	}
	if err != nil {
		r.call.Log.Warn("stream: run cannot be continued", "target", t.ID, "copy", from.Handle, "after_event", r.lastID, "error", err.Error())
		return nil
	}
	r.call.Log.Info("stream: run is continued", "target", t.ID, "copy", from.Handle, "after_event", r.lastID,
		"took_ms", time.Since(started).Milliseconds())
	return s
}

// end finishes the caller's answer. A stream that is not whole ends without the
// mark of its end.
func (r *Run) end(ctx context.Context, source *targets.Target, reason string, err error) string {
	if r.started {
		r.server.Observer.ObserveLongestPause(r.longestPause)
	}
	engine := r.call.Service.Engine
	r.server.Lengths.Observe(r.call, r.events*engine.TokensPerEvent, reason == ended)
	if reason == ended && r.started {
		return ended
	}
	a := r.call
	text := ""
	if err != nil {
		text = err.Error()
	}
	switch {
	case ctx.Err() != nil && a.TimeLeft() > 0:
		reason = edge.ReasonCallerGone
	case ctx.Err() != nil:
		reason = edge.ReasonTimeout
	default:
		r.server.Health.RecordFailure(source.Key(), 1)
	}
	a.Log.Warn("stream: broken off", "reason", reason, "target", source.ID, "after_event", r.lastID,
		"age_ms", a.Age().Milliseconds(), "error", text)
	if !r.started {
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
const answerSeverity = 0.5

// passOn hands on an answer that is no stream.
func (r *Run) passOn(s *segment) string {
	body, err := io.ReadAll(io.LimitReader(s.response, maxEventBytes))
	r.server.Health.RecordFailure(s.target.Key(), answerSeverity)
	s.close()
	r.leave()
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
