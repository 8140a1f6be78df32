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
	"corianderhitch/internal/edge/policy"
	"corianderhitch/internal/edge/retrybudget"
	"corianderhitch/internal/edge/stall"
	"corianderhitch/internal/edge/targets"
)

func TestTargetIsNotBlamedForCallsThatTheHostAborts(t *testing.T) {
	target := &targets.Target{ID: "t"}
	cost := func(cause error) float64 {
		s := &Server{Health: ejection.New(), Stalls: &stall.Detector{}}
		ctx, abort := context.WithCancelCause(t.Context())
		abort(cause)
		s.recordHealth(ctx, &outcome{result: broken, target: target, took: time.Second})
		return s.Health.FailureCost(target.Key())
	}
	require.Greater(t, cost(nil), 1.0, "the caller left a slow target")
	require.InDelta(t, 1.0, cost(edge.ErrStopping), 0)
}

func TestUnsentCallThatHasEndedBlamesNoTarget(t *testing.T) {
	target := &targets.Target{ID: "t"}
	s := &Server{Health: ejection.New(), Stalls: &stall.Detector{}}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	s.recordHealth(ctx, &outcome{result: unsent, target: target})
	require.InDelta(t, 1.0, s.Health.FailureCost(target.Key()), 0)
	s.recordHealth(t.Context(), &outcome{result: unsent, target: target})
	require.Greater(t, s.Health.FailureCost(target.Key()), 1.0)
}

func TestEndedCallIsNotSentAgain(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	s := &Server{RetryBudget: func(string) *retrybudget.Budget {
		t.Error("a retry was asked for")
		return retrybudget.New(0, 0, time.Second, bootclock.Now(), func() int { return 1 })
	}}
	for _, result := range []result{failed, broken, rejected} {
		r := &run{server: s, ctx: ctx, sends: 1, call: &edge.AuthorizedCall{Route: &policy.Route{Kind: policy.Idempotent, MaxAttempts: 3}, Service: &policy.Service{}, Log: slog.New(slog.DiscardHandler)}}
		r.retry(outcome{result: result})
		require.Equal(t, 1, r.sends)
	}
}

func TestCallThatCannotEndInTheDrainIsNotSentAgain(t *testing.T) {
	drain := draining.New(time.Second)
	drain.Record("route", draining.Pace{Start: time.Second})
	asked := 0
	s := &Server{Drain: drain, RetryBudget: func(string) *retrybudget.Budget {
		asked++
		return retrybudget.New(0, 0, time.Second, bootclock.Now(), func() int { return 1 })
	}}
	retry := func() int {
		for _, result := range []result{failed, broken, rejected} {
			r := &run{server: s, ctx: t.Context(), sends: 1, call: &edge.AuthorizedCall{
				Route: &policy.Route{Name: "route", Kind: policy.Idempotent, MaxAttempts: 3}, Service: &policy.Service{},
				Deadline: bootclock.Now().Add(time.Minute), Log: slog.New(slog.DiscardHandler),
			}}
			r.retry(outcome{result: result})
		}
		return asked
	}
	require.Equal(t, 3, retry(), "before the drain")
	drain.Begin(bootclock.Now())
	require.Equal(t, 3, retry(), "a retry was asked for in the drain")
}

// TWICE: a target may have run the call.
func TestNonIdempotentCallIsSentAgainAfterItMayHaveRun(t *testing.T) {
	asked := 0
	s := &Server{Drain: draining.New(time.Second), RetryBudget: func(string) *retrybudget.Budget {
		asked++
		return retrybudget.New(0, 0, time.Second, bootclock.Now(), func() int { return 1 })
	}}
	for kind, want := range map[policy.RouteKind]map[result]int{
		policy.NonIdempotent: {failed: 0, broken: 0, keyUnconfirmed: 0, rejected: 1},
		policy.Streaming:     {failed: 0, broken: 0, keyUnconfirmed: 0, rejected: 1},
		policy.Idempotent:    {failed: 1, broken: 1, keyUnconfirmed: 0, rejected: 1},
	} {
		for outcomeResult, retries := range want {
			asked = 0
			r := &run{server: s, ctx: t.Context(), sends: 1, pending: 1, call: &edge.AuthorizedCall{
				Route: &policy.Route{Kind: kind, MaxAttempts: 3}, Service: &policy.Service{}, Deadline: bootclock.Now().Add(time.Minute), Log: slog.New(slog.DiscardHandler),
			}}
			r.retry(outcome{result: outcomeResult})
			require.Equal(t, retries, asked, "%v, %v", kind, outcomeResult)
			r.hedge()
			require.Equal(t, kind == policy.Idempotent, asked > retries, "hedge of %v", kind)
		}
	}
}

// REFUSED: a later rejection hid that an earlier target may have run the call.
func TestCallThatMayHaveRunIsRefusedAsNotRun(t *testing.T) {
	for name, results := range map[string][]result{
		"broken, then rejected": {broken, rejected}, "broken, then not sent": {broken, unsent}, "failed without its answer, then rejected": {broken, failed, rejected},
		"broken, then held": {broken, held}, "broken, then without a confirmed key": {broken, keyUnconfirmed},
	} {
		r, best := &run{ctx: t.Context()}, outcome{result: unsent}
		for _, next := range results {
			best = r.mergeOutcome(best, outcome{result: next})
		}
		require.Equal(t, http.StatusBadGateway, r.rejection(best).Status, name)
	}
	pending := &run{ctx: t.Context(), pending: 1}
	require.Equal(t, http.StatusBadGateway, pending.rejection(outcome{result: rejected}).Status, "another send has no outcome yet")
}
