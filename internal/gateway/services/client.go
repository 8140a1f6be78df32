// Package services sends the calls of callers to plain services: idempotent ones
// with retries and hedges, the others at most once through the ledger.
package services

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"corianderhitch/api/control"
	"corianderhitch/api/problem"
	"corianderhitch/internal/gateway/api"
	"corianderhitch/internal/gateway/fleet"
	"corianderhitch/internal/gateway/ids"
	"corianderhitch/internal/gateway/metrics"
	"corianderhitch/internal/ledger"
	"corianderhitch/internal/outbound"
	"corianderhitch/internal/platform"
)

const (
	// defaultTimeout bounds a call whose route states none.
	defaultTimeout = 5 * time.Second
	// maxTargets bounds the targets that one call is sent to.
	maxTargets = 3
	// retryShare is the share of calls that may be retried.
	retryShare = 0.1
	// hedgeShare is the share of lookups that may be hedged.
	hedgeShare = 0.05
	// noTargetRetry is when a caller should come back if no target takes work.
	noTargetRetry = 2 * time.Second
)

// Fleet is what the caller needs of the agents.
type Fleet interface {
	View() *fleet.View
	InFlight() *fleet.InFlight
	FilterAvoided(targets []platform.Target) []platform.Target
	Report(news control.Event)
}

// Ledger claims calls that may not be repeated.
type Ledger interface {
	Claim(ctx context.Context, call ledger.Call) (ledger.Decision, error)
	MayHaveRun(ctx context.Context, call ledger.Call) bool
}

// Caller implements api.ServiceCaller. It is safe for concurrent use.
type Client struct {
	region    string
	fleet     Fleet
	ledger    Ledger
	transport *outbound.Transport
	metrics   *metrics.Metrics
	log       *slog.Logger
	tracer    trace.Tracer
	retries   *budget
	hedges    *budget

	mu        sync.Mutex
	latencies map[string]*latency // guarded by mu; by service and route
}

// New returns a Caller for a gateway in a region.
func New(region string, f Fleet, l Ledger, t *outbound.Transport, m *metrics.Metrics, log *slog.Logger) *Client {
	return &Client{
		region: region, fleet: f, ledger: l, transport: t, metrics: m, log: log,
		tracer:  otel.Tracer("corianderhitch/gateway"),
		retries: newBudget(retryShare), hedges: newBudget(hedgeShare),
		latencies: make(map[string]*latency),
	}
}

// Call implements api.ServiceCaller.
func (c *Client) Call(ctx context.Context, call api.ServiceCall) (api.ServiceAnswer, error) {
	timeout := defaultTimeout
	if call.Route.TimeoutMS > 0 {
		timeout = time.Duration(call.Route.TimeoutMS) * time.Millisecond
	}
	if !call.Route.Idempotent {
		return c.once(ctx, call, timeout)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.repeatable(ctx, call)
}

// pick chooses a target that has not been tried: near ones first.
func (c *Client) pick(call api.ServiceCall, tried []string) (platform.Target, error) {
	near, far := c.fleet.View().ServiceTargets(call.Service, c.region)
	for _, targets := range [][]platform.Target{near, far} {
		target, ok := c.fleet.InFlight().PowerOfTwoChoices(fleet.Exclude(c.fleet.FilterAvoided(targets), tried))
		if ok {
			return target, nil
		}
	}
	return platform.Target{}, problem.New(problem.KindNoTarget, http.StatusServiceUnavailable, problem.RanNo,
		"come back after the named time", "no target of the service %q takes work now", call.Service).WithRetryAfter(noTargetRetry)
}

// send sends the call to one target.
func (c *Client) send(ctx context.Context, call api.ServiceCall, target platform.Target, do func(*http.Request) (*http.Response, error)) *attempt {
	ctx, span := c.tracer.Start(ctx, "service call", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("target", target.Name), attribute.String("service", call.Service)))
	defer span.End()
	defer c.fleet.InFlight().Add(target.Name, 0)()
	a := &attempt{target: target}
	req, err := newRequest(ctx, call, target)
	if err != nil {
		a.err = &outbound.SendError{Cause: err}
		return a
	}
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(req.Header))
	resp, err := do(req)
	if err != nil {
		a.err = err
		c.report(ctx, a)
		return a
	}
	a.read(resp)
	c.report(ctx, a)
	return a
}

// report tells the agents what an attempt says about its target.
func (c *Client) report(ctx context.Context, a *attempt) {
	news := control.Event{ID: ids.New(), Target: a.target.Name, Seen: time.Now()}
	switch {
	case a.problem != nil && a.problem.Kind == problem.KindDraining:
		news.Kind = control.EventLeaving
	case a.notSent() && ctx.Err() == nil:
		news.Kind = control.EventDown
	default:
		return
	}
	c.fleet.Report(news)
}
