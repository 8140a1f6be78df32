package scheduling_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
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

// quickest returns the shortest mean time of a decision over interleaved
// trials of each load, which is what a busy machine disturbs least.
func quickest(loads ...*load) []time.Duration {
	best := make([]time.Duration, len(loads))
	for range growthTrials {
		for i, l := range loads {
			begin := time.Now()
			for range growthDecisions {
				l.decision()
			}
			mean := time.Since(begin) / growthDecisions
			if best[i] == 0 || mean < best[i] {
				best[i] = mean
			}
		}
	}
	return best
}

func TestDecisionGrowsSlowlyWithThePool(t *testing.T) {
	best := quickest(newLoad(t, 12, 100), newLoad(t, 120, 100), newLoad(t, 1200, 100))
	assert.Less(t, float64(best[1]), growthBound*float64(best[0]), "120 targets against 12: %v", best)
	assert.Less(t, float64(best[2]), growthBound*float64(best[1]), "1200 targets against 120: %v", best)
}

func TestDecisionGrowsSlowlyWithTheAccounts(t *testing.T) {
	best := quickest(newLoad(t, 120, 100), newLoad(t, 120, 1000), newLoad(t, 120, 10000))
	assert.Less(t, float64(best[1]), growthBound*float64(best[0]), "1000 accounts against 100: %v", best)
	assert.Less(t, float64(best[2]), growthBound*float64(best[1]), "10000 accounts against 1000: %v", best)
}

func TestDecisionsOfANodeTakeASmallShareOfACore(t *testing.T) {
	best := quickest(newLoad(t, 675, 1000))
	share := best[0].Seconds() * nodeRequestsPerSecond
	assert.Less(t, share, coreShareBound, "a decision takes %v", best[0])
}
