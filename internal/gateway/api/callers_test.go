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

func TestSlowCallerBlocksNobodyAndMayResume(t *testing.T) {
	e := newEngine(t, "one", 60000) // more than sockets and buffers hold
	b := newBench(t, e.address())
	conn, err := net.Dial("tcp", strings.TrimPrefix(b.server.URL, "http://"))
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte("POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + bookingKey +
		"\r\nIdempotency-Key: slow\r\nContent-Length: 45\r\n\r\n" + streamBody))
	require.NoError(t, err)
	require.Len(t, streamBody, 45)
	first := make([]byte, 1)
	_, err = conn.Read(first) // and then reads no more
	require.NoError(t, err)
	quick := readStream(t, b.request(t, http.MethodPost, "/v1/completions", otherKey, streamBody), 1000)
	require.Len(t, quick.offsets, 1000)
	again := readStream(t, b.request(t, http.MethodGet, "/v1/completions/slow", bookingKey, "", "Accept", "text/event-stream"), 1000)
	require.Len(t, again.offsets, 1000)
	require.Equal(t, 0, again.offsets[0])
}

func TestCallerThatLeavesMayComeBackForTheWholeAnswer(t *testing.T) {
	e := newEngine(t, "one", 50)
	blocked, release := make(chan struct{}, 1), make(chan struct{})
	e.before = func(_ string, offset int) bool {
		if offset == 20 {
			select {
			case blocked <- struct{}{}:
				<-release
			default:
			}
		}
		return true
	}
	b := newBench(t, e.address())
	resp := b.request(t, http.MethodPost, "/v1/completions", bookingKey, streamBody, "Idempotency-Key", "k")
	<-blocked
	_ = resp.Body.Close()
	close(release)
	readStream(t, b.request(t, http.MethodGet, "/v1/completions/k", bookingKey, "", "Accept", "text/event-stream"), 0).requireWhole(t, 0, 50)
	require.Equal(t, 1, e.starts)
}

func TestDrainingServerRefusesAsNotRunAndFinishesStreams(t *testing.T) {
	e := newEngine(t, "one", 30)
	reached, release := make(chan struct{}, 1), make(chan struct{})
	e.before = func(_ string, offset int) bool {
		if offset == 10 {
			reached <- struct{}{}
			<-release
		}
		return true
	}
	b := newBench(t, e.address())
	got := make(chan streamed, 1)
	go func() {
		got <- readStream(t, b.request(t, http.MethodPost, "/v1/completions", bookingKey, streamBody), 0)
	}()
	<-reached
	b.api.Drain()
	d := problemOf(t, b.request(t, http.MethodPost, "/v1/completions", bookingKey, streamBody))
	require.Equal(t, problem.KindDraining, d.Kind)
	require.Equal(t, problem.RanNo, d.Ran)
	for _, path := range []string{"/v1/completions", "/services/booking/holds"} {
		b.fleet.Register(t.Context(), control.DirectoryEntry{Account: "booking", RequestID: "ran", Generation: "g"})
		d = problemOf(t, b.request(t, http.MethodPost, path, bookingKey, streamBody, "Idempotency-Key", "ran"))
		require.Equal(t, problem.KindDraining, d.Kind)
		require.Equal(t, problem.RanUnknown, d.Ran, "an earlier sending may have run")
	}
	close(release)
	b.api.Wait()
	(<-got).requireWhole(t, 0, 30)
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
	leave, err := l.Acquire("a", bounds, now.Add(time.Second))
	require.NoError(t, err)
	_, err = l.Acquire("a", bounds, now.Add(2*time.Second))
	require.Equal(t, problem.KindAccountLimited, problem.From(err).Kind, "three are in progress")
	leave()
	_, err = l.Acquire("a", bounds, now.Add(3*time.Second))
	require.NoError(t, err)
	_, err = l.Acquire("b", bounds, now)
	require.NoError(t, err)
}
