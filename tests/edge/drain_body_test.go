package edge_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/platform/standin"
)

// The body follows the head after a moment, as many clients send it. A caller that meets a
// closed connection does not learn that its request has not run.
func TestDrainingHostClosesConnectionWhileBodyComesIn(t *testing.T) {
	const requests = 60
	f := newFleet(t)
	f.grace = 4 * time.Second
	f.configure()
	engine := f.startEngine(standin.NewEngines(), "e-1")
	h := f.startHost()
	connections := make(chan net.Conn, requests)
	for range requests {
		c, err := net.Dial("tcp", h.callerAddress)
		require.NoError(t, err)
		connections <- c
	}
	transport := &http.Transport{MaxConnsPerHost: requests, DialContext: func(context.Context, string, string) (net.Conn, error) { return <-connections, nil }}
	defer transport.CloseIdleConnections()
	h.stop()
	require.Eventually(t, func() bool { return !h.isReady() }, waitTimeout, checkInterval)
	answers := make(chan error, requests)
	for n := range requests {
		r := generationRequest(t.Context(), h, "r-"+strconv.Itoa(n), 4000)
		body, rest := io.Pipe()
		r.Body, r.ContentLength = body, -1
		go func() {
			for range 8 {
				time.Sleep(200 * time.Microsecond)
				_, _ = rest.Write(bytes.Repeat([]byte("prompt "), 1000))
			}
			_ = rest.Close()
		}()
		go func() {
			response, err := transport.RoundTrip(r)
			if err == nil {
				_ = response.Body.Close()
				require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			}
			answers <- err
		}()
	}
	lost, lastErr := 0, error(nil)
	for range requests {
		if err := <-answers; err != nil {
			lost, lastErr = lost+1, err
		}
	}
	require.Zero(t, lost, "%d of %d rejections did not reach their callers: %v", lost, requests, lastErr)
	require.Empty(t, engine.Started())
}
