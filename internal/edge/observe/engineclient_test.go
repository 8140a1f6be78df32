package observe

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/targets"
)

// failingEngines answers no call but moves.
type failingEngines struct{ edge.EngineClient }

var errNoAnswer = errors.New("no answer")

func (failingEngines) Move(context.Context, *targets.Target, string, *targets.Target, bool) edge.MoveReply {
	return edge.MoveReply{Result: edge.MoveBusy}
}

func (failingEngines) Release(context.Context, *targets.Target, string) error { return errNoAnswer }

func (failingEngines) Report(context.Context, *targets.Target) (edge.EngineReport, error) {
	return edge.EngineReport{}, nil
}

func TestControlCallIsMissingFromTheMetrics(t *testing.T) {
	var seen []string
	c := &EngineClient{EngineClient: failingEngines{}, ObserveCall: func(call, result string, took time.Duration) {
		require.GreaterOrEqual(t, took, time.Duration(0))
		seen = append(seen, call+" "+result)
	}}
	require.Equal(t, edge.MoveBusy, c.Move(t.Context(), nil, "r", nil, false).Result)
	require.Equal(t, edge.MoveBusy, c.Move(t.Context(), nil, "r", nil, true).Result)
	require.ErrorIs(t, c.Release(t.Context(), nil, "h"), errNoAnswer)
	_, err := c.Report(t.Context(), nil)
	require.NoError(t, err)
	require.Equal(t, []string{"copy busy", "stop busy", "release failed", "report ok"}, seen)
}
