package retrybudget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/bootclock"
)

// longAgo returns an instant more than a window ago.
func longAgo() bootclock.Instant { return bootclock.Now().Add(-time.Minute) }

func TestBudgetIsTheShareOfOneHost(t *testing.T) {
	hosts := 4
	b := New(0.2, 40, 10*time.Second, longAgo(), func() int { return hosts })
	b.sharing.add(b.currentSlot()-2*slotsPerWindow, hosts)
	for range 100 {
		b.RecordRequest()
		b.requests.add(b.currentSlot() - slotsPerWindow)
	}
	taken := 0
	for b.TakeRetry().Granted {
		taken++
	}
	require.Equal(t, int(safetyFactor*(0.2*100+10)), taken)
	hosts = 8 // more hosts share the same slack
	require.False(t, b.TakeRetry().Granted)
}

func TestSlackIsNotUsedUntilTheHostsHaveBeenKnownForAWindow(t *testing.T) {
	b := New(0, 40, fleetWindow, longAgo(), func() int { return 4 })
	b.startedSlot -= 2 * slotsPerWindow
	for range slotsPerWindow + 1 {
		require.False(t, b.TakeRetry().Granted)
		b.nextSlot()
	}
	require.True(t, b.TakeRetry().Granted)
}

func TestSlackIsKnownBeforeAServicesFirstRequest(t *testing.T) {
	b := New(0, 40, fleetWindow, longAgo(), func() int { return 4 })
	b.startedSlot -= 2 * slotsPerWindow
	for range slotsPerWindow + 1 {
		b.ObserveHosts()
		b.nextSlot()
	}
	require.True(t, b.TakeRetry().Granted)
}

func TestSlackOfAHostThatLeftIsNotUsedWithinTheWindow(t *testing.T) {
	hosts := 20
	b := New(0, 40, fleetWindow, longAgo(), func() int { return hosts })
	b.startedSlot -= 2 * slotsPerWindow
	b.RecordRequest()
	for range slotsPerWindow + 1 {
		b.nextSlot()
	}
	hosts = 1
	require.Equal(t, 20, b.TakeRetry().Hosts)
	for range slotsPerWindow + 1 {
		b.nextSlot()
	}
	require.Equal(t, 1, b.TakeRetry().Hosts)
}

func TestHostCountsKeepTheNumberFromBeforeTheWindow(t *testing.T) {
	var h hostCounts
	h.add(0, 20)
	h.add(100, 8)
	h.add(104, 7)
	require.Equal(t, 20, h.largestOfWindow(104), "20 were known until slot 100")
	require.Equal(t, 8, h.largestOfWindow(100+slotsPerWindow+1))
	for slot := int64(200); slot < 300; slot++ {
		h.add(slot, int(slot%2)+8)
		require.NotZero(t, h.largestOfWindow(slot))
	}
	require.LessOrEqual(t, len(h.counts), slotsPerWindow+3)
}

func TestNoRetriesWithoutRequestsAndSlack(t *testing.T) {
	require.False(t, New(0.2, 3, 10*time.Second, longAgo(), func() int { return 6 }).TakeRetry().Granted)
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

func TestReturnedRetryCanBeTakenAgain(t *testing.T) {
	b := New(1, 0, fleetWindow, longAgo(), func() int { return 1 })
	b.startedSlot -= 2 * slotsPerWindow
	for range slotsPerWindow + 1 {
		for range 4 {
			b.RecordRequest()
		}
		b.nextSlot()
	}
	taken := 0
	for b.TakeRetry().Granted {
		taken++
	}
	require.Positive(t, taken)
	b.ReturnRetry()
	require.True(t, b.TakeRetry().Granted)
	require.False(t, b.TakeRetry().Granted)
}

func TestReturnedRetryDoesNotMakeTheOthersExpireSooner(t *testing.T) {
	b := New(1, 0, fleetWindow, longAgo(), func() int { return 1 })
	var c slidingCounter
	slot := b.currentSlot()
	c.add(slot)
	c.add(slot + 3)
	c.removeOldest(slot+3, slotsPerWindow)
	require.Equal(t, 1, c.atLeastOneWindow(slot+3+slotsPerWindow))
	c.removeOldest(slot+3, slotsPerWindow)
	c.removeOldest(slot+3, slotsPerWindow)
	require.Zero(t, c.atLeastOneWindow(slot+3))
}
