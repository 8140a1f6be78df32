package edge

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"corianderhitch/internal/edge/targetconn"
	"corianderhitch/internal/edge/targets"
)

// Sender sends calls to targets in the platform's words.
type Sender struct {
	Wire Wire
	Pool *targetconn.Pool
}

// Tracer begins the spans of the edge process: one for each request, send and move.
// Without a collector it does nothing.
var Tracer = otel.Tracer("corianderhitch/edge")

// Send passes a call on to a target and waits for the head of its answer.
func (s *Sender) Send(ctx context.Context, c *Call, t *targets.Target, d Dispatch, timeLeft time.Duration) (*targetconn.Response, error) {
	ctx, span := Tracer.Start(ctx, "send", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(attribute.String("target", t.ID)))
	defer span.End()
	d.TargetID = t.ID
	return s.Pool.Do(ctx, t.Key(), t.Address, &targetconn.Request{
		ID: c.ID, Method: c.Method, URI: c.URI, Host: c.Host, Header: s.Wire.Encode(c, d, timeLeft), Body: c.Body,
	})
}

// hopHeaders concern one connection only and are not copied to an answer.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Trailer", "Upgrade", "Te"}

// CopyHeader puts the headers of a target's answer into the caller's answer,
// without additions of net/http.
func CopyHeader(dst, src http.Header) {
	for name, values := range src {
		dst[name] = values
	}
	for _, name := range hopByHopHeaders {
		dst.Del(name)
	}
	for _, name := range [...]string{"Date", "Content-Type"} {
		if _, ok := src[name]; !ok {
			dst[name] = nil // keeps net/http from adding one
		}
	}
}

// LogCall returns the fields that every line about a call bears.
func CallLogger(log *slog.Logger, c *Call, route string) *slog.Logger {
	return log.With("request", c.ID, "route", route)
}
