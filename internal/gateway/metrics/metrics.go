// Package metrics holds the OpenTelemetry instruments of the gateway.
package metrics

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Metrics are the instruments of one gateway. All methods are safe for
// concurrent use.
type Metrics struct {
	requests   metric.Int64Counter
	tokens     metric.Int64Counter
	firstToken metric.Float64Histogram
	interToken metric.Float64Histogram
	resumes    metric.Int64Counter
	retries    metric.Int64Counter
	ledger     metric.Int64Counter
	inProgress metric.Int64UpDownCounter
}

// Bounds of the histograms, in seconds.
var (
	firstTokenBounds = []float64{.01, .02, .05, .1, .2, .4, .8, 1.6, 3.2, 6.4, 12.8, 25.6, 60}
	interTokenBounds = []float64{.001, .002, .005, .01, .02, .034, .05, .1, .2, .5, 1, 2, 5, 10}
)

// New creates the instruments.
func New(meter metric.Meter) (*Metrics, error) {
	m := &Metrics{}
	b := builder{meter: meter}
	m.requests = b.counter("hitch.requests", "answers to callers by kind of request and outcome")
	m.tokens = b.counter("hitch.tokens", "output tokens delivered to callers")
	m.firstToken = b.histogram("hitch.first_token", "time from request to first token", firstTokenBounds)
	m.interToken = b.histogram("hitch.inter_token", "time between the tokens of a stream", interTokenBounds)
	m.resumes = b.counter("hitch.resumes", "attachments to running generations by cause")
	m.retries = b.counter("hitch.retries", "requests sent to another target by cause")
	m.ledger = b.counter("hitch.calls", "non-idempotent calls by decision of the ledger")
	m.inProgress = b.upDown("hitch.in_progress", "requests in progress")
	return m, b.err
}

// Request counts an answer. Outcome is "ok" or a problem kind.
func (m *Metrics) RecordRequest(kind, outcome string) {
	m.requests.Add(context.Background(), 1,
		metric.WithAttributes(attribute.String("kind", kind), attribute.String("outcome", outcome)))
}

// Tokens counts delivered tokens.
func (m *Metrics) AddTokens(n int) { m.tokens.Add(context.Background(), int64(n)) }

// FirstToken records the time to the first token.
func (m *Metrics) RecordFirstToken(d time.Duration) {
	m.firstToken.Record(context.Background(), d.Seconds())
}

// InterToken records the time between two tokens.
func (m *Metrics) RecordInterToken(d time.Duration) {
	m.interToken.Record(context.Background(), d.Seconds())
}

// Resume counts an attachment to a running generation.
func (m *Metrics) RecordAttachment(cause string) {
	m.resumes.Add(context.Background(), 1, metric.WithAttributes(attribute.String("cause", cause)))
}

// Retry counts a request that goes to another target.
func (m *Metrics) RecordRetry(cause string) {
	m.retries.Add(context.Background(), 1, metric.WithAttributes(attribute.String("cause", cause)))
}

// Call counts a decision of the ledger.
func (m *Metrics) RecordLedgerDecision(decision string) {
	m.ledger.Add(context.Background(), 1, metric.WithAttributes(attribute.String("decision", decision)))
}

// Begin counts a request in progress until the returned function is called.
func (m *Metrics) TrackInProgress() (end func()) {
	m.inProgress.Add(context.Background(), 1)
	return func() { m.inProgress.Add(context.Background(), -1) }
}
