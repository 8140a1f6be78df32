// Package telemetry sets up OpenTelemetry: metrics at /metrics in the
// Prometheus format, and traces over OTLP/HTTP when an endpoint is set.
package telemetry

import (
	"context"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/propagation"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
)

// Settings are the telemetry settings shared by all programs.
type Settings struct {
	TraceEndpoint string  `flag:"trace-endpoint" usage:"URL of the OTLP/HTTP trace collector; empty turns traces off" validate:"omitempty,url"`
	TraceRatio    float64 `flag:"trace-ratio" default:"0.01" usage:"share of new traces that are sampled, 0 to 1" validate:"min=0,max=1"`
}

// Telemetry holds the OpenTelemetry providers of one process.
type Telemetry struct {
	Meter          metric.Meter
	registry       *prometheus.Registry
	tracerProvider *sdktrace.TracerProvider
}

// Start sets up the providers of a program on a host and registers them globally. Traces
// are off without an endpoint. Call Stop at the end.
func Start(ctx context.Context, program, host string, s Settings) (*Telemetry, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry))
	if err != nil {
		return nil, eris.Wrap(err, "telemetry: cannot create the Prometheus exporter")
	}
	meters := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))
	otel.SetMeterProvider(meters)
	otel.SetTextMapPropagator(propagation.TraceContext{})
	t := &Telemetry{Meter: meters.Meter("corianderhitch/" + program), registry: registry}
	if s.TraceEndpoint == "" {
		return t, nil
	}
	traceExporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(s.TraceEndpoint))
	if err != nil {
		return nil, eris.Wrap(err, "telemetry: cannot create the trace exporter; check --trace-endpoint")
	}
	t.tracerProvider = sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(traceExporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(s.TraceRatio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", program),
			attribute.String("host.name", host),
		)),
	)
	otel.SetTracerProvider(t.tracerProvider)
	return t, nil
}

// Handler returns the handler of /metrics.
func (t *Telemetry) Handler() http.Handler {
	return promhttp.HandlerFor(t.registry, promhttp.HandlerOpts{})
}

// Stop exports the remaining traces until ctx ends.
func (t *Telemetry) Stop(ctx context.Context) error {
	if t.tracerProvider == nil {
		return nil
	}
	return t.tracerProvider.Shutdown(ctx)
}
