package ejection

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestFailuresMakeATargetCostly(t *testing.T) {
	tr := New()
	require.InDelta(t, 1, tr.Cost("t"), 1e-9)
	for range 5 {
		tr.Failure("t", 1)
	}
	require.Greater(t, tr.Cost("t"), 4.0)
	for range 40 {
		tr.Success("t", 10*time.Millisecond)
	}
	require.Less(t, tr.Cost("t"), 1.2)
	require.Equal(t, 10*time.Millisecond, tr.Latency("t").Round(time.Millisecond))
}

// One broken connection in many requests does not empty a target.
func TestRareFailuresWeighLittle(t *testing.T) {
	tr := New()
	for i := range 200 {
		if i%10 == 0 {
			tr.Failure("t", 1)
		} else {
			tr.Success("t", time.Millisecond)
		}
	}
	require.Less(t, tr.Cost("t"), 2.5)
}

// Many hosts that each saw one failure are enough for all of them.
func TestReportsOfOtherHostsCount(t *testing.T) {
	hub, host := New(), New()
	for _, name := range []string{"h1", "h2", "h3", "h4"} {
		one := New()
		one.Failure("t", 1)
		require.Equal(t, []string{"t"}, one.Failing())
		hub.Report(name, one.Failing())
	}
	require.Greater(t, hub.Cost("t"), 4.0)
	require.Equal(t, 3, hub.Reports("h1")["t"])
	host.SetFleet(hub.Reports("h9"))
	require.Greater(t, host.Cost("t"), 4.0)
	for _, name := range []string{"h1", "h2", "h3", "h4"} {
		hub.Report(name, nil)
	}
	require.InDelta(t, 1, hub.Cost("t"), 1e-9)
}
