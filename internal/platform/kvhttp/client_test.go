package kvhttp_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"corianderhitch/internal/platform"
	"corianderhitch/internal/platform/kvhttp"
	"corianderhitch/internal/platform/memstore"
	"corianderhitch/internal/standin/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startStore serves a store and returns it with a client.
func startStore(t *testing.T, options memstore.Options) (*memstore.Store, *kvhttp.Client, string) {
	t.Helper()
	state := memstore.New(options)
	server := httptest.NewServer(store.New(state).Handler())
	client := kvhttp.New(server.URL, kvhttp.Options{})
	t.Cleanup(func() {
		client.Close()
		server.Close()
		http.DefaultClient.CloseIdleConnections()
	})
	return state, client, server.URL
}

func TestAllCalls(t *testing.T) {
	ctx := t.Context()
	_, c, _ := startStore(t, memstore.Options{})
	key, value := "a/b c&d?é", []byte{0, 1, 255}
	revision, err := c.Put(ctx, key, value, platform.Absent, 0)
	require.NoError(t, err)
	entry, err := c.Get(ctx, key)
	require.NoError(t, err)
	require.Equal(t, platform.Entry{Key: key, Value: value, Revision: revision}, entry)
	lease, err := c.Grant(ctx, time.Minute)
	require.NoError(t, err)
	require.NoError(t, c.KeepAlive(ctx, lease))
	leased, err := c.Put(ctx, "a/leased", nil, platform.Absent, lease)
	require.NoError(t, err)
	entries, listed, err := c.List(ctx, "a/", "", 1)
	require.NoError(t, err)
	require.Equal(t, leased, listed)
	require.Len(t, entries, 1)
	require.NoError(t, c.Revoke(ctx, lease))
	events, next, err := c.Watch(ctx, "a/", revision)
	require.NoError(t, err)
	require.Equal(t, leased+1, next)
	require.Len(t, events, 2)
	require.True(t, events[1].Deleted)
	require.NoError(t, c.Delete(ctx, key, revision))
}

func TestErrorsMapToSentinels(t *testing.T) {
	ctx := t.Context()
	state, c, _ := startStore(t, memstore.Options{HistoryEvents: 1})
	for range 3 {
		_, err := c.Put(ctx, "k", nil, platform.AnyRevision, 0)
		require.NoError(t, err)
	}
	_, err := c.Get(ctx, "none")
	require.ErrorIs(t, err, platform.ErrNotFound)
	_, err = c.Put(ctx, "k", nil, platform.Absent, 0)
	require.ErrorIs(t, err, platform.ErrConflict)
	_, err = c.Put(ctx, "k", make([]byte, platform.MaxValueBytes+1), platform.AnyRevision, 0)
	require.ErrorIs(t, err, platform.ErrTooLarge)
	require.ErrorIs(t, c.KeepAlive(ctx, 99), platform.ErrLeaseExpired)
	_, _, err = c.Watch(ctx, "k", 1)
	require.ErrorIs(t, err, platform.ErrCompacted)
	state.SetFault(memstore.Fault{Outage: true})
	_, err = c.Put(ctx, "k", nil, platform.AnyRevision, 0)
	require.ErrorIs(t, err, platform.ErrUnavailable)
	require.NotErrorIs(t, err, platform.ErrOutcomeUnknown)
}

func TestRateLimitMapsToSentinel(t *testing.T) {
	_, c, _ := startStore(t, memstore.Options{ReadsPerSecond: 0.001})
	_, err := c.Get(t.Context(), "k")
	require.ErrorIs(t, err, platform.ErrNotFound)
	_, err = c.Get(t.Context(), "k")
	require.ErrorIs(t, err, platform.ErrRateLimited)
}

func TestLargestValueRoundTrips(t *testing.T) {
	_, c, _ := startStore(t, memstore.Options{})
	value := bytes.Repeat([]byte{0xa5}, platform.MaxValueBytes)
	_, err := c.Put(t.Context(), "k", value, platform.Absent, 0)
	require.NoError(t, err)
	entry, err := c.Get(t.Context(), "k")
	require.NoError(t, err)
	require.True(t, bytes.Equal(value, entry.Value))
}

func TestLostAnswerIsOutcomeUnknown(t *testing.T) {
	ctx := t.Context()
	state, c, _ := startStore(t, memstore.Options{})
	_, err := c.Get(ctx, "k")
	require.ErrorIs(t, err, platform.ErrNotFound, "leaves an idle connection that is reused")
	for _, write := range []func() error{
		func() error { _, err := c.Put(ctx, "k", []byte("v"), platform.Absent, 0); return err },
		func() error { _, err := c.Grant(ctx, time.Minute); return err },
		func() error { return c.Delete(ctx, "k", platform.AnyRevision) },
	} {
		before := state.Counts()
		state.SetFault(memstore.Fault{LoseNext: 1})
		require.ErrorIs(t, write(), platform.ErrOutcomeUnknown)
		require.Equal(t, before.Writes+1, state.Counts().Writes, "the client sent it once")
		require.Equal(t, before.LostAnswers+1, state.Counts().LostAnswers)
	}
}

func TestSlowWriteIsOutcomeUnknown(t *testing.T) {
	state, c, _ := startStore(t, memstore.Options{})
	state.SetFault(memstore.Fault{AnswerDelay: time.Hour})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		_, err := c.Put(ctx, "k", nil, platform.Absent, 0)
		done <- err
	}()
	require.Eventually(t, func() bool { return state.Counts().Keys == 1 }, 5*time.Second, time.Millisecond)
	cancel()
	require.ErrorIs(t, <-done, platform.ErrOutcomeUnknown)
}

func TestNoConnectionIsUnavailable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	c := kvhttp.New("http://"+address, kvhttp.Options{})
	_, err = c.Put(t.Context(), "k", nil, platform.Absent, 0)
	require.ErrorIs(t, err, platform.ErrUnavailable)
	require.NotErrorIs(t, err, platform.ErrOutcomeUnknown)
	_, err = c.Get(t.Context(), "k")
	require.ErrorIs(t, err, platform.ErrUnavailable)
}

// serveRaw writes a raw response to each connection after its first bytes, then
// closes it.
func serveRaw(t *testing.T, response string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 4096))
			_, _ = conn.Write([]byte(response))
			_ = conn.Close()
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-done
	})
	return "http://" + listener.Addr().String()
}

func TestInvalidResponseToWriteIsOutcomeUnknown(t *testing.T) {
	responses := map[string]string{
		"none":         "",
		"cut":          "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"rev",
		"no JSON":      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n<>",
		"from a proxy": "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 2\r\n\r\n<>",
		"unknown code": "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 12\r\n\r\n{\"code\":\"x\"}",
	}
	for name, response := range responses {
		t.Run(name, func(t *testing.T) {
			c := kvhttp.New(serveRaw(t, response), kvhttp.Options{})
			defer c.Close()
			_, err := c.Put(t.Context(), "k", nil, platform.Absent, 0)
			require.ErrorIs(t, err, platform.ErrOutcomeUnknown)
			_, err = c.Get(t.Context(), "k")
			require.ErrorIs(t, err, platform.ErrUnavailable)
		})
	}
}

func TestAdminChangesHostListAndFaults(t *testing.T) {
	_, c, base := startStore(t, memstore.Options{})
	target := platform.Target{Name: "e1", Address: "127.0.0.1:1", Kind: platform.TargetEngine}
	admin(t, http.MethodPut, base+"/admin/targets/e1", target, http.StatusOK)
	admin(t, http.MethodPost, base+"/admin/targets/e1/leaving", nil, http.StatusOK)
	admin(t, http.MethodPost, base+"/admin/targets/e2/leaving", nil, http.StatusNotFound)
	targets, err := c.Targets(t.Context())
	require.NoError(t, err)
	target.Leaving = true
	require.Equal(t, []platform.Target{target}, targets)
	admin(t, http.MethodPut, base+"/admin/fault", memstore.Fault{Outage: true}, http.StatusOK)
	_, err = c.Targets(t.Context())
	require.ErrorIs(t, err, platform.ErrUnavailable)
	admin(t, http.MethodPut, base+"/admin/fault", map[string]bool{"outtage": true}, http.StatusBadRequest)
	admin(t, http.MethodPut, base+"/admin/fault", memstore.Fault{}, http.StatusOK)
	admin(t, http.MethodDelete, base+"/admin/targets/e1", nil, http.StatusOK)
	targets, err = c.Targets(t.Context())
	require.NoError(t, err)
	require.Empty(t, targets)
}

func admin(t *testing.T, method, url string, body any, status int) {
	t.Helper()
	encoded, err := json.Marshal(body)
	require.NoError(t, err)
	request, err := http.NewRequestWithContext(t.Context(), method, url, bytes.NewReader(encoded))
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, status, response.StatusCode)
}

func TestReplyWithLargeHeadIsAnError(t *testing.T) {
	for name, c := range map[string]struct {
		bytes int
		want  error
	}{"within the bound": {32 << 10, nil}, "beyond it": {128 << 10, platform.ErrUnavailable}} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Filler", strings.Repeat("x", c.bytes))
				_, _ = w.Write([]byte("{}"))
			}))
			defer server.Close()
			client := kvhttp.New(server.URL, kvhttp.Options{})
			defer client.Close()
			_, err := client.Get(t.Context(), "a")
			require.ErrorIs(t, err, c.want)
		})
	}
}
