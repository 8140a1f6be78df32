package api

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/api/control"
	"corianderhitch/api/problem"
	"corianderhitch/internal/document"
	"corianderhitch/internal/gateway/limits"
)

// A caller that stops reading must not block other callers, and its request can be
// resumed under the same id.
func TestSlowCallerDoesNotBlockOthersAndCanResume(t *testing.T) {
	e := newEngine(t, "one", 60000) // more tokens than socket and other buffers hold
	g := newTestGateway(t, e.address())
	conn, err := net.Dial("tcp", strings.TrimPrefix(g.server.URL, "http://"))
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte("POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + bookingKey +
		"\r\nIdempotency-Key: slow\r\nContent-Length: 45\r\n\r\n" + streamBody))
	require.NoError(t, err)
	require.Len(t, streamBody, 45)
	first := make([]byte, 1)
	_, err = conn.Read(first) // the slow caller reads nothing after this
	require.NoError(t, err)
	other := readStream(t, g.request(t, http.MethodPost, "/v1/completions", otherKey, streamBody), 1000)
	require.Len(t, other.offsets, 1000)
	resumed := readStream(t, g.request(t, http.MethodGet, "/v1/completions/slow", bookingKey, "", "Accept", "text/event-stream"), 1000)
	require.Len(t, resumed.offsets, 1000)
	require.Equal(t, 0, resumed.offsets[0])
}

// The generation goes on after its caller disconnects, and is fetched later without a
// second start.
func TestDisconnectedCallerCanFetchTheWholeAnswer(t *testing.T) {
	e := newEngine(t, "one", 50)
	blocked, release := make(chan struct{}, 1), make(chan struct{})
	e.beforeToken = func(_ string, offset int) bool {
		if offset == 20 {
			select {
			case blocked <- struct{}{}:
				<-release
			default:
			}
		}
		return true
	}
	g := newTestGateway(t, e.address())
	resp := g.request(t, http.MethodPost, "/v1/completions", bookingKey, streamBody, "Idempotency-Key", "k")
	<-blocked
	_ = resp.Body.Close()
	close(release)
	readStream(t, g.request(t, http.MethodGet, "/v1/completions/k", bookingKey, "", "Accept", "text/event-stream"), 0).requireComplete(t, 0, 50)
	require.Equal(t, 1, e.starts)
}

// A rejection while draining says "not run", but "unknown" where an earlier request with
// the same key may have run.
func TestDrainingServerRejectsNewRequestsAndFinishesStreams(t *testing.T) {
	e := newEngine(t, "one", 30)
	reached, release := make(chan struct{}, 1), make(chan struct{})
	e.beforeToken = func(_ string, offset int) bool {
		if offset == 10 {
			reached <- struct{}{}
			<-release
		}
		return true
	}
	g := newTestGateway(t, e.address())
	got := make(chan streamResult, 1)
	go func() {
		got <- readStream(t, g.request(t, http.MethodPost, "/v1/completions", bookingKey, streamBody), 0)
	}()
	<-reached
	g.api.Drain()
	d := problemOf(t, g.request(t, http.MethodPost, "/v1/completions", bookingKey, streamBody))
	require.Equal(t, problem.KindDraining, d.Kind)
	require.Equal(t, problem.RanNo, d.Ran)
	for _, path := range []string{"/v1/completions", "/services/booking/holds"} {
		g.fleet.Register(t.Context(), control.DirectoryEntry{Account: "booking", RequestID: "ran", Generation: "g"})
		d = problemOf(t, g.request(t, http.MethodPost, path, bookingKey, streamBody, "Idempotency-Key", "ran"))
		require.Equal(t, problem.KindDraining, d.Kind)
		require.Equal(t, problem.RanUnknown, d.Ran, "an earlier request with the key may have run")
	}
	close(release)
	g.api.Wait()
	(<-got).requireComplete(t, 0, 30)
}

func TestAccountLimits(t *testing.T) {
	l := limits.New()
	now := time.Now()
	bounds := document.Limits{RequestsPerSecond: 2, Concurrent: 3}
	for range 2 {
		_, err := l.Acquire("a", bounds, now)
		require.NoError(t, err)
	}
	_, err := l.Acquire("a", bounds, now)
	require.Equal(t, problem.KindAccountLimited, problem.From(err).Kind)
	require.Equal(t, 500*time.Millisecond, problem.From(err).RetryAfter)
	release, err := l.Acquire("a", bounds, now.Add(time.Second))
	require.NoError(t, err)
	_, err = l.Acquire("a", bounds, now.Add(2*time.Second))
	require.Equal(t, problem.KindAccountLimited, problem.From(err).Kind, "three are in progress")
	release()
	_, err = l.Acquire("a", bounds, now.Add(3*time.Second))
	require.NoError(t, err)
	_, err = l.Acquire("b", bounds, now)
	require.NoError(t, err)
}
