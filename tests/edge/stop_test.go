package edge_test

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge"
	"corianderhitch/platform"
	"corianderhitch/platform/standin"
)

// newAbortingFleet returns a fleet whose hosts soon abort the requests that remain.
func newAbortingFleet(t *testing.T) *fleet {
	f := newFleet(t)
	f.grace, f.logLevel = time.Second, "error"
	return f
}

func TestAbortedCallGetsNoAnswer(t *testing.T) {
	f := newAbortingFleet(t)
	f.configure()
	target := f.startPlainTarget("d-1")
	target.SetHandler(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	h := f.startHost()
	pending := sendAsync(h.request(t.Context(), http.MethodPost, "hold", "r-1", nil))
	require.Eventually(t, func() bool { return len(target.Requests()) == 1 }, waitTimeout, checkInterval)
	h.stop()
	a := <-pending
	require.NoError(t, a.err)
	require.Equal(t, http.StatusBadGateway, a.status)
}

func TestAbortedStreamGetsNoAnswerBeforeItsFirstEvent(t *testing.T) {
	f := newAbortingFleet(t)
	f.configure()
	engine := f.startEngine(standin.NewEngines(), "e-1")
	engine.StopAnswering()
	h := f.startHost()
	pending := sendAsync(generationRequest(t.Context(), h, "r-1", longGeneration))
	require.Eventually(t, func() bool { return len(engine.Started()) == 1 }, waitTimeout, checkInterval)
	h.stop()
	a := <-pending
	require.NoError(t, a.err)
	require.Equal(t, http.StatusBadGateway, a.status)
}

// slowWire keeps the handler of a request running for a while after the request was aborted.
type slowWire struct {
	platform.Wire
	handled *atomic.Int32
}

func (w slowWire) Decode(r *http.Request) edge.Call {
	<-r.Context().Done()
	time.Sleep(50 * time.Millisecond)
	w.handled.Add(1)
	return w.Wire.Decode(r)
}

func TestProcessEndsBeforeHandlerOfAbortedRequest(t *testing.T) {
	var handled atomic.Int32
	f := newAbortingFleet(t)
	f.wire = slowWire{handled: &handled}
	f.configure()
	f.startPlainTarget("d-1")
	h := f.startHost()
	sendAsync(h.request(t.Context(), http.MethodPost, "hold", "r-1", nil))
	time.Sleep(100 * time.Millisecond)
	h.stop()
	err := <-h.done
	ended := handled.Load()
	h.done <- err
	require.EqualValues(t, 1, ended, "handlers that had ended when the process did")
}

func TestDrainingHostKeepsConnectionOfAnsweredRequest(t *testing.T) {
	f := newFleet(t)
	f.grace = 4 * time.Second
	f.configure()
	f.startPlainTarget("d-1")
	f.startEngine(standin.NewEngines(), "e-1")
	h := f.startHost()
	h.stop()
	require.Eventually(t, func() bool { return !h.isReady() }, waitTimeout, checkInterval)
	for _, r := range []*http.Request{
		h.request(t.Context(), http.MethodPost, "hold", "r-1", nil),
		generationRequest(t.Context(), h, "r-2", shortGeneration),
	} {
		response, err := (&http.Transport{}).RoundTrip(r)
		require.NoError(t, err)
		_, err = io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
		if !response.Close {
			t.Errorf("the caller may send its next request on the connection of %s", r.URL.Path)
		}
	}
}

// A process that runs on is killed, with the last lines of its log and its traces.
func TestProcessOutlivesGrace(t *testing.T) {
	for name, hold := range map[string]func(t *testing.T, h *host){
		"store hangs": func(_ *testing.T, h *host) { h.store.hangRevoke.Store(true) },
		"silent connection to the readiness port": func(t *testing.T, h *host) {
			conn, err := net.Dial("tcp", h.readinessAddress)
			require.NoError(t, err)
			t.Cleanup(func() { _ = conn.Close() })
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newAbortingFleet(t)
			f.configure()
			f.startEngine(standin.NewEngines(), "e-1")
			h := f.startHost()
			response, err := client().Do(generationRequest(t.Context(), h, "r-1", 4000))
			require.NoError(t, err)
			defer func() { _ = response.Body.Close() }()
			hold(t, h)
			stoppedAt := time.Now()
			h.stop()
			err = <-h.done
			took := time.Since(stoppedAt)
			h.done <- err
			require.Less(t, took, f.grace)
		})
	}
}

func TestLogTellsAbortOfTheHostFromCallerThatLeft(t *testing.T) {
	f := newAbortingFleet(t)
	f.logLevel = "info"
	f.configure()
	f.startEngine(standin.NewEngines(), "e-1")
	h := f.startHost()
	response, err := client().Do(generationRequest(t.Context(), h, "r-1", 4000))
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	h.stop()
	err = <-h.done
	h.done <- err
	require.Contains(t, h.logs.String(), `"reason":"host_stopping"`)
	require.NotContains(t, h.logs.String(), `"reason":"caller_gone"`)
}
