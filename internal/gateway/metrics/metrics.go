// Package metrics holds the OpenTelemetry instruments of the gateway.
package metrics

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Metrics holds the instruments of one gateway. It is safe for concurrent use.
type Metrics struct {
	requests        metric.Int64Counter
	tokens          metric.Int64Counter
	firstToken      metric.Float64Histogram
	interToken      metric.Float64Histogram
	attachments     metric.Int64Counter
	retries         metric.Int64Counter
	ledgerDecisions metric.Int64Counter
	inProgress      metric.Int64UpDownCounter
}

// Bucket boundaries of the histograms, in seconds.
var (
	firstTokenBounds = []float64{.01, .02, .05, .1, .2, .4, .8, 1.6, 3.2, 6.4, 12.8, 25.6, 60}
	interTokenBounds = []float64{.001, .002, .005, .01, .02, .034, .05, .1, .2, .5, 1, 2, 5, 10}
)

// New creates the instruments of a gateway at meter.
func New(meter metric.Meter) (*Metrics, error) {
	m := &Metrics{}
	b := builder{meter: meter}
	m.requests = b.counter("hitch.requests", "answers to callers by kind of request and outcome")
	m.tokens = b.counter("hitch.tokens", "output tokens delivered to callers")
	m.firstToken = b.histogram("hitch.first_token", "time from request to first token", firstTokenBounds)
	m.interToken = b.histogram("hitch.inter_token", "time between the tokens of a stream", interTokenBounds)
	m.attachments = b.counter("hitch.resumes", "attachments to running generations by cause")
	m.retries = b.counter("hitch.retries", "requests sent to another target by cause")
	m.ledgerDecisions = b.counter("hitch.calls", "non-idempotent calls by decision of the ledger")
	m.inProgress = b.upDownCounter("hitch.in_progress", "requests in progress")
	return m, b.err
}

// RecordRequest counts an answer to a caller. kind names the route; outcome is "ok" or a
// problem kind.
func (m *Metrics) RecordRequest(kind, outcome string) {
	m.requests.Add(context.Background(), 1,
		metric.WithAttributes(attribute.String("kind", kind), attribute.String("outcome", outcome)))
}

// AddTokens counts n tokens delivered to callers.
func (m *Metrics) AddTokens(n int) { m.tokens.Add(context.Background(), int64(n)) }

// RecordFirstToken records the time from a request to its first token.
func (m *Metrics) RecordFirstToken(d time.Duration) {
	m.firstToken.Record(context.Background(), d.Seconds())
}

// RecordInterToken records the time between two tokens of a stream.
func (m *Metrics) RecordInterToken(d time.Duration) {
	m.interToken.Record(context.Background(), d.Seconds())
}

// RecordAttachment counts an attachment to a running generation.
func (m *Metrics) RecordAttachment(cause string) {
	m.attachments.Add(context.Background(), 1, metric.WithAttributes(attribute.String("cause", cause)))
}

// RecordRetry counts a request that is sent to another target.
func (m *Metrics) RecordRetry(cause string) {
	m.retries.Add(context.Background(), 1, metric.WithAttributes(attribute.String("cause", cause)))
}

// RecordLedgerDecision counts the ledger's decision on a non-idempotent call.
func (m *Metrics) RecordLedgerDecision(decision string) {
	m.ledgerDecisions.Add(context.Background(), 1, metric.WithAttributes(attribute.String("decision", decision)))
}

// TrackInProgress counts a request as in progress until end is called.
func (m *Metrics) TrackInProgress() (end func()) {
	m.inProgress.Add(context.Background(), 1)
	return func() { m.inProgress.Add(context.Background(), -1) }
}
