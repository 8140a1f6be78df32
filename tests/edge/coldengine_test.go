package edge_test

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/node"
	ports "corianderhitch/internal/platform"
	"corianderhitch/platform"
	"corianderhitch/platform/standin"
)

// One of three hosts holds all shares of an engine that starts while the other one is crowded. The failure
// guarded against: runs of the other hosts can't go to the empty engine, since a loan of the share takes
// longer than it is cold.
func TestRunsOfAllHostsGoToAColdEngine(t *testing.T) {
	t.Parallel()
	const (
		rate, factor = 20, 1.2 // the bound leaves one share
		coldFor      = time.Second
		settled      = 10 * time.Second // the first hub grants permits after 8 s
	)
	f, set := newFleet(t), standin.NewEngines()
	f.coldFor, f.coldRate, f.cold = coldFor, rate, node.ColdBound{Factor: factor}
	f.configure()
	crowded := f.startEngine(set, "e-1")
	f.startHosts(3)
	time.Sleep(settled)
	for i := range 10 {
		sendAsync(generationRequest(t.Context(), f.hosts[i%3], fmt.Sprint("long-", i), 600))
	}
	require.Eventually(t, func() bool { return len(crowded.Requests()) == 10 }, waitTimeout, checkInterval)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	cold := set.Start("e-2", listener)
	t.Cleanup(cold.Crash)
	_, err = f.store.Put(t.Context(), platform.TargetPrefix+"e-2", standin.ColdTargetEntry("a", engineService, cold.Address(), "ready", 6, 1700000099000, coldFor), ports.AnyRevision, 0)
	require.NoError(t, err)
	started := time.Now()
	for round := 0; time.Since(started) < coldFor-200*time.Millisecond; round++ {
		for n, h := range f.hosts {
			sendAsync(generationRequest(t.Context(), h, fmt.Sprintf("short-%d-%d", round, n), 4))
		}
		time.Sleep(100 * time.Millisecond)
	}
	during, permitted := len(cold.Requests()), 0
	for _, h := range f.hosts {
		permitted += strings.Count(h.logs.String(), `"hub_permit":true`)
	}
	t.Logf("%d runs went to the cold engine, %d were given a permit of the hub", during, permitted)
	require.Positive(t, permitted)
	require.LessOrEqual(t, float64(during), factor*rate)
}
