package scheduling_test

import (
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

const (
	// growthBound is the most by which a tenfold pool may lengthen a decision.
	growthBound = 3.0
	// coreShareBound is the share of a core that a node may spend on control.
	coreShareBound = 0.014
	// nodeRequestsPerSecond is the load of one of 410 nodes.
	nodeRequestsPerSecond = 27

	growthTrials    = 7
	growthDecisions = 300
)

// quickest returns the shortest mean processor time of a decision over interleaved
// trials of each load. What else the machine runs does not count: it is no share
// of a core that a decision takes.
func quickest(t *testing.T, loads ...*load) []time.Duration {
	t.Helper()
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	best := make([]time.Duration, len(loads))
	for range growthTrials {
		for i, l := range loads {
			begin := threadTime(t)
			for range growthDecisions {
				l.decision()
			}
			mean := (threadTime(t) - begin) / growthDecisions
			if best[i] == 0 || mean < best[i] {
				best[i] = mean
			}
		}
	}
	return best
}

// threadTime returns the processor time of this thread.
func threadTime(t *testing.T) time.Duration {
	t.Helper()
	var usage unix.Rusage
	require.NoError(t, unix.Getrusage(unix.RUSAGE_THREAD, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func TestDecisionGrowsSlowlyWithThePool(t *testing.T) {
	best := quickest(t, newLoad(t, 12, 100), newLoad(t, 120, 100), newLoad(t, 1200, 100))
	assert.Less(t, float64(best[1]), growthBound*float64(best[0]), "120 targets against 12: %v", best)
	assert.Less(t, float64(best[2]), growthBound*float64(best[1]), "1200 targets against 120: %v", best)
}

func TestDecisionGrowsSlowlyWithTheAccounts(t *testing.T) {
	best := quickest(t, newLoad(t, 120, 100), newLoad(t, 120, 1000), newLoad(t, 120, 10000))
	assert.Less(t, float64(best[1]), growthBound*float64(best[0]), "1000 accounts against 100: %v", best)
	assert.Less(t, float64(best[2]), growthBound*float64(best[1]), "10000 accounts against 1000: %v", best)
}

func TestDecisionsOfANodeTakeASmallShareOfACore(t *testing.T) {
	best := quickest(t, newLoad(t, 675, 1000))
	share := best[0].Seconds() * nodeRequestsPerSecond
	assert.Less(t, share, coreShareBound, "a decision takes %v", best[0])
}
