// Package metrics counts what the edge process does. Names and meanings stand in
// docs/OPERATIONS.md.
package metrics

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"corianderhitch/internal/edge/policy"
)

// latencyBounds are the buckets of latency histograms, in seconds: from a lookup
// to the longest draft.
var latencyBounds = []float64{0.01, 0.025, 0.05, 0.1, 0.18, 0.25, 0.5, 1, 2, 5, 10, 20, 40}

// Metrics records counters and histograms.
type Metrics struct {
	requests metric.Int64Counter
	latency  metric.Float64Histogram
	moves    metric.Int64Counter
	moving   metric.Float64Histogram
	waiting  metric.Float64Histogram
	first    metric.Float64Histogram
	pauses   metric.Float64Histogram
}

// Gauges are read at each scrape.
type Gauges struct {
	Runs      func() int
	Waiting   func() int
	Targets   func() int
	Hosts     func() int
	PolicyAge func() time.Duration
	Version   func() int64
	Dropped   func() int64
}

// New creates the instruments.
func New(meter metric.Meter, g Gauges) (*Metrics, error) {
	m := &Metrics{}
	b := &builder{meter: meter}
	m.requests = b.counter("hitch_edge_requests", "requests by kind of route and outcome")
	m.latency = b.seconds("hitch_edge_request_duration", "time from arrival to the end of the answer")
	m.moves = b.counter("hitch_edge_moves", "runs moved between engines, by outcome")
	m.moving = b.seconds("hitch_edge_move_duration", "time that a move took")
	m.waiting = b.seconds("hitch_edge_admission_wait", "time that a generation waited for an engine with room, by whether one was found")
	m.first = b.seconds("hitch_edge_first_event", "time from arrival to the first event of a generation")
	m.pauses = b.seconds("hitch_edge_longest_pause", "longest time between two events of a generation")
	b.gauge("hitch_edge_runs", "generations in flight from this host", func() int64 { return int64(g.Runs()) })
	b.gauge("hitch_edge_waiting_runs", "generations that wait for room", func() int64 { return int64(g.Waiting()) })
	b.gauge("hitch_edge_targets", "targets in the list", func() int64 { return int64(g.Targets()) })
	b.gauge("hitch_edge_hosts", "hosts of the fleet, this one included", func() int64 { return int64(g.Hosts()) })
	b.gauge("hitch_edge_policy_age_milliseconds", "time since the configuration was surely the newest", func() int64 { return g.PolicyAge().Milliseconds() })
	b.gauge("hitch_edge_policy_version", "version of the configuration in force", g.Version)
	b.gauge("hitch_edge_log_lines_dropped", "log lines dropped and not reported yet", g.Dropped)
	return m, b.err
}

// Request implements ingress.Observer.
func (m *Metrics) Request(route *policy.Route, outcome string, took time.Duration) {
	kind := "none"
	if route != nil {
		kind = route.Kind.String()
	}
	attributes := metric.WithAttributes(attribute.String("kind", kind), attribute.String("outcome", outcome))
	m.requests.Add(context.Background(), 1, attributes)
	m.latency.Record(context.Background(), took.Seconds(), metric.WithAttributes(attribute.String("kind", kind)))
}

// Move counts the outcome of a move.
func (m *Metrics) Move(outcome string, took time.Duration) {
	m.moves.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
	m.moving.Record(context.Background(), took.Seconds())
}

// Wait implements streaming.Observer.
func (m *Metrics) Wait(took time.Duration, found bool) {
	m.waiting.Record(context.Background(), took.Seconds(), metric.WithAttributes(attribute.Bool("found", found)))
}

// FirstEvent implements streaming.Observer.
func (m *Metrics) FirstEvent(took time.Duration) {
	m.first.Record(context.Background(), took.Seconds())
}

// Pause implements streaming.Observer.
func (m *Metrics) Pause(longest time.Duration) {
	m.pauses.Record(context.Background(), longest.Seconds())
}

// builder creates instruments and keeps the first error.
type builder struct {
	meter metric.Meter
	err   error
}

func (b *builder) keep(err error) {
	if err != nil && b.err == nil {
		b.err = eris.Wrap(err, "metrics: instrument cannot be created")
	}
}

func (b *builder) counter(name, description string) metric.Int64Counter {
	c, err := b.meter.Int64Counter(name, metric.WithDescription(description))
	b.keep(err)
	return c
}

func (b *builder) seconds(name, description string) metric.Float64Histogram {
	h, err := b.meter.Float64Histogram(name, metric.WithDescription(description), metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(latencyBounds...))
	b.keep(err)
	return h
}

func (b *builder) gauge(name, description string, read func() int64) {
	_, err := b.meter.Int64ObservableGauge(name, metric.WithDescription(description),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(read())
			return nil
		}))
	b.keep(err)
}
