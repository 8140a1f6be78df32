package process

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/metric/noop"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/metrics"
	"corianderhitch/internal/edge/node"
	"corianderhitch/internal/edge/peers"
	"corianderhitch/internal/edge/placement"
	"corianderhitch/internal/edge/relay"
	"corianderhitch/internal/edge/retrybudget"
)

// A host that has just started must not assume that engines are as empty as they
// appear, since it does not know yet how many hosts place runs.
func TestSpreadIsMaximalBeforeTheHostsAreKnown(t *testing.T) {
	p := &Process{members: peers.NewMembers(slog.New(slog.DiscardHandler), nil, nil, relay.Host{Name: "host"})}
	require.Equal(t, placement.MaxSpread, p.estimateSpread())
}

// retryingProcess returns a process that has just started and has read no host list.
func retryingProcess(t *testing.T, window time.Duration) *Process {
	p := &Process{startedAt: bootclock.Now(), retryBudgets: make(map[string]*retrybudget.Budget)}
	p.members = peers.NewMembers(slog.New(slog.DiscardHandler), nil, nil, relay.Host{Name: "host"})
	var err error
	p.metrics, err = metrics.New(noop.NewMeterProvider().Meter(""), metrics.Gauges{})
	require.NoError(t, err)
	p.node.Retry = node.RetryBudget{Ratio: 0.2, Slack: 56, Window: window}
	return p
}

func TestNewProcessUsesTheBudgetOfAnOldOne(t *testing.T) {
	budget := retryingProcess(t, 10*time.Second).retryBudget("s")
	for range 100 {
		budget.RecordRequest()
	}
	require.InDelta(t, 4, budget.TakeRetry().Allowed, 0.01, "a fifth of the ratio in its first window")
}

func TestHostWithoutHostListUsesTheWholeSlack(t *testing.T) {
	const window = 50 * time.Millisecond
	budget := retryingProcess(t, window).retryBudget("s")
	budget.ObserveHosts()
	time.Sleep(3 * window)
	require.Zero(t, budget.TakeRetry().Hosts)
}
