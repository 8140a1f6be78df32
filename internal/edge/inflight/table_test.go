package inflight

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLoadSumsOwnAndTold(t *testing.T) {
	b := New("h1")
	b.Add("t", Load{Runs: 1, Tokens: 100})
	b.SetPeerLoads("h2", map[string]Load{"t": {Runs: 2, Tokens: 50}})
	require.Equal(t, Load{Runs: 3, Tokens: 150}, b.TotalLoad("t"))
	require.Equal(t, Load{Runs: 1, Tokens: 100}, b.LoadsExcept("h2")["t"])
	require.Equal(t, map[string]Load{"h1": {Runs: 1, Tokens: 100}, "h2": {Runs: 2, Tokens: 50}}, b.LoadByHost("t"))
	b.SetFleetLoads(map[string]Load{"t": {Runs: 5}})
	require.Equal(t, 6, b.TotalLoad("t").Runs)
	b.Remove("t", Load{Runs: 1, Tokens: 100})
	require.Equal(t, 5, b.TotalLoad("t").Runs)
}

func TestSumFollowsItsParts(t *testing.T) {
	b := New("hub")
	for round := range 20 {
		for _, host := range []string{"h1", "h2", "h3"} {
			b.SetPeerLoads(host, map[string]Load{"t": {Runs: round, Tokens: 10 * round}, host: {Runs: 1}})
		}
		require.Equal(t, Load{Runs: 3 * round, Tokens: 30 * round}, b.TotalLoad("t"))
	}
	b.SetPeerLoads("h2", nil)
	require.Equal(t, 2*19, b.TotalLoad("t").Runs)
	require.Zero(t, b.TotalLoad("h2"))
}

func TestGrantCountsUntilTheHostShowsIt(t *testing.T) {
	b := New("hub")
	b.Reserve("h2", "t", Load{Runs: 1, Tokens: 10})
	require.Equal(t, 1, b.TotalLoad("t").Runs)
	b.SetPeerLoads("h2", nil) // sent before the grant arrived
	require.Equal(t, 1, b.TotalLoad("t").Runs)
	time.Sleep(grantReturn + 5*time.Millisecond)
	b.SetPeerLoads("h2", map[string]Load{"t": {Runs: 1, Tokens: 10}})
	require.Equal(t, Load{Runs: 1, Tokens: 10}, b.TotalLoad("t"))
}

func TestFallingLoadWakesThoseWhoWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New("h1")
		b.Add("t", Load{Runs: 1})
		changed := b.Changed()
		select {
		case <-changed:
			t.Fatal("nothing has changed")
		default:
		}
		b.Remove("t", Load{Runs: 1})
		<-changed
	})
}
