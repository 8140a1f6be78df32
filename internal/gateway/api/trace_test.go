package api

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
)

func TestCallerTraceContextReachesTheEngine(t *testing.T) {
	before := otel.GetTextMapPropagator()
	otel.SetTextMapPropagator(propagation.TraceContext{})
	defer otel.SetTextMapPropagator(before)
	e := newEngine(t, "one", 3)
	seen := make(chan string, 1)
	e.onRequest = func(r *http.Request) { seen <- r.Header.Get("Traceparent") }
	g := newTestGateway(t, e.address())
	const trace = "0af7651916cd43dd8448eb211c80319c"
	resp := g.request(t, http.MethodPost, "/v1/completions", bookingKey, streamBody,
		"Traceparent", "00-"+trace+"-b7ad6b7169203331-01")
	readStream(t, resp, 0).requireComplete(t, 0, 3)
	require.Contains(t, <-seen, trace)
}
