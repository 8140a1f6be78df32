package edge_test

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/platform/standin"
	"corianderhitch/tests/harness"
)

// replicatedRun starts a run whose copy is at an engine behind a proxy.
func replicatedRun(t *testing.T, events int) (f *fleet, pending <-chan answer, source, dest *standin.Engine, proxy *harness.Proxy) {
	t.Helper()
	f = newFleet(t)
	f.configure()
	set := standin.NewEngines()
	source = f.startEngine(set, "e-1")
	h := f.startHost()
	pending = sendAsync(generationRequest(t.Context(), h, "r-1", events))
	require.Eventually(t, func() bool { return len(source.Started()) == 1 }, waitTimeout, checkInterval)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	dest = set.Start("e-2", listener)
	t.Cleanup(dest.Crash)
	proxy = harness.NewProxy(t, dest.Address())
	set.SetAddress(dest, proxy.Address())
	f.register(dest.ID, engineService, proxy.Address(), "ready")
	require.Eventually(t, func() bool { return strings.Contains(h.logs.String(), "backup: replication finished") }, waitTimeout, checkInterval)
	return f, pending, source, dest, proxy
}

func TestLeavingEngineThatRejectsAContinuationIsAskedAgainAndAgain(t *testing.T) {
	t.Parallel()
	_, pending, source, dest, _ := replicatedRun(t, 800)
	dest.Leave()
	dest.DropCopies()
	before := len(dest.Requests())
	source.Crash()
	began := time.Now()
	require.Error(t, (<-pending).err)
	require.Less(t, time.Since(began), 2*time.Second, "no engine holds the run's memory")
	require.LessOrEqual(t, len(dest.Requests())-before, 2)
}

func TestRunIsLostWhenTheEngineOfItsReplicaResetsAConnection(t *testing.T) {
	t.Parallel()
	const events, resetsFor = 800, 700 * time.Millisecond
	_, pending, source, dest, proxy := replicatedRun(t, events)
	proxy.SetMode(harness.CloseNew) // as at the limit of its connections
	proxy.CloseConnections()
	source.Crash()
	time.Sleep(resetsFor)
	proxy.SetMode(harness.Pass)
	a := <-pending
	require.NoError(t, a.err)
	require.Equal(t, standin.StreamText("r-1", events), a.body)
	require.Equal(t, []string{"r-1"}, dest.Resumed())
}

func TestRunContinuesAtEngineThatHasBeenLeavingForTooLong(t *testing.T) {
	t.Parallel()
	f, pending, source, dest, proxy := replicatedRun(t, 800)
	proxy.SetMode(harness.CloseNew)
	proxy.CloseConnections()
	source.Crash()
	f.register(dest.ID, engineService, proxy.Address(), "draining")
	time.Sleep(2600 * time.Millisecond) // the platform's bound is 2 s
	proxy.SetMode(harness.Pass)
	<-pending
	require.Empty(t, dest.Resumed())
}
