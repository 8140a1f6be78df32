// Package metrics counts what the edge process does. docs/METRICS.md, which is
// made from it, tells what each metric means.
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
	store    metric.Int64Counter
	backups  metric.Int64Counter
	// Defined lists all instruments, for the page of metrics.
	Defined []Definition
}

// Definition describes an instrument.
type Definition struct {
	Name        string // as it is scraped
	Kind        string
	Unit        string
	Labels      string
	Description string
}

// Gauges are read at each scrape.
type Gauges struct {
	Runs            func() int
	ExpectedTokens  func() int // memory tokens
	WaitingRuns     func() int
	Targets         func() int
	Hosts           func() int
	PolicyAge       func() time.Duration
	TargetListAge   func() time.Duration
	PolicyVersion   func() int64
	DroppedLogLines func() int64
}

// New creates the instruments.
func New(meter metric.Meter, g Gauges) (*Metrics, error) {
	m := &Metrics{}
	b := &builder{meter: meter}
	m.requests = b.counter("hitch_edge_requests", "kind, outcome", "requests by kind of route and the word that ends their story")
	m.latency = b.seconds("hitch_edge_request_duration", "kind", "time from arrival to the end of the answer")
	m.waiting = b.seconds("hitch_edge_admission_wait", "found", "time that a generation waited for an engine with room, by whether one was found")
	m.first = b.seconds("hitch_edge_first_event", "", "time from arrival to the first event of a generation")
	m.pauses = b.seconds("hitch_edge_longest_pause", "", "longest time between two events of a generation; pauses beyond the objective of its route are logged")
	m.moves = b.counter("hitch_edge_moves", "outcome", "runs moved off leaving engines")
	m.moving = b.seconds("hitch_edge_move_duration", "", "time that a move took")
	m.backups = b.counter("hitch_edge_backups", "outcome", "copies of runs that stand by at another engine")
	m.store = b.counter("hitch_edge_store_calls", "call, result", "calls to the platform's store")
	b.gauge("hitch_edge_runs", "", "generations in flight from this host", func() int64 { return int64(g.Runs()) })
	b.gauge("hitch_edge_waiting_runs", "", "generations that wait for room", func() int64 { return int64(g.WaitingRuns()) })
	b.gauge("hitch_edge_expected_memory_tokens", "", "memory, in tokens, that this host's generations are expected to hold at their ends", func() int64 { return int64(g.ExpectedTokens()) })
	b.gauge("hitch_edge_targets", "", "targets in the list", func() int64 { return int64(g.Targets()) })
	b.gauge("hitch_edge_target_list_age", "ms", "time since the target list was surely current", func() int64 { return g.TargetListAge().Milliseconds() })
	b.gauge("hitch_edge_hosts", "", "hosts of the fleet, this one included", func() int64 { return int64(g.Hosts()) })
	b.gauge("hitch_edge_policy_age", "ms", "time since the configuration was surely the newest", func() int64 { return g.PolicyAge().Milliseconds() })
	b.gauge("hitch_edge_policy_version", "", "version of the configuration in force", g.PolicyVersion)
	b.gauge("hitch_edge_log_lines_dropped", "", "log lines dropped and not reported yet", g.DroppedLogLines)
	m.Defined = b.defined
	return m, b.err
}

// Request implements ingress.Observer.
func (m *Metrics) ObserveRequest(route *policy.Route, outcome string, took time.Duration) {
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
func (m *Metrics) ObservePlacementWait(took time.Duration, found bool) {
	m.waiting.Record(context.Background(), took.Seconds(), metric.WithAttributes(attribute.Bool("found", found)))
}

// FirstEvent implements streaming.Observer.
func (m *Metrics) ObserveFirstEvent(took time.Duration) {
	m.first.Record(context.Background(), took.Seconds())
}

// Pause implements streaming.Observer.
func (m *Metrics) ObserveLongestPause(longest time.Duration) {
	m.pauses.Record(context.Background(), longest.Seconds())
}

// Backup counts the outcome of a copy that stands by.
func (m *Metrics) Replica(outcome string) {
	m.backups.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}

// StoreCall counts a call to the store.
func (m *Metrics) StoreCall(call, result string) {
	m.store.Add(context.Background(), 1, metric.WithAttributes(attribute.String("call", call), attribute.String("result", result)))
}

// builder creates instruments and keeps the first error.
type builder struct {
	meter   metric.Meter
	err     error
	defined []Definition
}

// scraped are the endings that the Prometheus format adds for units.
var scraped = map[string]string{"s": "_seconds", "ms": "_milliseconds"}

func (b *builder) define(name, kind, unit, labels, meaning string) {
	name += scraped[unit]
	if kind == "counter" {
		name += "_total"
	}
	b.defined = append(b.defined, Definition{Name: name, Kind: kind, Unit: unit, Labels: labels, Description: meaning})
}

func (b *builder) keep(err error) {
	if err != nil && b.err == nil {
		b.err = eris.Wrap(err, "metrics: instrument cannot be created")
	}
}

func (b *builder) counter(name, labels, description string) metric.Int64Counter {
	b.define(name, "counter", "", labels, description)
	c, err := b.meter.Int64Counter(name, metric.WithDescription(description))
	b.keep(err)
	return c
}

func (b *builder) seconds(name, labels, description string) metric.Float64Histogram {
	b.define(name, "histogram", "s", labels, description)
	h, err := b.meter.Float64Histogram(name, metric.WithDescription(description), metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(latencyBounds...))
	b.keep(err)
	return h
}

func (b *builder) gauge(name, unit, description string, read func() int64) {
	b.define(name, "gauge", unit, "", description)
	_, err := b.meter.Int64ObservableGauge(name, metric.WithDescription(description), metric.WithUnit(unit),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(read())
			return nil
		}))
	b.keep(err)
}
