package targetgate

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/node"
	"corianderhitch/internal/edge/targetconn"
	"corianderhitch/internal/edge/targetnotice"
	"corianderhitch/internal/edge/warmup"
)

// coldGate returns the gate of a host without a share of the cold target a@1.
func coldGate() *Gate {
	g, _, _, _ := newGate()
	g.Warmup = warmup.New(slog.New(slog.DiscardHandler), "host", node.ColdBound{Factor: 1.5, Slack: 5}, func(string) (float64, time.Duration) { return 31, time.Minute })
	g.Notices.Warmup = g.Warmup
	g.Warmup.ObserveEntry("a@1", "s", 1, time.Minute, bootclock.Now())
	return g
}

// A permit of the hub stands for this host's share of what a cold target bears, and for nothing else.
func TestPermitOfTheHubAllowsSendsToAColdTarget(t *testing.T) {
	g := coldGate()
	permitted := request()
	permitted.PermitUntil = bootclock.Now().Add(time.Minute)
	require.Equal(t, targetnotice.Cold, g.Check("a@1", request()))
	require.Equal(t, targetnotice.Allowed, g.Check("a@1", permitted))
	require.Equal(t, targetnotice.Allowed, admit(g, "a@1", permitted))

	late := request()
	late.PermitUntil = bootclock.Now()
	require.Equal(t, targetnotice.Cold, g.Check("a@1", late))
	require.Equal(t, targetnotice.Cold, admit(g, "a@1", late))

	g.Observe("a@1", address, request(), http.StatusServiceUnavailable, http.Header{"Pause": {"1"}}, false)
	require.Equal(t, targetnotice.Paused, g.Check("a@1", permitted))
	require.Equal(t, targetnotice.Paused, admit(g, "a@1", permitted))
}

// The failure guarded against: a request that is sent once more takes nothing from any share.
func TestPermitOfTheHubIsForOneSend(t *testing.T) {
	g := coldGate()
	target := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer target.Close()
	pool := targetconn.New(func(http.Header) string { return "" }, g, func(string) float64 { return 0 })
	r := request()
	r.Method, r.URI, r.Host, r.PermitUntil = http.MethodGet, "/", "a", bootclock.Now().Add(time.Minute)
	response, err := pool.Do(t.Context(), "a@1", target.Listener.Addr().String(), r)
	require.NoError(t, err)
	response.Close()
	_, err = pool.Do(t.Context(), "a@1", target.Listener.Addr().String(), r)
	require.ErrorIs(t, err, targetconn.ErrRefused)
}
