// Package metrics records the metrics of the edge process. docs/METRICS.md describes them;
// it is generated from this package.
package metrics

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"corianderhitch/internal/edge/policy"
	"corianderhitch/internal/edge/waitlist"
)

// latencyBounds are the upper bounds of the histogram buckets, in seconds. They range
// from a short lookup to the longest generation.
var latencyBounds = []float64{0.01, 0.025, 0.05, 0.1, 0.18, 0.25, 0.5, 1, 2, 5, 10, 20, 40}

// Metrics records counters and histograms. It is safe for concurrent use.
type Metrics struct {
	requests        metric.Int64Counter
	requestDuration metric.Float64Histogram
	moves           metric.Int64Counter
	moveDuration    metric.Float64Histogram
	placementWait   metric.Float64Histogram
	firstEvent      metric.Float64Histogram
	longestPause    metric.Float64Histogram
	storeCalls      metric.Int64Counter
	replicas        metric.Int64Counter
	targetNotices   metric.Int64Counter
	refusedSends    metric.Int64Counter
	forwarded       metric.Int64Counter
	quarantine      metric.Int64Counter
	retries         metric.Int64Counter
	continuations   metric.Int64Counter
	closed          metric.Int64Counter
	engineCalls     metric.Float64Histogram
	// Definitions lists all instruments in the order of their creation, for the generated page.
	Definitions []Definition
}

// Definition describes one instrument.
type Definition struct {
	Name        string // as scraped, with the suffixes of its unit and kind
	Kind        string
	Unit        string
	Labels      string
	Description string
}

// Gauges holds the functions that return the gauges' values. They are called at each
// scrape and must be safe for concurrent use.
type Gauges struct {
	Runs             func() int
	ExpectedTokens   func() int // KV memory tokens that the runs are expected to hold at their ends
	WaitingRuns      func() int
	Targets          func() int
	Hosts            func() int
	PolicyAge        func() time.Duration
	TargetListAge    func() time.Duration
	PolicyVersion    func() int64
	StoreEra         func() int64
	EvacuatedDomains func() int
	HeldKeys         func() int
	DroppedLogLines  func() int64
	Slowness         func() map[string]float64 // learned factors other than 1, by target
	ColdTargets      func() int
	Waitlist         func() waitlist.Stats
	HeldBytes        func() int64
	HeldBound        func() int64
	Connections      func() int
	ConnectionBound  func() int
}

// New creates the instruments. It returns the first error of the meter.
func New(meter metric.Meter, g Gauges) (*Metrics, error) {
	m := &Metrics{}
	b := &builder{meter: meter}
	m.requests = b.counter("hitch_edge_requests", "kind, outcome", "requests by kind of route and the word that ends their story")
	m.requestDuration = b.seconds("hitch_edge_request_duration", "kind", "time from arrival to the end of the answer")
	m.placementWait = b.seconds("hitch_edge_admission_wait", "found", "time that a generation waited for an engine with room, by whether one was found")
	m.firstEvent = b.seconds("hitch_edge_first_event", "", "time from arrival to the first event of a generation")
	m.longestPause = b.seconds("hitch_edge_longest_pause", "", "longest time between two events of a generation; pauses beyond the objective of its route are logged")
	m.moves = b.counter("hitch_edge_moves", "outcome", "runs moved off leaving engines")
	m.moveDuration = b.seconds("hitch_edge_move_duration", "", "time that a move took")
	m.replicas = b.counter("hitch_edge_backups", "outcome", "copies of runs that stand by at another engine")
	m.targetNotices = b.counter("hitch_edge_target_notices", "kind", "answers in which a target states that it leaves, wants a pause or names a limit, or with a malformed statement")
	m.refusedSends = b.counter("hitch_edge_refused_sends", "reason", "sends that were not made because the target leaves, wants a pause, is on trial after one, names a limit whose share of this host is used up, is cold and what it bears from this host is used up, or is in an evacuated failure domain")
	m.forwarded = b.counter("hitch_edge_forwarded", "outcome", "requests that other hosts were asked to send to targets while this one reaches none, by what they answered")
	m.quarantine = b.counter("hitch_edge_quarantine_changes", "change", "prompt parts and requests that were held back because targets crashed under them, or no longer are")
	m.retries = b.counter("hitch_edge_retries", "service, granted", "decisions on whether a request may be sent once more, by whether the retry budget allowed it")
	m.continuations = b.counter("hitch_edge_continuations", "service, result", "sends of runs that continue from a copy of their memory, which take nothing from the retry budget")
	m.closed = b.counter("hitch_edge_connections_closed", "reason", "connections of callers closed because their number reached its bound")
	m.engineCalls = b.seconds("hitch_edge_engine_call_duration", "call, result", "time that a control call to an engine took: copy of a run, stop of a run, release of a copy, load report")
	m.storeCalls = b.counter("hitch_edge_store_calls", "call, result", "calls to the platform's store")
	b.gauge("hitch_edge_runs", "", "generations in flight from this host", func() int64 { return int64(g.Runs()) })
	b.gauge("hitch_edge_waiting_runs", "", "generations that wait for room", func() int64 { return int64(g.WaitingRuns()) })
	b.gauge("hitch_edge_expected_memory_tokens", "", "memory, in tokens, that this host's generations are expected to hold at their ends", func() int64 { return int64(g.ExpectedTokens()) })
	b.gauge("hitch_edge_targets", "", "targets in the list", func() int64 { return int64(g.Targets()) })
	b.gauge("hitch_edge_target_list_age", "ms", "time since the target list was surely current", func() int64 { return g.TargetListAge().Milliseconds() })
	b.gauge("hitch_edge_hosts", "", "hosts of the fleet, this one included", func() int64 { return int64(g.Hosts()) })
	b.gauge("hitch_edge_policy_age", "ms", "time since the configuration was surely the newest", func() int64 { return g.PolicyAge().Milliseconds() })
	b.gauge("hitch_edge_policy_version", "", "version of the configuration in force", g.PolicyVersion)
	b.gauge("hitch_edge_store_era", "", "era of the platform's store: it rises when the store was restored from a copy", g.StoreEra)
	b.gauge("hitch_edge_evacuated_domains", "", "failure domains that the operator has evacuated: their targets get no requests", func() int64 { return int64(g.EvacuatedDomains()) })
	b.gauge("hitch_edge_held_keys", "", "prompt parts and requests that are held back or on probation because targets crashed under them", func() int64 { return int64(g.HeldKeys()) })
	b.gauge("hitch_edge_cold_targets", "", "targets that are cold; sends to them are bounded if their service states a rate", func() int64 { return int64(g.ColdTargets()) })
	b.gauge("hitch_edge_waitlist_entries", "", "generations of all hosts that wait for room, at the host that places them", func() int64 { return int64(g.Waitlist().Entries) })
	b.gauge("hitch_edge_waitlist_predicted_wait", "ms", "wait for room that was predicted last", func() int64 { return g.Waitlist().Predicted.Milliseconds() })
	b.total("hitch_edge_waitlist_promises_kept", "rejected generations that came back when they were told to and were placed", func() int64 { return g.Waitlist().Kept })
	b.total("hitch_edge_waitlist_promises_broken", "rejected generations that came back when they were told to and were not placed", func() int64 { return g.Waitlist().Broken })
	b.gauge("hitch_edge_log_lines_dropped", "", "log lines dropped and not reported yet", g.DroppedLogLines)
	b.gaugeByTarget("hitch_edge_target_slowness", "learned time that a target takes for its work relative to the median of its service, for targets that differ from it", g.Slowness)
	b.gauge("hitch_edge_held_bytes", "", "memory counted for requests, bodies and answers of callers and for what other hosts forward", func() int64 { return g.HeldBytes() })
	b.gauge("hitch_edge_held_bytes_bound", "", "bound of hitch_edge_held_bytes, 0 for none", func() int64 { return g.HeldBound() })
	b.gauge("hitch_edge_caller_connections", "", "open connections of callers", func() int64 { return int64(g.Connections()) })
	b.gauge("hitch_edge_caller_connections_bound", "", "bound of hitch_edge_caller_connections, 0 for none", func() int64 { return int64(g.ConnectionBound()) })
	m.Definitions = b.defined
	return m, b.err
}

// ObserveRequest implements ingress.Observer. route is nil if none matched.
func (m *Metrics) ObserveRequest(route *policy.Route, outcome string, duration time.Duration) {
	kind := "none"
	if route != nil {
		kind = route.Kind.String()
	}
	attributes := metric.WithAttributes(attribute.String("kind", kind), attribute.String("outcome", outcome))
	m.requests.Add(context.Background(), 1, attributes)
	m.requestDuration.Record(context.Background(), duration.Seconds(), metric.WithAttributes(attribute.String("kind", kind)))
}

// ObserveMove records the outcome and the duration of a migration.
func (m *Metrics) ObserveMove(outcome string, duration time.Duration) {
	m.moves.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
	m.moveDuration.Record(context.Background(), duration.Seconds())
}

// ObservePlacementWait implements streaming.Observer.
func (m *Metrics) ObservePlacementWait(duration time.Duration, found bool) {
	m.placementWait.Record(context.Background(), duration.Seconds(), metric.WithAttributes(attribute.Bool("found", found)))
}

// ObserveFirstEvent implements streaming.Observer.
func (m *Metrics) ObserveFirstEvent(duration time.Duration) {
	m.firstEvent.Record(context.Background(), duration.Seconds())
}

// ObserveLongestPause implements streaming.Observer.
func (m *Metrics) ObserveLongestPause(longest time.Duration) {
	m.longestPause.Record(context.Background(), longest.Seconds())
}

// ObserveReplica counts a replica by outcome.
func (m *Metrics) ObserveReplica(outcome string) {
	m.replicas.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}

// ObserveTargetNotice implements targetgate.Observer.
func (m *Metrics) ObserveTargetNotice(kind string) {
	m.targetNotices.Add(context.Background(), 1, metric.WithAttributes(attribute.String("kind", kind)))
}

// ObserveRefusedSend implements targetgate.Observer.
func (m *Metrics) ObserveRefusedSend(reason string) {
	m.refusedSends.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
}

// ObserveForwarded counts a request that another host was asked to send.
func (m *Metrics) ObserveForwarded(outcome string) {
	m.forwarded.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}

// ObserveQuarantine counts a change of what is held back.
func (m *Metrics) ObserveQuarantine(change string) {
	m.quarantine.Add(context.Background(), 1, metric.WithAttributes(attribute.String("change", change)))
}

// ObserveRetry counts a decision of a service's retry budget.
func (m *Metrics) ObserveRetry(service string, granted bool) {
	m.retries.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.Bool("granted", granted)))
}

// ObserveContinuation implements streaming.Observer.
func (m *Metrics) ObserveContinuation(service, result string) {
	m.continuations.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.String("result", result)))
}

// ObserveClosedConnection counts a connection that was closed at the bound of their number.
func (m *Metrics) ObserveClosedConnection(reason string) {
	m.closed.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
}

// ObserveEngineCall records a control call to an engine.
func (m *Metrics) ObserveEngineCall(call, result string, duration time.Duration) {
	m.engineCalls.Record(context.Background(), duration.Seconds(), metric.WithAttributes(attribute.String("call", call), attribute.String("result", result)))
}

// ObserveStoreCall counts a call to the store by result.
func (m *Metrics) ObserveStoreCall(call, result string) {
	m.storeCalls.Add(context.Background(), 1, metric.WithAttributes(attribute.String("call", call), attribute.String("result", result)))
}

// builder creates instruments and keeps the first error.
type builder struct {
	meter   metric.Meter
	err     error
	defined []Definition
}

// unitSuffixes are the suffixes that the Prometheus format appends for units.
var unitSuffixes = map[string]string{"s": "_seconds", "ms": "_milliseconds"}

func (b *builder) define(name, kind, unit, labels, description string) {
	name += unitSuffixes[unit]
	if kind == "counter" {
		name += "_total"
	}
	b.defined = append(b.defined, Definition{Name: name, Kind: kind, Unit: unit, Labels: labels, Description: description})
}

func (b *builder) keepError(err error) {
	if err != nil && b.err == nil {
		b.err = eris.Wrap(err, "metrics: cannot create an instrument")
	}
}

func (b *builder) counter(name, labels, description string) metric.Int64Counter {
	b.define(name, "counter", "", labels, description)
	c, err := b.meter.Int64Counter(name, metric.WithDescription(description))
	b.keepError(err)
	return c
}

func (b *builder) seconds(name, labels, description string) metric.Float64Histogram {
	b.define(name, "histogram", "s", labels, description)
	h, err := b.meter.Float64Histogram(name, metric.WithDescription(description), metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(latencyBounds...))
	b.keepError(err)
	return h
}

func (b *builder) gauge(name, unit, description string, read func() int64) {
	b.define(name, "gauge", unit, "", description)
	_, err := b.meter.Int64ObservableGauge(name, metric.WithDescription(description), metric.WithUnit(unit),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(read())
			return nil
		}))
	b.keepError(err)
}

func (b *builder) gaugeByTarget(name, description string, read func() map[string]float64) {
	b.define(name, "gauge", "", "target", description)
	_, err := b.meter.Float64ObservableGauge(name, metric.WithDescription(description),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			for target, value := range read() {
				o.Observe(value, metric.WithAttributes(attribute.String("target", target)))
			}
			return nil
		}))
	b.keepError(err)
}

// total defines a counter that is read at each scrape.
func (b *builder) total(name, description string, read func() int64) {
	b.define(name, "counter", "", "", description)
	_, err := b.meter.Int64ObservableCounter(name, metric.WithDescription(description),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(read())
			return nil
		}))
	b.keepError(err)
}
