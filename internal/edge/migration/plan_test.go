package migration

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/policy"
)

// engine copies 1,000 tokens in 55 ms.
var engine = &policy.Engine{TokenBytes: 262144, LinkMbps: 38000}

func TestEvacuationOrder(t *testing.T) {
	require.Equal(t, []int{2, 0}, EvacuationOrder([]PlannedRun{
		{Held: 3000, Remaining: 400}, {Held: 6000, Remaining: 10}, {Held: 4000, Remaining: 100},
	}, 0))
	require.Equal(t, []int{2, 1, 0}, EvacuationOrder([]PlannedRun{
		{Held: 6000, Remaining: 400, Survives: true}, {Held: 3000, Remaining: 100}, {Held: 4000, Remaining: 100},
	}, 0))
}

// A run that has not ended although little was expected of it moves when time runs out.
func TestRunThatWasExpectedToEndIsLeftAtLeavingEngine(t *testing.T) {
	runs := []PlannedRun{{Held: 3000, Remaining: 40}}
	require.Empty(t, EvacuationOrder(runs, 0))
	require.Empty(t, EvacuationOrder(runs, assumedNoticePeriod/10))
	require.Equal(t, []int{0}, EvacuationOrder(runs, assumedNoticePeriod/2))
}

// Copies of different hosts that overlap on a source's link stall each other.
func TestTurnsDoNotOverlap(t *testing.T) {
	loads := map[string]inflight.Load{
		"h1": {Runs: 2, Held: 7000}, "h2": {Runs: 1, Held: 3000}, "h3": {Runs: 1, Held: 5000}, "h4": {Runs: 3, Held: 9000},
	}
	for _, source := range []string{"s1", "s2", "s3"} {
		type turn struct{ begin, end time.Duration }
		var turns []turn
		for host, own := range loads {
			begin := StartDelay(engine, source, host, loads)
			turns = append(turns, turn{begin, begin + CopyTime(engine, own.Held, own.Runs)})
		}
		for i, a := range turns {
			for j, b := range turns {
				require.True(t, i == j || a.end <= b.begin || b.end <= a.begin, "%v and %v", a, b)
			}
		}
	}
}

func TestFinishesInTime(t *testing.T) {
	require.True(t, FinishesInTime(engine, 4000, time.Second))
	require.False(t, FinishesInTime(engine, 4000, 1700*time.Millisecond))
}

func TestOtherDomainPenaltyGrowsWithSourceLoad(t *testing.T) {
	few, many := OtherDomainPenalty(engine, 3000, 1), OtherDomainPenalty(engine, 25000, 7)
	require.Less(t, few, many)
	require.GreaterOrEqual(t, few, minDomainPenalty)
	require.LessOrEqual(t, many, maxDomainPenalty)
}
