package plain

import (
	"context"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/draining"
	"corianderhitch/internal/edge/ejection"
	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/policy"
	"corianderhitch/internal/edge/retrybudget"
	"corianderhitch/internal/edge/stall"
	"corianderhitch/internal/edge/targetconn"
	"corianderhitch/internal/edge/targetnotice"
)

// oneGate lets requests through to the first target that is asked for only, and finds all others
// evacuated, once they have been chosen.
type oneGate struct {
	openGate
	first chan string // holds the target
}

func (g oneGate) Check(incarnation string, _ *targetconn.Request) targetnotice.Verdict {
	select {
	case g.first <- incarnation:
		return targetnotice.Allowed
	default:
		return targetnotice.Evacuated
	}
}

// A hedge that the gate refused took a retry from the budget although nothing was sent, and counted as a
// failure of the target.
func TestHedgeToEvacuatedTargetsCostsNothing(t *testing.T) {
	registry, opened := startSilentTargets(t, 3)
	budget := generousBudget("s")
	s := &Server{
		Sender: &edge.Sender{Wire: plainWire{}, Pool: targetconn.New(func(http.Header) string { return "" }, oneGate{first: make(chan string, 1)}, func(string) float64 { return 0 })}, Targets: registry,
		Inflight: inflight.New("host"), Health: ejection.New(), Drain: draining.New(time.Minute), Stalls: &stall.Detector{},
		RetryBudget: func(string) *retrybudget.Budget { return budget },
	}
	now := bootclock.Now()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	r := &run{server: s, ctx: ctx, outcomes: make(chan outcome, 8), tried: make(map[string]bool), call: &edge.AuthorizedCall{
		Call: &edge.Call{ID: "r", Method: http.MethodGet, URI: "/"}, Service: &policy.Service{Name: "s"}, Log: slog.New(slog.DiscardHandler),
		Route: &policy.Route{Name: "route", Kind: policy.Idempotent, MaxAttempts: 2, Objective: 50 * time.Millisecond}, Received: now, Arrived: now,
		Deadline: now.Add(time.Minute), StillAuthorized: func(context.Context) bool { return true },
	}}
	time.AfterFunc(4*minHedgeDelay, cancel)
	r.serve()
	require.Len(t, opened, 1)
	require.Len(t, r.tried, 3, "both others were tried")
	require.Equal(t, 1, r.sends)
	require.Zero(t, budget.TakeRetry().Retries)
	healthy := 0
	for _, target := range registry.View().Serving("s") {
		if s.Health.FailureCost(target.Key()) == 1 {
			healthy++
		}
	}
	require.GreaterOrEqual(t, healthy, 2)
}
