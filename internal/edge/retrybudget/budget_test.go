package retrybudget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestBudgetIsThePartOfOneHost(t *testing.T) {
	hosts := 4
	b := New(0.2, 40, 10*time.Second, func() int { return hosts })
	for range 100 {
		b.RecordRequest()
	}
	taken := 0
	for b.TakeRetry() {
		taken++
	}
	require.Equal(t, int(safety*(0.2*100+10)), taken)
	hosts = 8 // the same slack for more hosts
	require.False(t, b.TakeRetry())
}

func TestNoRepeatsWithoutRequestsAndSlack(t *testing.T) {
	require.False(t, New(0.2, 3, 10*time.Second, func() int { return 6 }).TakeRetry())
}
