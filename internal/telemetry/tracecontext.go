package telemetry

import (
	"context"

	"go.opentelemetry.io/otel/propagation"
)

// traceparent is the name under which W3C trace context travels.
const traceparent = "traceparent"

// TraceParent returns the W3C trace context of the span in ctx, "" if there is
// none. It travels in the messages of net/rpc, which have no headers.
func TraceParent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier[traceparent]
}

// WithTraceParent returns ctx with the remote span that a peer named. A
// malformed one is ignored.
func WithTraceParent(ctx context.Context, parent string) context.Context {
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{traceparent: parent})
}
