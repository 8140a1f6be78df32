package edge_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/platform/headers"
	"corianderhitch/platform/standin"
)

// startUnframedEngines starts one host and n engines whose answers have neither a length nor
// chunks.
func startUnframedEngines(t *testing.T, n int) (*fleet, *host, []*standin.Engine) {
	f, h, engines := startEngineFleet(t, n)
	for _, e := range engines {
		e.EndWithConnection()
	}
	return f, h, engines
}

// requireFramed requires that the end of an answer doesn't depend on the end of its connection.
func requireFramed(t *testing.T, r *http.Request) {
	t.Helper()
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(r)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	require.True(t, response.ContentLength >= 0 || len(response.TransferEncoding) == 1, "neither a length nor chunks")
}

func TestAnswerWithoutLengthIsForwardedWithFraming(t *testing.T) {
	t.Parallel()
	signed := func(version, more, body string) func(http.ResponseWriter, *http.Request) {
		return func(w http.ResponseWriter, r *http.Request) {
			writeRaw(w, fmt.Sprintf("%s 200 OK\r\n%s: s\r\n%s: %s\r\n%s\r\n%s", version, headers.Signature, headers.RequestID, r.Header.Get(headers.RequestID), more, body))
		}
	}
	large := strings.Repeat("0123456789abcdef", 20000)
	for name, c := range map[string]struct {
		handler func(http.ResponseWriter, *http.Request)
		want    string
	}{
		"connection announced to close": {nil, "done r-1"},
		"close not announced":           {signed("HTTP/1.1", "", "done r-1"), "done r-1"},
		"HTTP/1.0":                      {signed("HTTP/1.0", "", "done r-1"), "done r-1"},
		"announced to be kept alive":    {signed("HTTP/1.1", "Connection: keep-alive\r\n", "done r-1"), "done r-1"},
		"large":                         {signed("HTTP/1.1", "", large), large},
		"empty":                         {signed("HTTP/1.1", "", ""), ""},
	} {
		t.Run(name, func(t *testing.T) {
			_, h, targets := startPlainFleet(t, 1)
			targets[0].EndWithConnection()
			targets[0].SetHandler(c.handler)
			for _, route := range []string{"hold", "check"} {
				for range 3 {
					a := send(h.request(t.Context(), http.MethodPost, route, "r-1", nil))
					require.NoError(t, a.err)
					require.Equal(t, http.StatusOK, a.status)
					require.Equal(t, c.want, a.body)
				}
				requireFramed(t, h.request(t.Context(), http.MethodPost, route, "r-1", nil))
			}
		})
	}
}

func TestFailureWithoutLengthIsForwarded(t *testing.T) {
	t.Parallel()
	_, h, targets := startPlainFleet(t, 1)
	targets[0].EndWithConnection()
	targets[0].SetHandler(standin.Fail)
	a := send(h.request(t.Context(), http.MethodPost, "hold", "r-1", nil))
	require.NoError(t, a.err)
	require.Equal(t, http.StatusInternalServerError, a.status)
	targets[0].SetHandler(standin.Reject)
	a = send(h.request(t.Context(), http.MethodPost, "hold", "r-2", nil))
	require.NoError(t, a.err)
	require.Equal(t, http.StatusServiceUnavailable, a.status)
}

// The answer of a call that may run again comes from another target.
func TestResetAnswerWithoutLengthIsNotTakenForComplete(t *testing.T) {
	t.Parallel()
	_, h, targets := startPlainFleet(t, 2)
	for _, target := range targets {
		target.EndWithConnection()
	}
	targets[0].SetHandler(standin.BreakOff)
	for i := range 6 {
		a := send(h.request(t.Context(), http.MethodGet, "check", fmt.Sprintf("c-%d", i), nil))
		require.NoError(t, a.err)
		require.Equal(t, http.StatusOK, a.status)
		require.Equal(t, fmt.Sprintf("done c-%d", i), a.body)
	}
	targets[1].SetHandler(standin.BreakOff)
	for i := range 6 {
		a := send(h.request(t.Context(), http.MethodPost, "hold", fmt.Sprintf("h-%d", i), nil))
		require.True(t, a.err != nil || a.status == http.StatusBadGateway, "status %d, %q", a.status, a.body)
	}
}

// The answer is larger than what the host may hold back, so that its reset comes after its
// head has been forwarded.
func TestLargeAnswerWithoutLengthThatIsResetIsVisiblyBroken(t *testing.T) {
	t.Parallel()
	_, h, targets := startPlainFleet(t, 1)
	targets[0].SetHandler(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: s\r\n\r\n", headers.Signature)
		for range 40 {
			_, _ = conn.Write([]byte(strings.Repeat("0123456789abcdef", 2000)))
			time.Sleep(time.Millisecond)
		}
		time.Sleep(50 * time.Millisecond)
		standin.Reset(conn)
	})
	for _, route := range []string{"hold", "check"} {
		a := send(h.request(t.Context(), http.MethodPost, route, "r-1", nil))
		require.True(t, a.err != nil || a.status == http.StatusBadGateway, "status %d, %d bytes", a.status, len(a.body))
	}
}

func TestStreamWithoutChunksIsForwardedWithFraming(t *testing.T) {
	t.Parallel()
	_, h, engines := startUnframedEngines(t, 1)
	for name, request := range map[string]func(id string) *http.Request{
		"draft":  func(id string) *http.Request { return generationRequest(t.Context(), h, id, shortGeneration) },
		"lookup": func(id string) *http.Request { return resumableRequest(t.Context(), h, id, shortGeneration, 0) },
	} {
		t.Run(name, func(t *testing.T) {
			for i := range 3 {
				id := fmt.Sprintf("%s-%d", name, i)
				a := send(request(id))
				require.NoError(t, a.err)
				require.Equal(t, http.StatusOK, a.status)
				require.Equal(t, standin.StreamText(id, shortGeneration), a.body)
				require.Equal(t, "signed", a.header.Get(headers.Signature))
			}
			requireFramed(t, request(name))
		})
	}
	a := send(resumableRequest(t.Context(), h, "r-1", shortGeneration, shortGeneration))
	require.NoError(t, a.err)
	require.Equal(t, http.StatusOK, a.status)
	require.Empty(t, a.body, "the caller already has the last event")
	require.Empty(t, engines[0].Canceled())
}

// breakOffs are the ways in which a stream without chunks ends too soon.
var breakOffs = map[string]func(*standin.Engine){
	"closed in an event": func(e *standin.Engine) { e.CutWithinEvent(e.EventsProduced("r-1") + 5) },
	"reset in an event":  func(e *standin.Engine) { e.ResetWithinEvent(e.EventsProduced("r-1") + 5) },
	"streams are reset":  (*standin.Engine).CloseStreams,
	"crash":              (*standin.Engine).Crash,
}

func TestBrokenStreamWithoutChunksIsVisiblyBroken(t *testing.T) {
	t.Parallel()
	for name, breakOff := range breakOffs {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, h, engines := startUnframedEngines(t, 2)
			pending := sendAsync(generationRequest(t.Context(), h, "r-1", longGeneration))
			source, others := waitForBusyEngine(t, engines)
			require.Eventually(t, func() bool { return source.EventsProduced("r-1") >= 20 }, waitTimeout, checkInterval)
			breakOff(source)
			a := <-pending
			require.Error(t, a.err)
			require.True(t, strings.HasPrefix(standin.StreamText("r-1", longGeneration), a.body))
			require.Empty(t, others[0].Started())
		})
	}
}

func TestBrokenStreamWithoutChunksContinuesAtReplica(t *testing.T) {
	t.Parallel()
	for name, breakOff := range breakOffs {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, h, engines := startUnframedEngines(t, 2)
			const events = 800
			pending := sendAsync(generationRequest(t.Context(), h, "r-1", events))
			source, others := waitForBusyEngine(t, engines)
			require.Eventually(t, func() bool { return logContains(h, `"result":"copied"`) }, waitTimeout, checkInterval)
			breakOff(source)
			a := <-pending
			require.NoError(t, a.err)
			require.Equal(t, standin.StreamText("r-1", events), a.body)
			require.Equal(t, []string{"r-1"}, others[0].Resumed())
		})
	}
}

func TestBrokenResumableStreamWithoutChunksContinuesAtAnotherEngine(t *testing.T) {
	t.Parallel()
	for name, breakOff := range breakOffs {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, h, engines := startUnframedEngines(t, 2)
			pending := sendAsync(resumableRequest(t.Context(), h, "r-1", longGeneration, 0))
			source, others := waitForBusyEngine(t, engines)
			require.Eventually(t, func() bool { return source.EventsProduced("r-1") >= 20 }, waitTimeout, checkInterval)
			breakOff(source)
			a := <-pending
			require.NoError(t, a.err)
			require.Equal(t, standin.StreamText("r-1", longGeneration), a.body)
			require.Equal(t, []string{"r-1"}, others[0].Restarted())
		})
	}
}

func TestRunWithoutChunksMigratesOffLeavingEngine(t *testing.T) {
	t.Parallel()
	f, h, engines := startUnframedEngines(t, 2)
	pending := sendAsync(generationRequest(t.Context(), h, "r-1", longGeneration))
	source, others := waitForBusyEngine(t, engines)
	f.register(source.ID, engineService, source.Address(), "draining")
	a := <-pending
	require.NoError(t, a.err)
	require.Equal(t, standin.StreamText("r-1", longGeneration), a.body)
	require.Equal(t, []string{"r-1"}, others[0].Resumed())
}

// Raw engines break streams off where the stand-in does not.
func TestStreamWithoutChunksThatEndsTooSoonIsVisiblyBroken(t *testing.T) {
	t.Parallel()
	head := "HTTP/1.1 200 OK\r\n" + headers.RequestID + ": r-1\r\n" + headers.Signature + ": s\r\nContent-Type: text/event-stream\r\n\r\n"
	event := standin.EventText("r-1", 1)
	for name, text := range map[string]string{
		"in the head":            head[:len(head)/2],
		"in a field":             head + event + "id: 2\nda",
		"after a line":           head + event + "id: 2\n",
		"before the empty line":  head + event + "id: 2\ndata: event 2 of r-1\n",
		"in the first event":     head + "id: 1\ndata: ev",
		"in a comment":           head + event + ": keep",
		"after a field's return": head + event + "id: 2\r",
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.configure()
			f.startClosingEngine("e-1", text)
			h := f.startHost()
			a := send(generationRequest(t.Context(), h, "r-1", 2))
			require.True(t, a.err != nil || a.status == http.StatusBadGateway, "status %d, %q", a.status, a.body)
			require.True(t, a.status != http.StatusOK || strings.HasPrefix(event, a.body), "%q", a.body)
		})
	}
}

// startClosingEngine starts and registers an engine that answers each generation with the
// raw text and closes the connection. Its control calls fail.
func (f *fleet) startClosingEngine(id, text string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headers.Target) == "" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeRaw(w, text)
	})}
	f.t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	f.register(id, engineService, listener.Addr().String(), "ready")
}
