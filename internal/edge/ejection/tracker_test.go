package ejection

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestFailuresMakeATargetCostly(t *testing.T) {
	tr := New()
	require.InDelta(t, 1, tr.FailureCost("t"), 1e-9)
	for range 5 {
		tr.RecordFailure("t", 1)
	}
	require.Greater(t, tr.FailureCost("t"), 4.0)
	for range 40 {
		tr.RecordSuccess("t", 10*time.Millisecond)
	}
	require.Less(t, tr.FailureCost("t"), 1.2)
	require.Equal(t, 10*time.Millisecond, tr.Latency("t").Round(time.Millisecond))
}

// One broken connection in many requests does not empty a target.
func TestRareFailuresWeighLittle(t *testing.T) {
	tr := New()
	for i := range 200 {
		if i%10 == 0 {
			tr.RecordFailure("t", 1)
		} else {
			tr.RecordSuccess("t", time.Millisecond)
		}
	}
	require.Less(t, tr.FailureCost("t"), 2.5)
}

// Many hosts that each saw one failure are enough for all of them.
func TestReportsOfOtherHostsCount(t *testing.T) {
	hub, host := New(), New()
	for _, name := range []string{"h1", "h2", "h3", "h4"} {
		one := New()
		one.RecordFailure("t", 1)
		require.Equal(t, []string{"t"}, one.RecentlyFailed())
		hub.SetReport(name, one.RecentlyFailed())
	}
	require.Greater(t, hub.FailureCost("t"), 4.0)
	require.Equal(t, 3, hub.CountReports("h1")["t"])
	host.SetFleetReports(hub.CountReports("h9"))
	require.Greater(t, host.FailureCost("t"), 4.0)
	for _, name := range []string{"h1", "h2", "h3", "h4"} {
		hub.SetReport(name, nil)
	}
	require.InDelta(t, 1, hub.FailureCost("t"), 1e-9)
}
