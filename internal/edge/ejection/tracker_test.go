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
