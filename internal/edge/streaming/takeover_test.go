package streaming

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/draining"
	"corianderhitch/internal/edge/retrybudget"
)

func TestTakeoverWithoutAnotherEngineUsesRetryBudget(t *testing.T) {
	s, r := placingServer(draining.New(placingDrain), silentObserver{}, func() bool { return false })
	budget := retrybudget.New(50, 0, 10*time.Second, bootclock.Now(), func() int { return 1 })
	budget.RecordRequest()
	s.RetryBudget = func(string) *retrybudget.Budget { return budget }
	r.call.Route.Resumable, r.call.Route.MaxAttempts = true, 2
	for range 3 {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		require.Nil(t, r.startBeside(ctx, s.Targets.View().Available("s")[0]))
		cancel()
	}
	require.Zero(t, budget.TakeRetry().Retries)
	require.True(t, r.MayRestart())
}
