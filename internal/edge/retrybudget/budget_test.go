package retrybudget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestBudgetIsTheShareOfOneHost(t *testing.T) {
	hosts := 4
	b := New(0.2, 40, 10*time.Second, func() int { return hosts })
	for range 100 {
		b.RecordRequest()
	}
	taken := 0
	for b.TakeRetry().Granted {
		taken++
	}
	require.Equal(t, int(safetyFactor*(0.2*100+10)), taken)
	hosts = 8 // more hosts share the same slack
	require.False(t, b.TakeRetry().Granted)
}

func TestNoRetriesWithoutRequestsAndSlack(t *testing.T) {
	require.False(t, New(0.2, 3, 10*time.Second, func() int { return 6 }).TakeRetry().Granted)
}

// Requests of more than one window must not raise the budget, and retries of less than one
// must not be forgotten.
func TestBudgetCountsRequestsOfOneWindow(t *testing.T) {
	var c slidingCounter
	for slot := int64(100); slot <= 100+slotsPerWindow; slot++ {
		c.add(slot)
	}
	now := int64(100 + slotsPerWindow)
	require.Equal(t, slotsPerWindow, c.atMostOneWindow(now))
	require.Equal(t, slotsPerWindow+1, c.atLeastOneWindow(now))
}
