package ingress_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/draining"
	"corianderhitch/internal/edge/freshness"
	"corianderhitch/internal/edge/ingress"
	"corianderhitch/internal/edge/policy"
	"corianderhitch/platform"
	"corianderhitch/platform/standin"
)

// stubServer is a Server that answers every call, and an Observer that records nothing.
type stubServer struct{}

func (stubServer) Serve(_ context.Context, w http.ResponseWriter, _ *edge.AuthorizedCall) string {
	w.WriteHeader(http.StatusOK)
	return "answered"
}

func (stubServer) ObserveRequest(*policy.Route, string, time.Duration) {}

const key = "key-1"

// configuration returns a configuration with one route; its name is also its path
// prefix.
func configuration(t *testing.T, version int, route string, timeout time.Duration) []byte {
	t.Helper()
	c := standin.Configuration{Version: version, Timeout: timeout, PlainServices: []string{"s"}, Account: "a", Keys: []string{key},
		Routes: []standin.Route{{Name: route, Kind: standin.Idempotent, Service: "s", Attempts: 1}}}
	raw, err := c.Encode()
	require.NoError(t, err)
	return raw
}

var errStore = errors.New("store unavailable")

// A host whose hubs lost the store without noticing receives a request for a route
// that only a newer configuration contains. It must look up the newest configuration
// before it rejects the request, and must not deny the request if the lookup fails.
// A configuration must be in force within 2 s, of which 0.6 s are left for the lookup.
func TestMissingRouteIsLookedUpBeforeRejection(t *testing.T) {
	for _, c := range []struct {
		age   time.Duration
		store error
		want  int
	}{
		{1300 * time.Millisecond, nil, http.StatusNotFound}, // recent enough to reject without a lookup
		{1500 * time.Millisecond, nil, http.StatusOK},
		{1500 * time.Millisecond, errStore, http.StatusServiceUnavailable},
	} {
		synctest.Test(t, func(t *testing.T) {
			holder := policy.NewHolder(platform.DecodeConfiguration)
			_, err := holder.ApplyIfNewer(configuration(t, 1, "old", time.Second), 1)
			require.NoError(t, err)
			log := slog.New(slog.DiscardHandler)
			confirmer := freshness.New(log, func() time.Duration { return time.Hour }, func(context.Context) (bootclock.Instant, error) {
				if c.store != nil {
					return 0, c.store
				}
				_, err := holder.ApplyIfNewer(configuration(t, 2, "new", time.Second), 2)
				return bootclock.Now(), err
			})
			confirmer.RecordConfirmation(bootclock.Now().Add(-c.age))
			h := &ingress.Handler{Log: log, Wire: platform.Wire{}, Policy: holder, Confirmer: confirmer, RecheckAge: 1400 * time.Millisecond,
				Plain: stubServer{}, Streaming: stubServer{}, Observer: stubServer{}, CountRequest: func(string) {}, Drain: draining.New(0)}
			r := httptest.NewRequest(http.MethodGet, "/new/x", nil)
			r.Host = "desk.example"
			(&standin.Call{ID: "r-1", APIKey: key, Timeout: time.Second}).SetHeaders(r)
			answer := httptest.NewRecorder()
			h.ServeHTTP(answer, r)
			require.Equal(t, c.want, answer.Code, "age %v, store %v", c.age, c.store)
		})
	}
}

// A route that a newer version had removed was served for as long as the host could not get that version,
// although it had been told of it.
func TestRouteOfOutdatedConfigurationIsNotServed(t *testing.T) {
	for _, c := range []struct {
		age      time.Duration
		outdated bool
		store    error
		want     int
	}{
		{1300 * time.Millisecond, true, errStore, http.StatusOK}, // confirmed recently enough
		{1500 * time.Millisecond, false, errStore, http.StatusOK},
		{1500 * time.Millisecond, true, errStore, http.StatusServiceUnavailable},
		{1500 * time.Millisecond, true, nil, http.StatusNotFound},
	} {
		synctest.Test(t, func(t *testing.T) {
			h := newDrainHandler(t, draining.New(0))
			h.RecheckAge, h.Outdated = 1400*time.Millisecond, func() bool { return c.outdated }
			h.Confirmer = freshness.New(h.Log, func() time.Duration { return time.Hour }, func(context.Context) (bootclock.Instant, error) {
				if c.store != nil {
					return 0, c.store
				}
				_, err := h.Policy.ApplyIfNewer(configuration(t, 2, "new", time.Second), 2)
				return bootclock.Now(), err
			})
			h.Confirmer.RecordConfirmation(bootclock.Now().Add(-c.age))
			r := httptest.NewRequest(http.MethodGet, "/route/x", nil)
			r.Host = "desk.example"
			(&standin.Call{ID: "r-1", APIKey: key, Timeout: time.Second}).SetHeaders(r)
			answer := httptest.NewRecorder()
			h.ServeHTTP(answer, r)
			require.Equal(t, c.want, answer.Code, "age %v, outdated %v, store %v", c.age, c.outdated, c.store)
		})
	}
}

// newDrainHandler returns a handler with one route. Calls have a second to their deadline.
func newDrainHandler(t *testing.T, drain *draining.Drain) *ingress.Handler {
	holder := policy.NewHolder(platform.DecodeConfiguration)
	_, err := holder.ApplyIfNewer(configuration(t, 1, "route", time.Second), 1)
	require.NoError(t, err)
	log := slog.New(slog.DiscardHandler)
	confirmer := freshness.New(log, func() time.Duration { return time.Hour }, func(context.Context) (bootclock.Instant, error) { return bootclock.Now(), nil })
	return &ingress.Handler{Log: log, Wire: platform.Wire{}, Policy: holder, Confirmer: confirmer, RecheckAge: time.Hour,
		Plain: stubServer{}, Streaming: stubServer{}, Observer: stubServer{}, CountRequest: func(string) {}, Drain: drain}
}

// slowBody is the body of a caller that takes a while to send it.
type slowBody struct{ took time.Duration }

func (b slowBody) Read([]byte) (int, error) {
	time.Sleep(b.took)
	return 0, io.EOF
}

func TestSlowCallerDoesNotMakeTheDrainRejectOthers(t *testing.T) {
	drain := draining.New(500 * time.Millisecond)
	h := newDrainHandler(t, drain)
	serve := func(id string, took time.Duration) int {
		r := httptest.NewRequest(http.MethodPost, "/route/x", slowBody{took})
		r.Host = "desk.example"
		(&standin.Call{ID: id, APIKey: key, Timeout: time.Second}).SetHeaders(r)
		answer := httptest.NewRecorder()
		h.ServeHTTP(answer, r)
		return answer.Code
	}
	require.Equal(t, http.StatusOK, serve("r-1", 400*time.Millisecond))
	drain.Begin(bootclock.Now())
	require.Equal(t, http.StatusOK, serve("r-2", 0))
}

func TestPlainCallThatCannotEndIsRejectedInTheDrain(t *testing.T) {
	drain := draining.New(500 * time.Millisecond)
	drain.Record("route", draining.Pace{Start: time.Second})
	for _, want := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		r := httptest.NewRequest(http.MethodGet, "/route/x", nil)
		r.Host = "desk.example"
		(&standin.Call{ID: "r-1", APIKey: key, Timeout: time.Second}).SetHeaders(r)
		answer := httptest.NewRecorder()
		newDrainHandler(t, drain).ServeHTTP(answer, r)
		require.Equal(t, want, answer.Code)
		if want == http.StatusOK {
			drain.Begin(bootclock.Now())
		}
	}
}

// The caller has sent a part of the body when the process is to stop, or aborts its requests.
func TestRequestWhoseBodyIsComingInIsRejectedInTheDrain(t *testing.T) {
	for name, c := range map[string]struct {
		length time.Duration // of the drain
		abort  bool
	}{
		"cannot end in time": {length: 500 * time.Millisecond},
		"aborted":            {length: time.Minute, abort: true},
	} {
		t.Run(name, func(t *testing.T) {
			drain := draining.New(c.length)
			requests, abort := context.WithCancelCause(t.Context())
			server := httptest.NewUnstartedServer(newDrainHandler(t, drain))
			server.Config.BaseContext = func(net.Listener) context.Context { return requests }
			server.Start()
			defer server.Close()
			body, rest := io.Pipe()
			r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/route/x", body)
			require.NoError(t, err)
			r.Host = "desk.example"
			(&standin.Call{ID: "r-1", APIKey: key, Timeout: 10 * time.Second}).SetHeaders(r)
			go func() {
				_, _ = rest.Write([]byte("pro"))
				time.Sleep(100 * time.Millisecond)
				drain.Begin(bootclock.Now())
				if c.abort {
					abort(edge.ErrStopping)
				}
				time.Sleep(2 * time.Second)
				_ = rest.Close()
			}()
			started := time.Now()
			response, err := http.DefaultClient.Do(r)
			require.NoError(t, err)
			defer func() { _ = response.Body.Close() }()
			require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			require.Less(t, time.Since(started), time.Second)
		})
	}
}

// The caller goes on sending its body for a second, and reads the response afterwards.
func TestRejectionOfDrainingHostIsLostWhileTheBodyComesIn(t *testing.T) {
	for name, c := range map[string]struct {
		start      time.Duration // that the drain expects of a call
		atLeast    time.Duration // from the begin of the drain to the rejection
		lessThan   time.Duration
		contentLen bool
	}{
		"in chunks, cannot end in time":               {start: time.Second, lessThan: 300 * time.Millisecond},
		"of stated length, cannot end in time":        {start: time.Second, lessThan: 300 * time.Millisecond, contentLen: true},
		"comes in until the call cannot end any more": {start: 200 * time.Millisecond, atLeast: 200 * time.Millisecond, lessThan: 600 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			const parts = 20
			drain := draining.New(600 * time.Millisecond)
			drain.Record("route", draining.Pace{Start: c.start})
			h := newDrainHandler(t, drain)
			_, err := h.Policy.ApplyIfNewer(configuration(t, 2, "route", 10*time.Second), 2)
			require.NoError(t, err)
			server := httptest.NewServer(h)
			defer server.Close()
			r := httptest.NewRequest(http.MethodPost, "/route/x", nil)
			(&standin.Call{ID: "r-1", APIKey: key, Timeout: 10 * time.Second}).SetHeaders(r)
			head, part := "Transfer-Encoding: chunked", "7\r\nprompt \r\n"
			if c.contentLen {
				head, part = fmt.Sprintf("Content-Length: %d", 7*parts), "prompt "
			}
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			require.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
			_, err = fmt.Fprintf(conn, "POST /route/x HTTP/1.1\r\nHost: desk.example\r\n%s\r\n", head)
			require.NoError(t, err)
			require.NoError(t, r.Header.Write(conn))
			_, err = io.WriteString(conn, "\r\n"+part)
			require.NoError(t, err)
			time.Sleep(50 * time.Millisecond)

			drain.Begin(bootclock.Now())
			began := time.Now()
			arrived := make(chan time.Duration, 1)
			reader := bufio.NewReader(conn)
			go func() {
				_, _ = reader.Peek(1)
				arrived <- time.Since(began)
			}()
			for range parts - 1 {
				time.Sleep(50 * time.Millisecond)
				_, err := io.WriteString(conn, part)
				require.NoError(t, err, "the host closed the connection while the body came in")
			}
			after := <-arrived
			response, err := http.ReadResponse(reader, r)
			require.NoError(t, err)
			_, err = io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			require.True(t, response.Close)
			require.GreaterOrEqual(t, after, c.atLeast)
			require.Less(t, after, c.lessThan)
		})
	}
}

// The operator withdrew the last key of the only client account. Requests with that key, with one
// that was never issued and without one were served, as in a deployment without accounts.
func TestNoRequestIsServedOnceTheLastKeyIsWithdrawn(t *testing.T) {
	h := newDrainHandler(t, draining.New(time.Second))
	c := standin.Configuration{Version: 2, Timeout: time.Second, PlainServices: []string{"s"}, Account: "a",
		Routes: []standin.Route{{Name: "route", Kind: standin.Idempotent, Service: "s", Attempts: 1},
			{Name: "public", Kind: standin.Idempotent, Service: "s", Attempts: 1, Public: true}}}
	raw, err := c.Encode()
	require.NoError(t, err)
	_, err = h.Policy.ApplyIfNewer(raw, 2)
	require.NoError(t, err)
	for _, sent := range []struct {
		path, key string
		want      int
	}{{"/route/x", key, http.StatusUnauthorized}, {"/route/x", "never-issued", http.StatusUnauthorized}, {"/route/x", "", http.StatusUnauthorized},
		{"/public/x", "", http.StatusOK}} {
		r := httptest.NewRequest(http.MethodGet, sent.path, nil)
		r.Host = "desk.example"
		(&standin.Call{ID: "r-1", APIKey: sent.key, Timeout: time.Second}).SetHeaders(r)
		answer := httptest.NewRecorder()
		h.ServeHTTP(answer, r)
		require.Equal(t, sent.want, answer.Code, "path %s, key %q", sent.path, sent.key)
	}
}
