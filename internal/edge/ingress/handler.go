// Package ingress receives callers' requests: it finds the route and the client
// account, reads the body and passes the call to the server for the route's kind.
package ingress

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/draining"
	"corianderhitch/internal/edge/freshness"
	"corianderhitch/internal/edge/memquota"
	"corianderhitch/internal/edge/policy"
	"corianderhitch/internal/edge/region"
	"corianderhitch/internal/wait"
)

const (
	// defaultCallerTimeout applies to callers that do not state how long they wait.
	defaultCallerTimeout = 30 * time.Second
	// noConfigurationRetryAfter is when a caller may retry while this host has no
	// configuration yet; the first read takes a fraction of a second.
	noConfigurationRetryAfter = 500 * time.Millisecond
	// unconfirmedRetryAfter is the same while the configuration cannot be confirmed.
	unconfirmedRetryAfter = time.Second
	// recheckTimeout bounds the confirmation of the configuration for a request.
	recheckTimeout = 400 * time.Millisecond
	// fitCheckInterval is how often a draining host checks whether a call whose body is still
	// coming in can end in time.
	fitCheckInterval = 100 * time.Millisecond
)

// Server serves authorized calls of one kind and returns the outcome of each.
type Server interface {
	Serve(ctx context.Context, w http.ResponseWriter, a *edge.AuthorizedCall) string
}

// Observer records the end of each request as metrics.
type Observer interface {
	ObserveRequest(route *policy.Route, outcome string, took time.Duration)
}

// Handler is the HTTP handler for callers' requests.
type Handler struct {
	Log       *slog.Logger
	Wire      edge.Wire
	Policy    *policy.Holder
	Confirmer *freshness.Confirmer
	MaxKeyAge time.Duration // maximum age of the last confirmation for API keys to be accepted; 0 for any
	// RecheckAge is the age of the last confirmation from which a missing route or key
	// does not suffice for a rejection: the configuration is confirmed first, since a
	// newer version may contain them.
	RecheckAge time.Duration
	// Outdated reports whether a configuration whose last confirmation is older than RecheckAge
	// may have been replaced, so that no request may be served by it; nil for never.
	Outdated     func() bool
	Plain        Server
	Streaming    Server
	Observer     Observer
	CountRequest func(service string) // counts a request for the retry budget
	// Drain is the end of the process. Once it has begun, connections are closed after
	// their response, and requests that cannot end in time are rejected.
	Drain *draining.Drain
	// Memory bounds what requests hold; nil for no bound.
	Memory *memquota.Budget
	// MaxHeaderLines bounds the header lines of a request; 0 for DefaultMaxHeaderLines.
	MaxHeaderLines int
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := bootclock.Now()
	if h.Drain.Begun().Err() != nil {
		w.Header().Set("Connection", "close")
	}
	connection := recordRequest(r.Context())
	connection.receiveBody(false) // of an earlier request that was rejected
	hold, tooMuch := h.holdHead(r, arrived)
	defer hold.Close()
	if tooMuch != nil {
		h.rejectUnread(w, r, &edge.Call{Host: r.Host, Path: r.URL.Path}, tooMuch, arrived, &hold)
		return
	}
	call := h.Wire.Decode(r)
	ctx, span := edge.Tracer.Start(r.Context(), "edge request", trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(attribute.String("request.id", call.ID)))
	defer span.End()
	a, rejection := h.authorize(ctx, &call, arrived)
	if rejection == nil {
		var rejected bool
		hold.SetAccount(a.Account)
		if rejection, rejected = h.readBody(w, r, a, connection, &hold); rejected {
			return
		}
	}
	if rejection == nil {
		a.Received = bootclock.Now()
		rejection = h.checkDrain(a, connection)
	}
	if rejection != nil {
		if a == nil && r.ContentLength != 0 { // net/http reads the rest of the body before it answers
			connection.receiveBody(true)
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(lingerTime)) // ignored: not supported in tests
		}
		h.reject(w, &call, rejection, arrived)
		return
	}
	h.CountRequest(a.Service.Name)
	server := h.Plain
	if a.Route.Kind == policy.Streaming {
		server = h.Streaming
	}
	outcome := "aborted"
	defer func() { h.finish(a, outcome) }() // also after a panic that aborts the response
	outcome = server.Serve(ctx, w, a)
	span.SetAttributes(attribute.String("route", a.Route.Name), attribute.String("outcome", outcome))
}

// checkDrain rejects a call that cannot end before the process does.
func (h *Handler) checkDrain(a *edge.AuthorizedCall, c *connection) *edge.Rejection {
	age, begun := h.Drain.Age()
	if !begun {
		return nil
	}
	fits := h.Drain.Fits(a)
	a.Log.Info("ingress: request received while draining", "drain_age_ms", age.Milliseconds(), "fits", fits, "age_ms", a.Age().Milliseconds(),
		"connection_age_ms", c.age().Milliseconds(), "connection_requests", c.requests)
	if fits {
		return nil
	}
	return edge.Stopping()
}

// finish records the end of an authorized request.
func (h *Handler) finish(a *edge.AuthorizedCall, outcome string) {
	took := a.Age()
	if outcome == edge.OutcomeAnswered {
		h.Drain.Record(a.Route.Name, draining.Pace{Start: a.SinceReceived()})
	}
	h.Observer.ObserveRequest(a.Route, outcome, took)
	a.Log.Info("ingress: request ended", "outcome", outcome, "kind", a.Route.Kind.String(), "account", a.Account,
		"took_ms", took.Milliseconds(), "policy", h.Policy.Current().Version, "policy_age_ms", a.PolicyAge.Milliseconds())
}

// authorize finds the route, service and client account of a call and sets its
// deadline.
func (h *Handler) authorize(ctx context.Context, c *edge.Call, arrived bootclock.Instant) (*edge.AuthorizedCall, *edge.Rejection) {
	if h.Policy.Current() == nil {
		return nil, edge.Unavailable(edge.ReasonNoConfiguration, noConfigurationRetryAfter)
	}
	if h.isOutdated() && !h.Confirmer.EnsureFresh(ctx, h.RecheckAge, recheckTimeout) {
		return nil, edge.Unavailable(edge.ReasonUnconfirmed, unconfirmedRetryAfter)
	}
	a, rejection := h.matchCall(c)
	if rejection != nil && h.Confirmer.Age() >= h.RecheckAge {
		a, rejection = h.matchConfirmed(ctx, c)
	}
	if rejection != nil {
		return nil, rejection
	}
	a.Arrived, a.PolicyAge = arrived, h.Confirmer.Age()
	timeout := c.CallerTimeout
	if timeout == 0 {
		timeout = defaultCallerTimeout
	}
	if a.Route.Timeout > 0 {
		timeout = min(timeout, a.Route.Timeout)
	}
	a.Deadline = arrived.Add(timeout)
	a.Log = edge.CallLogger(h.Log, c, a.Route.Name)
	a.StillAuthorized = func(ctx context.Context) bool { return h.stillAuthorized(ctx, a) }
	if !a.StillAuthorized(ctx) {
		return nil, edge.Unavailable(edge.ReasonUnconfirmed, unconfirmedRetryAfter)
	}
	return a, nil
}

// isOutdated reports whether the configuration may have been replaced for longer than requests may
// still be served by it.
func (h *Handler) isOutdated() bool {
	return h.Outdated != nil && h.Confirmer.Age() >= h.RecheckAge && h.Outdated()
}

// matchConfirmed confirms that the configuration is the newest and then matches the
// call again. If it cannot be confirmed, the rejection allows the caller to retry.
func (h *Handler) matchConfirmed(ctx context.Context, c *edge.Call) (*edge.AuthorizedCall, *edge.Rejection) {
	if !h.Confirmer.EnsureFresh(ctx, h.RecheckAge, recheckTimeout) {
		return nil, edge.Unavailable(edge.ReasonUnconfirmed, unconfirmedRetryAfter)
	}
	return h.matchCall(c)
}

// matchCall finds the call's route, account and service in the current configuration.
func (h *Handler) matchCall(c *edge.Call) (*edge.AuthorizedCall, *edge.Rejection) {
	p := h.Policy.Current()
	route := p.MatchRoute(c.Host, c.Path)
	if route == nil {
		return nil, &edge.Rejection{Status: http.StatusNotFound, Reason: edge.ReasonNoRoute}
	}
	if route.Resumable && c.LastEventID == edge.InvalidEventID {
		return nil, &edge.Rejection{Status: http.StatusBadRequest, Reason: edge.ReasonBadLastEventID}
	}
	a := &edge.AuthorizedCall{Call: c, Route: route, Urgency: route.Priority}
	var accountRegions []string
	if !route.Public && p.RequiresKeys() {
		account := p.AccountByKey(c.Credential)
		if account == nil {
			return nil, &edge.Rejection{Status: http.StatusUnauthorized, Reason: edge.ReasonUnknownKey}
		}
		a.Account, a.UsesAPIKey = account.Name, true
		accountRegions = account.AllowedRegions
		if account.Priority != nil {
			a.Urgency = *account.Priority
		}
	}
	a.Regions = region.Allowed(route.AllowedRegions, accountRegions)
	if a.Service = p.Service(route.PickService(rand.Float64())); a.Service == nil {
		return nil, edge.Unavailable(edge.ReasonNoTarget, unconfirmedRetryAfter)
	}
	return a, nil
}

// stillAuthorized reports whether the call's key is still valid: it must be in the
// current configuration, which must have been confirmed recently.
func (h *Handler) stillAuthorized(ctx context.Context, a *edge.AuthorizedCall) bool {
	if !a.UsesAPIKey || h.MaxKeyAge == 0 {
		return true
	}
	if !h.Confirmer.EnsureFresh(ctx, h.MaxKeyAge, min(recheckTimeout, max(0, a.TimeLeft()/4))) {
		return false
	}
	account := h.Policy.Current().AccountByKey(a.Call.Credential)
	return account != nil && account.Name == a.Account
}

// rejectWhileReading rejects the call as soon as it cannot end before the process does. Its
// body is still read meanwhile: a connection that is closed while the caller writes may lose
// the rejection. The returned function ends this and reports whether the call was rejected.
func (h *Handler) rejectWhileReading(w http.ResponseWriter, a *edge.AuthorizedCall) (stop func() (rejected bool)) {
	reading, cancel := context.WithCancel(context.Background())
	result := make(chan bool, 1)
	stopWatching := context.AfterFunc(h.Drain.Begun(), func() {
		for h.Drain.Fits(a) {
			if wait.For(reading, fitCheckInterval); reading.Err() != nil {
				result <- false
				return
			}
		}
		control := http.NewResponseController(w)
		_ = control.EnableFullDuplex() // otherwise the body would be read before the response is sent
		w.Header().Set("Connection", "close")
		h.reject(w, a.Call, edge.Stopping(), a.Arrived)
		_ = control.Flush() // ignored: a caller that disconnected ends the read of the body
		result <- true
	})
	return func() bool {
		cancel()
		return !stopWatching() && <-result
	}
}

// endRead ends the read of a request's body with an error.
func endRead(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
}

// reject logs the rejection and sends it to the caller.
func (h *Handler) reject(w http.ResponseWriter, c *edge.Call, rejection *edge.Rejection, arrived bootclock.Instant) {
	version := int64(0)
	if p := h.Policy.Current(); p != nil {
		version = p.Version
	}
	took := bootclock.Since(arrived)
	h.Observer.ObserveRequest(nil, rejection.Reason, took)
	h.Log.Warn("ingress: request refused", "request", c.ID, "host", c.Host, "path", c.Path, "status", rejection.Status,
		"reason", rejection.Reason, "policy", version, "policy_age_ms", h.Confirmer.Age().Milliseconds(), "took_ms", took.Milliseconds(),
		"held_bytes", h.Memory.Held())
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(lingerTime)) // a caller may not read; ignored: not supported in tests
	rejection.Write(w, h.Wire)
}
