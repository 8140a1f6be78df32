package plain

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/policy"
	"corianderhitch/internal/edge/targetnotice"
	"corianderhitch/internal/edge/targets"
)

// The crowd would overrun a target that has just paused, and be rejected after waiting.
func TestNoCrowdWaitsForTrial(t *testing.T) {
	const calls, slots = 20, 6
	stated, now := targetnotice.New(), bootclock.Now()
	registry := targets.New(stated, func(targets.Target, targets.LeavingNotice) {})
	target := targets.Target{ID: "t", Service: "s", Slots: slots}
	registry.Replace(map[string]targets.Target{"t": target}, 1)
	stated.ObservePause(target.Key(), now.Add(-2*time.Second), time.Second, 0)
	_, trial := stated.Admit(target.Key(), targetnotice.Request, now, now.Add(5*time.Second)) // it must outlast this test
	s := &Server{Targets: registry}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	returned := make(chan *run, calls)
	for range calls {
		r := &run{server: s, ctx: ctx, call: &edge.AuthorizedCall{Service: &policy.Service{Name: "s"}}}
		go func() {
			r.awaitTrial()
			returned <- r
		}()
	}
	for range calls - slots {
		rejection := (<-returned).rejection(outcome{result: unsent})
		require.Equal(t, http.StatusServiceUnavailable, rejection.Status)
		require.Equal(t, edge.ReasonTargetsPaused, rejection.Reason)
	}
	require.Empty(t, returned)
	stated.EndTrial(trial, true)
	for range slots {
		<-returned
	}
	require.Zero(t, s.awaitingTrial.counts["s"])
}

func TestCallThatHasEndedWaitsForNoTrial(t *testing.T) {
	stated, now := targetnotice.New(), bootclock.Now()
	registry := targets.New(stated, func(targets.Target, targets.LeavingNotice) {})
	target := targets.Target{ID: "t", Service: "s"}
	registry.Replace(map[string]targets.Target{"t": target}, 1)
	stated.ObservePause(target.Key(), now.Add(-2*time.Second), time.Second, 0)
	stated.Admit(target.Key(), targetnotice.Request, now, now.Add(5*time.Second))
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	(&run{server: &Server{Targets: registry}, ctx: ctx, call: &edge.AuthorizedCall{Service: &policy.Service{Name: "s"}}}).awaitTrial()
	require.Less(t, bootclock.Since(now), 4*time.Second)
}
