package plain

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/ejection"
	"corianderhitch/internal/edge/targets"
)

func TestTargetIsNotBlamedForCallsThatTheHostAborts(t *testing.T) {
	target := &targets.Target{ID: "t"}
	cost := func(cause error) float64 {
		s := &Server{Health: ejection.New()}
		ctx, abort := context.WithCancelCause(t.Context())
		abort(cause)
		s.recordHealth(ctx, &outcome{result: broken, target: target, took: time.Second})
		return s.Health.FailureCost(target.Key())
	}
	require.Greater(t, cost(nil), 1.0, "the caller left a slow target")
	require.InDelta(t, 1.0, cost(edge.ErrStopping), 0)
}
