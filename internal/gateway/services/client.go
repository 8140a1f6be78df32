// Package services sends callers' calls to plain services: idempotent calls with
// retries and hedges, all others at most once through the ledger.
package services

import (
	"context"
	"errors"
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
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/forwardconn"
	"corianderhitch/internal/gateway/api"
	"corianderhitch/internal/gateway/fleet"
	"corianderhitch/internal/gateway/ids"
	"corianderhitch/internal/gateway/metrics"
	"corianderhitch/internal/ledger"
	"corianderhitch/internal/outbound"
	"corianderhitch/internal/platform"
)

const (
	// defaultTimeout bounds a call whose route sets no timeout.
	defaultTimeout = 5 * time.Second
	// maxTargets is the number of targets to which one call may be sent.
	maxTargets = 3
	// retryShare is the share of idempotent calls that may be retried.
	retryShare = 0.1
	// hedgeShare is the share of idempotent calls that may be hedged.
	hedgeShare = 0.05
	// noTargetRetryAfter is when a caller should retry if no target takes work.
	noTargetRetryAfter = 2 * time.Second
)

// Fleet is what a Client needs of the gateway's link to the agents.
type Fleet interface {
	View() *fleet.View
	GatewayHosts() []string
	InFlight() *fleet.InFlight
	FilterAvoided(targets []platform.Target) []platform.Target
	Report(event control.Event)
}

// Ledger claims calls that may run at most once.
type Ledger interface {
	Claim(ctx context.Context, call ledger.Call) (ledger.Decision, error)
	MayHaveRun(ctx context.Context, call ledger.Call) bool
}

// Client calls plain services. It implements api.ServiceCaller and is safe for
// concurrent use.
type Client struct {
	region      string
	fleet       Fleet
	ledger      Ledger
	transport   *outbound.Transport
	metrics     *metrics.Metrics
	log         *slog.Logger
	tracer      trace.Tracer
	retryBudget *budget
	hedgeBudget *budget
	gate        *callGate
	memory      *answerMemory

	mu        sync.Mutex
	latencies map[string]*latencyHistory // guarded by mu; by service and route
}

// New returns a Client for the gateway of a host in a region.
func New(host, region string, f Fleet, l Ledger, t *outbound.Transport, m *metrics.Metrics, log *slog.Logger) *Client {
	return &Client{
		region: region, fleet: f, ledger: l, transport: t, metrics: m, log: log,
		tracer:      otel.Tracer("corianderhitch/gateway"),
		retryBudget: newBudget(retryShare), hedgeBudget: newBudget(hedgeShare), gate: newCallGate(host, f.GatewayHosts, log),
		memory:    newAnswerMemory(),
		latencies: make(map[string]*latencyHistory),
	}
}

// Call implements api.ServiceCaller.
func (c *Client) Call(ctx context.Context, call api.ServiceCall) (api.ServiceAnswer, error) {
	timeout := defaultTimeout
	if call.Route.TimeoutMS > 0 {
		timeout = time.Duration(call.Route.TimeoutMS) * time.Millisecond
	}
	if !call.Route.Idempotent {
		return c.callAtMostOnce(ctx, call, timeout)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.callIdempotent(ctx, call)
}

// choice is a target to which a call is sent next.
type choice struct {
	target platform.Target
	ended  func() // to be called once the call has been answered or lost
}

// chooseTarget chooses a target that has not been tried, and counts the call against what the target
// states that it takes. Targets of the gateway's region come first. The first attempt of a call may wait
// a little for room at brittle targets.
func (c *Client) chooseTarget(ctx context.Context, call api.ServiceCall, tried []string) (choice, error) {
	local, remote := c.fleet.View().ServiceTargets(call.Service, c.region)
	all := append(local[:len(local):len(local)], remote...)
	wait := &roomWait{gate: c.gate, service: call.Service, targets: all}
	defer wait.end()
	for {
		now := bootclock.Now()
		if chosen, ok := c.tryToChoose(local, remote, tried, now); ok {
			return chosen, nil
		}
		if len(tried) == 0 && wait.next(ctx) {
			continue
		}
		if rejection := c.gate.rejection(call.Service, all, now); rejection != nil {
			return choice{}, rejection
		}
		return choice{}, problem.New(problem.KindNoTarget, http.StatusServiceUnavailable, problem.RanNo,
			"come back after the named time", "no target of the service %q takes work now", call.Service).WithRetryAfter(noTargetRetryAfter)
	}
}

// tryToChoose chooses a target that may be sent a call now.
func (c *Client) tryToChoose(local, remote []platform.Target, tried []string, now bootclock.Instant) (choice, bool) {
	c.gate.observeFleet(now)
	for _, targets := range [][]platform.Target{local, remote} {
		untried := fleet.Exclude(c.fleet.FilterAvoided(targets), tried)
		for {
			target, ok := c.fleet.InFlight().PowerOfTwoChoices(c.gate.permitted(untried, now))
			if !ok {
				break
			}
			if ended, taken := c.gate.take(target.Name, now); taken {
				return choice{target, ended}, true
			}
			untried = fleet.Exclude(untried, []string{target.Name}) // another call came first
		}
	}
	return choice{}, false
}

// send sends the call to the chosen target, returns the attempt with its result, and reports
// what that says about the target.
func (c *Client) send(ctx context.Context, call api.ServiceCall, chosen choice, do func(*http.Request) (*http.Response, error)) *attempt {
	defer chosen.ended()
	target := chosen.target
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
		c.reportEvent(ctx, a)
		return a
	}
	c.gate.observe(target.Name, resp.Header)
	a.read(ctx, call.Service, resp, c.memory)
	if a.err == nil {
		c.gate.observeRoom(target.Name, !a.foundNoRoom())
	}
	c.reportEvent(ctx, a)
	return a
}

// reportEvent reports to the agents that a target is leaving or unreachable, if the
// attempt shows it.
func (c *Client) reportEvent(ctx context.Context, a *attempt) {
	event := control.Event{ID: ids.New(), Target: a.target.Name, Seen: time.Now()}
	switch {
	case a.problem != nil && a.problem.Kind == problem.KindDraining:
		event.Kind = control.EventLeaving
	case a.notSent() && ctx.Err() == nil && !errors.Is(a.err, forwardconn.ErrCutOff):
		event.Kind = control.EventDown
	default:
		return
	}
	c.fleet.Report(event)
}
