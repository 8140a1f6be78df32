package ejection

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/bootclock"
)

func TestFailureCostFollowsOutcomes(t *testing.T) {
	tracker := New()
	require.InDelta(t, 1, tracker.FailureCost("t"), 1e-9)
	for range 5 {
		tracker.RecordFailure("t", 1)
	}
	require.Greater(t, tracker.FailureCost("t"), 4.0)
	for range 40 {
		tracker.RecordSuccess("t", 10*time.Millisecond)
	}
	require.Less(t, tracker.FailureCost("t"), 1.2)
	require.Equal(t, 10*time.Millisecond, tracker.Latency("t").Round(time.Millisecond))
}

// One broken connection in ten requests must not keep a target from being used.
func TestRareFailuresRaiseTheCostLittle(t *testing.T) {
	tracker := New()
	for i := range 200 {
		if i%10 == 0 {
			tracker.RecordFailure("t", 1)
		} else {
			tracker.RecordSuccess("t", time.Millisecond)
		}
	}
	require.Less(t, tracker.FailureCost("t"), 2.5)
}

// Each of many hosts sees few failures of a target. Their reports together must make
// it costly for all hosts.
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

func TestTargetWhoseFirstAnswerWasSlowIsNeverUsedAgain(t *testing.T) {
	tracker := New()
	tracker.RecordSuccess("t", 36*time.Millisecond)
	require.Equal(t, 36*time.Millisecond, tracker.Latency("t").Round(time.Millisecond))
	tracker.records["t"].measuredAt = bootclock.Now().Add(-2 * latencyHalfLife)
	require.Equal(t, 9*time.Millisecond, tracker.Latency("t").Round(time.Millisecond))
	tracker.RecordSuccess("t", time.Millisecond)
	require.Equal(t, 32500*time.Microsecond, tracker.Latency("t").Round(100*time.Microsecond), "a new answer counts as much as ever")
}
