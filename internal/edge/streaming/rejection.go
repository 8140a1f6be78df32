package streaming

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/inflight"
)

const (
	// prefillMargin times the prefill time of a run's prompt is what must remain of the
	// latency objective when the run stops waiting for capacity.
	prefillMargin = 1.0
	// minWaitShare is the minimum time that a run waits for capacity, as a share of the
	// latency objective.
	minWaitShare = 0.5
	// startRetryAfter is when a caller may retry a run that could not start.
	startRetryAfter = 400 * time.Millisecond
	// fullRetryAfter is when a caller may retry while all engines are full: bursts last
	// seconds, and a caller that retries sooner finds the same queue.
	fullRetryAfter = 4 * time.Second
	// maxRetryAfterShare bounds the retry delay as a share of the time left, so that
	// the retry can still complete.
	maxRetryAfterShare = 0.25
)

// noCapacity returns the rejection of a run for which no engine was found.
func (s *Server) noCapacity(ctx context.Context, r *Run) *edge.Rejection {
	a := r.call
	if ctx.Err() != nil && a.TimeLeft() <= 0 {
		return &edge.Rejection{Status: http.StatusGatewayTimeout, Reason: edge.ReasonTimeout}
	}
	if rejection := s.crashSuspect(r); rejection != nil {
		return rejection
	}
	if !s.fitsDrain(r) {
		stopping := edge.Stopping()
		return r.attempts.unavailable(stopping.Reason, stopping.RetryAfter)
	}
	if len(s.view(a).Available(a.Service.Name)) == 0 {
		return r.refusedOr(edge.ReasonNoTarget, startRetryAfter)
	}
	if r.attempts.retryAfter > 0 {
		return r.attempts.unavailable(edge.ReasonNoRoom, r.attempts.retryAfter)
	}
	// Spreads the retries of callers that were rejected at the same time.
	retryAfter := fullRetryAfter + time.Duration(rand.Float64()*float64(fullRetryAfter))
	return r.attempts.unavailable(edge.ReasonNoRoom, min(retryAfter, time.Duration(maxRetryAfterShare*float64(a.TimeLeft()))))
}

// maxWait returns how long a run waits for capacity. A run that would start too late
// for its objective is rejected instead: on full engines it would also delay the runs
// queued behind it.
func (s *Server) maxWait(a *edge.AuthorizedCall, load inflight.Load) time.Duration {
	objective := a.Route.Objective
	if objective <= 0 {
		return a.TimeLeft() / 4
	}
	prefill := time.Duration(prefillMargin * float64(s.prefillTime(a.Service, load.Unread)))
	return min(a.TimeLeft()/2, max(objective-prefill, time.Duration(minWaitShare*float64(objective))))
}

// reject logs the rejection, sends it to the caller and returns its reason.
func (s *Server) reject(ctx context.Context, r *Run, rejection *edge.Rejection) string {
	a := r.call
	switch {
	case !errors.Is(ctx.Err(), context.Canceled):
	case edge.CanceledReason(ctx) == edge.ReasonStopping:
		stopping := edge.Stopping()
		rejection = r.attempts.unavailable(stopping.Reason, stopping.RetryAfter)
	default:
		rejection = &edge.Rejection{Status: http.StatusBadGateway, Reason: edge.ReasonCallerGone}
	}
	if r.attempts.failed != nil && ctx.Err() == nil {
		r.attempts.failed.write(r.w)
		return responseFailed
	}
	a.Log.Warn("stream: request rejected", "status", rejection.Status, "reason", rejection.Reason, "age_ms", a.Age().Milliseconds(),
		"waiting", s.Queue.Len(), "engines", len(s.view(a).Available(a.Service.Name)), "list_revision", s.Targets.View().Revision,
		"retry_after_ms", rejection.RetryAfter.Milliseconds())
	rejection.Write(r.w, s.Sender.Wire)
	return rejection.Reason
}
