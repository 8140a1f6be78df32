package streaming

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/placement"
)

const (
	// readMargin is how many times its prompt's reading time a run leaves of its
	// objective when it stops to wait for room.
	prefillMargin = 1.0
	// leastWait is the part of the objective that a run waits for room at least.
	minWaitShare = 0.5
	// comeBack is when a run that could not start may return.
	startRetryAfter = 400 * time.Millisecond
	// fullComeBack is when a run may return that found no room: bursts last
	// seconds, and one that comes back sooner finds the same queue.
	fullRetryAfter = 4 * time.Second
	// comeBackShare is the part of its time left after which a run returns at the
	// latest, so that it still gets its answer.
	maxRetryAfterShare = 0.25
)

func (s *Server) noCapacity(ctx context.Context, a *edge.AuthorizedCall) *edge.Rejection {
	if ctx.Err() != nil && a.TimeLeft() <= 0 {
		return &edge.Rejection{Status: http.StatusGatewayTimeout, Reason: edge.ReasonTimeout}
	}
	if len(s.Targets.View().Available(a.Service.Name)) == 0 {
		return edge.Unavailable(edge.ReasonNoTarget, startRetryAfter)
	}
	// Those refused together must not come back together.
	retryAfter := fullRetryAfter + time.Duration(rand.Float64()*float64(fullRetryAfter))
	return edge.Unavailable(edge.ReasonNoRoom, min(retryAfter, time.Duration(maxRetryAfterShare*float64(a.TimeLeft()))))
}

// maxWait returns how long a run waits for room. One that would start too late
// for its objective is refused at once instead: on crowded engines it would make
// those behind it late as well.
func maxWait(a *edge.AuthorizedCall, load inflight.Load) time.Duration {
	objective := a.Route.Objective
	if objective <= 0 {
		return a.TimeLeft() / 4
	}
	prefill := time.Duration(prefillMargin * float64(placement.PrefillTime(load.Unread)))
	return min(a.TimeLeft()/2, max(objective-prefill, time.Duration(minWaitShare*float64(objective))))
}

func (s *Server) reject(ctx context.Context, r *Run, rejection *edge.Rejection) string {
	a := r.call
	if errors.Is(ctx.Err(), context.Canceled) {
		rejection = &edge.Rejection{Status: http.StatusBadGateway, Reason: edge.ReasonCallerGone}
	}
	a.Log.Warn("stream: refused", "status", rejection.Status, "reason", rejection.Reason, "age_ms", a.Age().Milliseconds(),
		"waiting", s.Queue.Len(), "engines", len(s.Targets.View().Available(a.Service.Name)), "list_revision", s.Targets.View().Revision,
		"retry_after_ms", rejection.RetryAfter.Milliseconds())
	rejection.Write(r.w, s.Sender.Wire)
	return rejection.Reason
}
