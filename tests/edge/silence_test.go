package edge_test

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/platform/standin"
	"corianderhitch/tests/harness"
)

// targetSilence is how long a sound engine sends nothing. It is longer than what makes a run
// continue elsewhere and shorter than what callers wait for the next event.
const targetSilence = 1500 * time.Millisecond

// startFleetWithSilence starts one host and n engines that pause once before the given event
// of run r-1: all of them, so that the run meets the silence wherever it executes.
func startFleetWithSilence(t *testing.T, n, event int) (*host, []*standin.Engine) {
	f := newFleet(t)
	f.configure()
	set := standin.NewEngines()
	var silent atomic.Bool
	set.SetEventInterval(func(request string, n int) time.Duration {
		if request == "r-1" && n == event && !silent.Swap(true) {
			return targetSilence
		}
		return standin.EventInterval
	})
	var engines []*standin.Engine
	for i := range n {
		engines = append(engines, f.startEngine(set, []string{"e-1", "e-2", "e-3"}[i]))
	}
	return f.startHost(), engines
}

func TestSilentEngineIsLeftForLostReplica(t *testing.T) {
	t.Parallel()
	const events, silentBefore = 800, 400
	h, engines := startFleetWithSilence(t, 2, silentBefore)
	pending := sendAsync(generationRequest(t.Context(), h, "r-1", events))
	source, others := waitForBusyEngine(t, engines)
	waitForReplica(t, h)
	require.Equal(t, 1, others[0].HeldCopies())
	require.Eventually(t, func() bool { return source.EventsProduced("r-1") == silentBefore-1 }, waitTimeout, checkInterval)
	time.Sleep(50 * time.Millisecond) // the run is silent
	others[0].DropCopies()
	a := <-pending
	require.NoError(t, a.err)
	require.Equal(t, standin.StreamText("r-1", events), a.body)
}

func TestSilentEngineIsLeftForSilentReplica(t *testing.T) {
	t.Parallel()
	const events, silentBefore = 800, 400
	h, engines := startFleetWithSilence(t, 2, silentBefore)
	pending := sendAsync(generationRequest(t.Context(), h, "r-1", events))
	source, others := waitForBusyEngine(t, engines)
	waitForReplica(t, h)
	require.Equal(t, 1, others[0].HeldCopies())
	require.Eventually(t, func() bool { return source.EventsProduced("r-1") == silentBefore-1 }, waitTimeout, checkInterval)
	others[0].StopAnswering()
	a := <-pending
	require.NoError(t, a.err)
	require.Equal(t, standin.StreamText("r-1", events), a.body)
}

func TestSilentEngineOfResumableStreamIsLeftWithoutAnotherEngine(t *testing.T) {
	t.Parallel()
	const events, silentBefore = 60, 30
	h, _ := startFleetWithSilence(t, 1, silentBefore)
	a := send(resumableRequest(t.Context(), h, "r-1", events, 0))
	require.NoError(t, a.err)
	require.Equal(t, standin.StreamText("r-1", events), a.body)
}

func TestSilentEngineOfResumableStreamIsLeftForOneThatDoesNotAnswer(t *testing.T) {
	t.Parallel()
	const events, silentBefore = 60, 30
	h, engines := startFleetWithSilence(t, 2, silentBefore)
	pending := sendAsync(resumableRequest(t.Context(), h, "r-1", events, 0))
	source, others := waitForBusyEngine(t, engines)
	require.Eventually(t, func() bool { return source.EventsProduced("r-1") > 0 }, waitTimeout, checkInterval)
	others[0].StopAnswering()
	a := <-pending
	require.NoError(t, a.err)
	require.Equal(t, standin.StreamText("r-1", events), a.body)
}

// startSilence is how long a sound engine takes for the first event: longer than the delay
// after which an engine that has not begun to answer is suspected.
const startSilence = 3500 * time.Millisecond

func TestEngineSilentBeforeHeadIsLeftWithoutAnotherEngine(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure()
	set := standin.NewEngines()
	engine := f.startEngine(set, "e-1")
	h := f.startHost()
	engine.DelayHeads(startSilence)
	var pending []<-chan answer
	for _, id := range []string{"r-1", "r-2", "r-3", "r-4"} { // several, so that the engine counts as failing
		pending = append(pending, sendAsync(resumableRequest(t.Context(), h, id, shortGeneration, 0)))
	}
	for _, p := range pending {
		a := <-p
		require.NoError(t, a.err)
		require.Equal(t, http.StatusOK, a.status)
	}
}

func TestRunIsLostWhileTheEngineOfItsReplicaAcceptsNoConnections(t *testing.T) {
	t.Parallel()
	const events, unreachableFor = 800, 700 * time.Millisecond
	f := newFleet(t)
	f.configure()
	set := standin.NewEngines()
	source := f.startEngine(set, "e-1")
	h := f.startHost()
	pending := sendAsync(generationRequest(t.Context(), h, "r-1", events))
	require.Eventually(t, func() bool { return len(source.Started()) == 1 }, waitTimeout, checkInterval)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	dest := set.Start("e-2", listener)
	t.Cleanup(dest.Crash)
	proxy := harness.NewProxy(t, dest.Address())
	set.SetAddress(dest, proxy.Address())
	f.register(dest.ID, engineService, proxy.Address(), "ready")
	waitForReplica(t, h)
	require.Equal(t, 1, dest.HeldCopies())
	proxy.StopListening()
	source.Crash()
	time.Sleep(unreachableFor)
	proxy.Listen(t)
	a := <-pending
	require.NoError(t, a.err)
	require.Equal(t, standin.StreamText("r-1", events), a.body)
	require.Equal(t, []string{"r-1"}, dest.Resumed())
}
