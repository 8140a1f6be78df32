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
	readMargin = 1.0
	// leastWait is the part of the objective that a run waits for room at least.
	leastWait = 0.5
	// comeBack is when a run that could not start may return.
	comeBack = 400 * time.Millisecond
	// fullComeBack is when a run may return that found no room: bursts last
	// seconds, and one that comes back sooner finds the same queue.
	fullComeBack = 4 * time.Second
	// comeBackShare is the part of its time left after which a run returns at the
	// latest, so that it still gets its answer.
	comeBackShare = 0.25
)

func (s *Server) noRoom(ctx context.Context, a *edge.AuthorizedCall) *edge.Rejection {
	if ctx.Err() != nil && a.TimeLeft() <= 0 {
		return &edge.Rejection{Status: http.StatusGatewayTimeout, Reason: edge.ReasonTimeout}
	}
	if len(s.Targets.View().Available(a.Service.Name)) == 0 {
		return edge.Unavailable(edge.ReasonNoTarget, comeBack)
	}
	// Those refused together must not come back together.
	later := fullComeBack + time.Duration(rand.Float64()*float64(fullComeBack))
	return edge.Unavailable(edge.ReasonNoRoom, min(later, time.Duration(comeBackShare*float64(a.TimeLeft()))))
}

// maxWait returns how long a run waits for room. One that would start too late
// for its objective is refused at once instead: on crowded engines it would make
// those behind it late as well.
func maxWait(a *edge.AuthorizedCall, own inflight.Load) time.Duration {
	objective := a.Route.Objective
	if objective <= 0 {
		return a.TimeLeft() / 4
	}
	read := time.Duration(readMargin * float64(placement.PrefillTime(own.Unread)))
	return min(a.TimeLeft()/2, max(objective-read, time.Duration(leastWait*float64(objective))))
}

func (s *Server) refuse(ctx context.Context, r *Run, refusal *edge.Rejection) string {
	a := r.call
	if errors.Is(ctx.Err(), context.Canceled) {
		refusal = &edge.Rejection{Status: http.StatusBadGateway, Reason: edge.ReasonCallerGone}
	}
	a.Log.Warn("stream: refused", "status", refusal.Status, "reason", refusal.Reason, "age_ms", a.Age().Milliseconds(),
		"waiting", s.Queue.Len(), "engines", len(s.Targets.View().Available(a.Service.Name)), "list_revision", s.Targets.View().Revision,
		"retry_after_ms", refusal.RetryAfter.Milliseconds())
	refusal.Write(r.w, s.Sender.Wire)
	return refusal.Reason
}
