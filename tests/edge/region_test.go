package edge_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	ports "corianderhitch/internal/platform"
	"corianderhitch/platform"
	"corianderhitch/platform/standin"
)

// registerEngineIn writes the entry of an engine in a failure domain.
func (f *fleet) registerEngineIn(domain string, e *standin.Engine, state string) {
	_, err := f.store.Put(f.t.Context(), platform.TargetPrefix+e.ID, standin.TargetEntryIn(domain, engineService, e.Address(), state, 6), ports.AnyRevision, 0)
	require.NoError(f.t, err)
}

// The engine of a run leaves. The run moves to the engine in an allowed region, although the other one
// is as empty and in the domain of the source. When only that one is left, runs are rejected at once.
func TestRunMovesAndStartsOnlyInAllowedRegions(t *testing.T) {
	t.Parallel()
	f, set := newFleet(t), standin.NewEngines()
	f.regions, f.allowed = map[string]string{"a": "north", "b": "south", "c": "north"}, []string{"north"}
	f.configure()
	source, forbidden := f.startEngine(set, "e-1"), f.startEngine(set, "e-2")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	allowed := set.Start("e-3", listener)
	t.Cleanup(allowed.Crash)
	f.registerEngineIn("a", source, "ready")
	f.registerEngineIn("b", forbidden, "ready")
	h := f.startHost()
	pending := sendAsync(generationRequest(t.Context(), h, "r-1", 600))
	<-source.FirstRun()
	f.registerEngineIn("c", allowed, "ready")
	time.Sleep(time.Second) // the host learns of it
	f.registerEngineIn("a", source, "draining")
	a := <-pending
	require.NoError(t, a.err)
	require.Equal(t, standin.StreamText("r-1", 600), a.body)
	require.Equal(t, []string{"r-1"}, allowed.Resumed())
	f.registerEngineIn("c", allowed, "draining")
	require.Eventually(t, func() bool {
		started := time.Now()
		a = send(generationRequest(t.Context(), h, "r-2", 4))
		return a.status == http.StatusServiceUnavailable && time.Since(started) < 500*time.Millisecond
	}, waitTimeout, checkInterval)
	require.Contains(t, a.body, "no_target")
	require.Empty(t, forbidden.Requests())
	require.Zero(t, forbidden.HeldCopies())
}
