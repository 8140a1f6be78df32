package inflight

import (
	"corianderhitch/internal/edge/bootclock"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestTotalLoadSumsOwnAndReportedLoads(t *testing.T) {
	table := New("h1")
	table.Add("t", Load{Runs: 1, Tokens: 100})
	table.SetPeerLoads("h2", map[string]Load{"t": {Runs: 2, Tokens: 50}})
	require.Equal(t, Load{Runs: 3, Tokens: 150}, table.TotalLoad("t"))
	require.Equal(t, Load{Runs: 1, Tokens: 100}, table.LoadsExcept("h2")["t"])
	require.Equal(t, map[string]Load{"h1": {Runs: 1, Tokens: 100}, "h2": {Runs: 2, Tokens: 50}}, table.LoadByHost("t"))
	table.SetFleetLoads(map[string]Load{"t": {Runs: 5}})
	require.Equal(t, 6, table.TotalLoad("t").Runs)
	table.Remove("t", Load{Runs: 1, Tokens: 100})
	require.Equal(t, 5, table.TotalLoad("t").Runs)
}

func TestTotalLoadFollowsNewReports(t *testing.T) {
	table := New("hub")
	for round := range 20 {
		for _, host := range []string{"h1", "h2", "h3"} {
			table.SetPeerLoads(host, map[string]Load{"t": {Runs: round, Tokens: 10 * round}, host: {Runs: 1}})
		}
		require.Equal(t, Load{Runs: 3 * round, Tokens: 30 * round}, table.TotalLoad("t"))
	}
	table.SetPeerLoads("h2", nil)
	require.Equal(t, 2*19, table.TotalLoad("t").Runs)
	require.Zero(t, table.TotalLoad("h2"))
}

func TestReservationCountsUntilTheHostReportsIt(t *testing.T) {
	table := New("hub")
	table.Reserve("h2", "t", Load{Runs: 1, Tokens: 10})
	require.Equal(t, 1, table.TotalLoad("t").Runs)
	table.SetPeerLoads("h2", nil) // sent before the reply to the reservation arrived
	require.Equal(t, 1, table.TotalLoad("t").Runs)
	time.Sleep(reservationDelay + 5*time.Millisecond)
	table.SetPeerLoads("h2", map[string]Load{"t": {Runs: 1, Tokens: 10}})
	require.Equal(t, Load{Runs: 1, Tokens: 10}, table.TotalLoad("t"))
}

func TestChangedIsClosedWhenALoadDecreases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := New("h1")
		table.Add("t", Load{Runs: 1})
		changed := table.Changed()
		select {
		case <-changed:
			t.Fatal("nothing has changed")
		default:
		}
		table.Remove("t", Load{Runs: 1})
		<-changed
	})
}

// A host that has just booted has no report of a hub: that must not count as a fresh one,
// which would hide what single hosts reported.
func TestReportsOfHostsCountRightAfterBoot(t *testing.T) {
	require.False(t, (&loadReport{}).isFresh(bootclock.Instant(time.Second)))
	require.True(t, (&loadReport{receivedAt: 1}).isFresh(bootclock.Instant(time.Second)))
}
