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

// proxiedEngine starts an engine behind a proxy.
func proxiedEngine(t *testing.T, f *fleet, set *standin.Engines, id string) (*standin.Engine, *harness.Proxy) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e := set.Start(id, listener)
	t.Cleanup(e.Crash)
	proxy := harness.NewProxy(t, e.Address())
	set.SetAddress(e, proxy.Address())
	f.register(e.ID, engineService, proxy.Address(), "ready")
	return e, proxy
}

func TestRunIsLostSinceTheStopOfItsFirstEngineFreesItsReplica(t *testing.T) {
	t.Parallel()
	const events = 800
	f := newFleet(t)
	f.configure()
	set := standin.NewEngines()
	source, toSource := proxiedEngine(t, f, set, "e-1")
	source.ContinueWithoutCaller()
	h := f.startHost()
	pending := sendAsync(generationRequest(t.Context(), h, "r-1", events))
	require.Eventually(t, func() bool { return len(source.Started()) == 1 }, waitTimeout, checkInterval)
	dest, toDest := proxiedEngine(t, f, set, "e-2")
	require.Eventually(t, func() bool { return strings.Contains(h.logs.String(), "backup: replication finished") }, waitTimeout, checkInterval)
	require.Equal(t, 1, dest.HeldCopies())
	toDest.SetMode(harness.CloseNew)
	toDest.CloseConnections()
	toSource.SetMode(harness.CloseNew)
	toSource.CloseConnections()
	time.Sleep(700 * time.Millisecond)
	toSource.SetMode(harness.Pass)
	time.Sleep(500 * time.Millisecond)
	toDest.SetMode(harness.Pass)
	a := <-pending
	require.NoError(t, a.err)
	require.Equal(t, standin.StreamText("r-1", events), a.body)
}

// The engine states that a copy is in progress, and ends 0.2 s later.
func TestRunIsLostWhoseEngineEndsWhileItCopies(t *testing.T) {
	t.Parallel()
	const events = 800
	f := newFleet(t)
	f.configure()
	set := standin.NewEngines()
	set.SetLink(standin.Link{Setup: 700 * time.Millisecond})
	source := f.startEngine(set, "e-1")
	source.ContinueWithoutCaller()
	h := f.startHost()
	pending := sendAsync(generationRequest(t.Context(), h, "r-1", events))
	require.Eventually(t, func() bool { return len(source.Started()) == 1 }, waitTimeout, checkInterval)
	dest := f.startEngine(set, "e-2")
	require.Eventually(t, func() bool { return strings.Contains(h.logs.String(), "backup: replication finished") }, waitTimeout, checkInterval)
	go func() { _ = source.RequestCopy("r-1", dest) }() // as for the refresh of a replica
	time.Sleep(50 * time.Millisecond)
	source.CloseStreams()
	time.Sleep(200 * time.Millisecond)
	source.Crash()
	a := <-pending
	require.NoError(t, a.err)
	require.Equal(t, standin.StreamText("r-1", events), a.body)
}
