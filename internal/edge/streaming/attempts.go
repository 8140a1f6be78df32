package streaming

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/targets"
)

// attempts records to which engines a request was sent, and what is known of the outcome.
// One goroutine at a time uses it: the reading one, or that of a takeover. All may read sends.
type attempts struct {
	tried map[string]bool // incarnations that were chosen
	// sends counts the sends that reached an engine and failed; continuations from a
	// replica don't count.
	sends      atomic.Int32
	evacuation evacuationRefusals
	// permitUntil is that of the engine that was chosen last, to which the request was not sent yet.
	permitUntil bootclock.Instant
	mayHaveRun  bool            // an engine may have begun to run the request
	retryAfter  time.Duration   // given by the order of all hosts, which rejected the run; 0 if it did not
	beside      bool            // an engine is asked while another one may go on with the request
	failed      *failedResponse // the last failure that an engine answered with; nil if none
}

// takePermit returns until when the request may be sent by a permit of the hub, once; 0 without one.
func (a *attempts) takePermit() (until bootclock.Instant) {
	until, a.permitUntil = a.permitUntil, 0
	return until
}

// unavailable returns the rejection of a request for which no engine is left. Only a
// request that certainly has not run gets status 503.
func (a *attempts) unavailable(reason string, retryAfter time.Duration) *edge.Rejection {
	if a.mayHaveRun {
		return &edge.Rejection{Status: http.StatusBadGateway, Reason: edge.ReasonMayHaveRun}
	}
	return edge.Unavailable(reason, retryAfter)
}

// refusedOr returns the rejection of a request while no engine of its service accepts requests,
// and otherwise that of unavailable.
func (r *Run) refusedOr(reason string, retryAfter time.Duration) *edge.Rejection {
	if refusal, refused := r.server.view(r.call).Refusal(r.call.Service.Name); refused && !r.attempts.mayHaveRun {
		return edge.AllRefuse(refusal)
	}
	return r.attempts.unavailable(reason, retryAfter)
}

// takeAttempt reports whether the request may be sent to one more engine, and takes that
// send from the retry budget.
func (s *Server) takeAttempt(r *Run) bool {
	if int(r.attempts.sends.Load()) >= r.call.Route.MaxAttempts {
		return false
	}
	budget := s.RetryBudget(r.call.Service.Name).TakeRetry()
	if !budget.Granted {
		r.call.Log.Warn("stream: not sent again", "sends", r.attempts.sends.Load(), "bound", "retry_budget", "budget", budget)
		return false
	}
	r.attempts.evacuation.retryTaken(len(r.attempts.tried))
	r.call.Log.Info("stream: may be sent again", "sends", r.attempts.sends.Load(), "budget", budget)
	return true
}

// restart starts a resumable run again at another engine, after the last event that the
// caller has. The engine reads the prompt again; that costs less than replicas of all
// such runs, and loses no event. It returns nil if the run cannot be restarted.
func (r *Run) restart(ctx context.Context, source *targets.Target, reason string, err error) *segment {
	if !r.Resumable() || ctx.Err() != nil || reason == notStopped || r.anyEngineAtWork() {
		return nil
	}
	r.server.recordFailure(source, bootclock.Now().Add(-r.SinceLastEvent()))
	errText := ""
	if err != nil {
		errText = err.Error()
	}
	r.attempts.sends.Add(1)
	r.attempts.mayHaveRun = true
	r.attempts.tried[source.Key()] = true
	if !r.stopBeforeRestart(ctx, source) {
		return nil
	}
	next := r.startElsewhere(ctx, source, "broke_off", reason, "error", errText)
	if next == nil {
		return nil
	}
	r.enterTarget(next)
	if !r.headSent {
		r.head = next.response.Header
	}
	return next
}

// stopBeforeRestart stops the run at an engine whose stream broke off, and reports whether the run may
// be started at another one: not if the engine answers without having stopped it.
func (r *Run) stopBeforeRestart(ctx context.Context, source *targets.Target) bool {
	r.noteUnstopped(source)
	other := r.anotherEngine(source)
	if other == nil || !r.call.Service.Engine.SupportsMigration {
		return true
	}
	stop := r.stopAt(source, other, stopAfterBreak, true)
	reply, stopped := stop.await(ctx, r.patienceLeft())
	if stopped && reply.Handle != "" {
		go r.releaseCopy(source, reply.Handle)
	}
	return stopped || !stop.engineAtWork()
}

// startElsewhere starts the run at an engine that was not tried, after the last event that
// the caller has. It returns nil if the attempts or the retry budget are used up or no engine
// takes the run. Only one goroutine at a time may call it. cause holds attributes for the log.
func (r *Run) startElsewhere(ctx context.Context, source *targets.Target, cause ...any) *segment {
	if !r.server.takeAttempt(r) {
		return nil
	}
	started, tried := time.Now(), len(r.attempts.tried)
	next, rejection := r.server.start(ctx, r)
	if next == nil && len(r.attempts.tried) == tried {
		r.server.RetryBudget(r.call.Service.Name).ReturnRetry() // no engine was chosen
	}
	if next != nil && next.response.Status != http.StatusOK {
		rejection = &edge.Rejection{Status: next.response.Status, Reason: responseFailed}
		r.abandon(next)
		next = nil
	}
	log := r.call.Log.With("source", source.ID, "after_event", r.lastEventID.Load()).With(cause...)
	if next == nil {
		log.Warn("stream: run could not be restarted", "reason", rejection.Reason)
		return nil
	}
	log.Info("stream: run restarted", "target", next.target.ID, "took_ms", time.Since(started).Milliseconds())
	return next
}

// responseFailed is the outcome of a request that the caller got an engine's failure for.
const responseFailed = "failed"

// failedResponse is a complete response of an engine that is not a stream.
type failedResponse struct {
	status int
	header http.Header
	body   []byte
}

// write forwards the response to the caller.
func (f *failedResponse) write(w http.ResponseWriter) {
	edge.CopyHeader(w.Header(), f.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(f.body)))
	w.WriteHeader(f.status)
	_, _ = w.Write(f.body) // ignored: the caller may have disconnected
}

const (
	// maxFailedBytes bounds the body of a response that is not a stream.
	maxFailedBytes = 256 << 10
	// failedBodyTimeout bounds the wait for such a body while another engine could run the
	// request.
	failedBodyTimeout = 250 * time.Millisecond
)

// readFailedResponse reads a response that is not a stream, whose engine the run has not
// entered. It returns nil if the response is incomplete, exceeds its bound or takes longer
// than within.
func (r *Run) readFailedResponse(s *segment, within time.Duration) *failedResponse {
	body, err := s.response.ReadAllWithin(maxFailedBytes, within)
	r.server.Health.RecordFailure(s.target.Key(), nonStreamSeverity)
	if err == nil {
		s.watch.answered()
	} else {
		s.watch.ended(err, s.response.ConnectionClosing)
	}
	r.abandon(s)
	if err != nil {
		r.call.Log.Warn("stream: failure of an engine is incomplete", "target", s.target.ID, "status", s.response.Status, "error", err.Error())
		return nil
	}
	return &failedResponse{status: s.response.Status, header: s.response.Header, body: body}
}

// retryFailedResponse reports whether the response is a server error after which the
// request is to be sent to another engine. If so, it keeps the response in case that no
// engine does better.
func (s *Server) retryFailedResponse(r *Run, opened *segment) bool {
	if opened.response.Status < http.StatusInternalServerError || !r.Resumable() || r.headSent {
		return false
	}
	r.attempts.sends.Add(1)
	r.attempts.mayHaveRun = true
	if !s.takeAttempt(r) {
		return false
	}
	if f := r.readFailedResponse(opened, failedBodyTimeout); f != nil {
		r.attempts.failed = f
	}
	r.call.Log.Info("stream: sent again after a failure", "target", opened.target.ID, "status", opened.response.Status)
	return true
}
