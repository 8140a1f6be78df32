package telemetry

import (
	"context"

	"go.opentelemetry.io/otel/propagation"
)

// traceParentKey is the key of the W3C trace context in a carrier.
const traceParentKey = "traceparent"

// TraceParent returns the W3C traceparent of the span in ctx, or "" if there is none.
// Messages of net/rpc carry it in a field, because net/rpc has no headers.
func TraceParent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier[traceParentKey]
}

// WithTraceParent returns ctx with the remote span of a W3C traceparent. A malformed
// value is ignored.
func WithTraceParent(ctx context.Context, parent string) context.Context {
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{traceParentKey: parent})
}
