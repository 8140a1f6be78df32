package telemetry

import (
	"testing"

	"github.com/stretchr/testify/require"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.opentelemetry.io/otel/trace"
)

func TestTraceParentLinksSpansOfTwoProcesses(t *testing.T) {
	spans := tracetest.NewSpanRecorder()
	tracer := sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(spans)).Tracer("test")
	ctx, first := tracer.Start(t.Context(), "gateway")
	_, second := tracer.Start(WithTraceParent(t.Context(), TraceParent(ctx)), "agent")
	second.End()
	first.End()
	ended := spans.Ended()
	require.Len(t, ended, 2)
	require.Equal(t, ended[1].SpanContext().SpanID(), ended[0].Parent().SpanID())
	require.Equal(t, ended[1].SpanContext().TraceID(), ended[0].SpanContext().TraceID())
}

func TestMalformedTraceContextIsIgnored(t *testing.T) {
	for _, parent := range []string{"", "x", "00-00000000000000000000000000000000-0000000000000000-01"} {
		require.False(t, trace.SpanContextFromContext(WithTraceParent(t.Context(), parent)).IsValid())
	}
	require.Empty(t, TraceParent(t.Context()))
}
