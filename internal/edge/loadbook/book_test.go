package loadbook

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLoadSumsOwnAndTold(t *testing.T) {
	b := New("h1")
	b.Add("t", Load{Runs: 1, Tokens: 100})
	b.SetPeer("h2", map[string]Load{"t": {Runs: 2, Tokens: 50}})
	require.Equal(t, Load{Runs: 3, Tokens: 150}, b.Load("t"))
	require.Equal(t, Load{Runs: 1, Tokens: 100}, b.Others("h2")["t"])
	require.Equal(t, map[string]Load{"h1": {Runs: 1, Tokens: 100}, "h2": {Runs: 2, Tokens: 50}}, b.ByHost("t"))
	b.SetFleet(map[string]Load{"t": {Runs: 5}})
	require.Equal(t, 6, b.Load("t").Runs)
	b.Remove("t", Load{Runs: 1, Tokens: 100})
	require.Equal(t, 5, b.Load("t").Runs)
}

func TestSumFollowsItsParts(t *testing.T) {
	b := New("hub")
	for round := range 20 {
		for _, host := range []string{"h1", "h2", "h3"} {
			b.SetPeer(host, map[string]Load{"t": {Runs: round, Tokens: 10 * round}, host: {Runs: 1}})
		}
		require.Equal(t, Load{Runs: 3 * round, Tokens: 30 * round}, b.Load("t"))
	}
	b.SetPeer("h2", nil)
	require.Equal(t, 2*19, b.Load("t").Runs)
	require.Zero(t, b.Load("h2"))
}

func TestGrantCountsUntilTheHostShowsIt(t *testing.T) {
	b := New("hub")
	b.Grant("h2", "t", Load{Runs: 1, Tokens: 10})
	require.Equal(t, 1, b.Load("t").Runs)
	b.SetPeer("h2", nil) // sent before the grant arrived
	require.Equal(t, 1, b.Load("t").Runs)
	time.Sleep(grantReturn + 5*time.Millisecond)
	b.SetPeer("h2", map[string]Load{"t": {Runs: 1, Tokens: 10}})
	require.Equal(t, Load{Runs: 1, Tokens: 10}, b.Load("t"))
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
