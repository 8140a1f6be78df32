package edge

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"corianderhitch/internal/edge/targetconn"
	"corianderhitch/internal/edge/targetnotice"
	"corianderhitch/internal/edge/targets"
)

// Sender sends calls to targets with the headers of the platform.
type Sender struct {
	Wire Wire
	Pool *targetconn.Pool
	// Crashes holds back the calls that crash targets; nil for none.
	Crashes *CrashGuard
	// Longest returns how long a call takes at most; nil if that is not known.
	Longest func(a *AuthorizedCall) time.Duration
	// Movable reports whether a call can go on at another target while it runs; nil for never.
	Movable func(a *AuthorizedCall) bool
}

// Tracer starts the spans of the edge process: one for each request, send and move.
// Without a trace collector it does nothing.
var Tracer = otel.Tracer("corianderhitch/edge")

// Send sends a call to a target and returns once the head of the response arrives.
// Errors are those of targetconn.Pool.Do, and ErrHeld.
func (s *Sender) Send(ctx context.Context, a *AuthorizedCall, t *targets.Target, d Dispatch) (*targetconn.Response, error) {
	// A run that continues from a copy has survived its start.
	if d.ContinueFrom == nil {
		if err := s.Crashes.admit(a); err != nil {
			return nil, err
		}
	}
	ctx, span := Tracer.Start(ctx, "send", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(attribute.String("target", t.ID)))
	defer span.End()
	d.TargetID = t.ID
	use := targetnotice.Request
	if d.ContinueFrom != nil {
		use = targetnotice.Continuation
	}
	var longest time.Duration
	if s.Longest != nil {
		longest = s.Longest(a)
	}
	c := a.Call
	return s.Pool.Do(ctx, t.Key(), t.Address, &targetconn.Request{
		ID: c.ID, Method: c.Method, URI: c.URI, Host: c.Host, Body: c.Body,
		EncodeHeader: func() http.Header { return s.Wire.Encode(c, d, a.TimeLeft()) }, Use: use, Arrived: a.Arrived, Longest: longest, Regions: a.Regions,
		Movable: s.Movable != nil && s.Movable(a), PermitUntil: d.PermitUntil,
	})
}

// hopByHopHeaders apply to one connection only and are not copied to the caller's
// response, whose own connection may have to close.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Trailer", "Upgrade", "Te"}

// CopyHeader copies the headers of a target's response to the caller's response and
// keeps net/http from adding Date and Content-Type.
func CopyHeader(dst, src http.Header) {
	for name, values := range src {
		if !slices.Contains(hopByHopHeaders, name) {
			dst[name] = values
		}
	}
	for _, name := range [...]string{"Date", "Content-Type"} {
		if _, ok := src[name]; !ok {
			dst[name] = nil // a nil value keeps net/http from adding the header
		}
	}
}

// CallLogger returns a logger with the attributes that every line about a call has.
func CallLogger(log *slog.Logger, c *Call, route string) *slog.Logger {
	return log.With("request", c.ID, "route", route)
}
