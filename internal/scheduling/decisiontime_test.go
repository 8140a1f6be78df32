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
	// maxGrowth bounds the factor by which decisions may take longer with ten times
	// as many targets or accounts.
	maxGrowth = 3.0
	// maxCoreShare is the share of a processor core that a host may spend on
	// scheduling.
	maxCoreShare = 0.014
	// hostRequestsPerSecond is the load of one of 410 hosts.
	hostRequestsPerSecond = 27

	// A trial takes a fraction of a millisecond, which is short against the time slices of
	// the kernel: even on a busy machine some trials run without being interrupted.
	growthTrials    = 150
	growthDecisions = 40
)

// shortestDecisionTimes returns for each pool the mean processor time of a
// decision in its fastest trial. It measures thread time and interleaves the
// trials so that other processes on the machine do not affect the result: they can
// make a trial slower, but not faster.
func shortestDecisionTimes(t *testing.T, pools ...*loadedPool) []time.Duration {
	t.Helper()
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	best := make([]time.Duration, len(pools))
	for range growthTrials {
		for i, pool := range pools {
			begin := threadCPUTime(t)
			for range growthDecisions {
				pool.submitDecideFinish()
			}
			mean := (threadCPUTime(t) - begin) / growthDecisions
			if best[i] == 0 || mean < best[i] {
				best[i] = mean
			}
		}
	}
	return best
}

// threadCPUTime returns the processor time that this thread has used, to the nanosecond.
func threadCPUTime(t *testing.T) time.Duration {
	t.Helper()
	var used unix.Timespec
	require.NoError(t, unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &used))
	return time.Duration(used.Nano())
}

func TestDecisionTimeGrowsSublinearlyWithTargets(t *testing.T) {
	best := shortestDecisionTimes(t, newLoadedPool(t, 12, 100), newLoadedPool(t, 120, 100), newLoadedPool(t, 1200, 100))
	assert.Less(t, float64(best[1]), maxGrowth*float64(best[0]), "120 targets against 12: %v", best)
	assert.Less(t, float64(best[2]), maxGrowth*float64(best[1]), "1200 targets against 120: %v", best)
}

func TestDecisionTimeGrowsSublinearlyWithAccounts(t *testing.T) {
	best := shortestDecisionTimes(t, newLoadedPool(t, 120, 100), newLoadedPool(t, 120, 1000), newLoadedPool(t, 120, 10000))
	assert.Less(t, float64(best[1]), maxGrowth*float64(best[0]), "1000 accounts against 100: %v", best)
	assert.Less(t, float64(best[2]), maxGrowth*float64(best[1]), "10000 accounts against 1000: %v", best)
}

func TestDecisionsOfOneHostUseLittleCPU(t *testing.T) {
	best := shortestDecisionTimes(t, newLoadedPool(t, 675, 1000))
	share := best[0].Seconds() * hostRequestsPerSecond
	assert.Less(t, share, maxCoreShare, "a decision takes %v", best[0])
}
