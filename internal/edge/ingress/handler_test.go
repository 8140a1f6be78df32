package ingress_test

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/freshness"
	"corianderhitch/internal/edge/ingress"
	"corianderhitch/internal/edge/policy"
	"corianderhitch/platform"
	"corianderhitch/platform/standin"
)

// served answers every admitted call.
type served struct{}

func (served) Serve(_ context.Context, w http.ResponseWriter, _ *edge.AuthorizedCall) string {
	w.WriteHeader(http.StatusOK)
	return "answered"
}

func (served) ObserveRequest(*policy.Route, string, time.Duration) {}

const key = "key-1"

// configuration has one route, which is called as its prefix.
func configuration(t *testing.T, version int, route string) []byte {
	t.Helper()
	c := standin.Configuration{Version: version, Timeout: time.Second, PlainServices: []string{"s"}, Account: "a", Keys: []string{key},
		Routes: []standin.Route{{Name: route, Kind: standin.Idempotent, Service: "s", Attempts: 1}}}
	raw, err := c.Encode()
	require.NoError(t, err)
	return raw
}

var errStore = errors.New("the store is away")

// A host whose hubs have lost the store without its notice is asked for a route
// that a newer version has: it looks that up before it denies the request, and
// denies nothing if it cannot. The bound on a configuration is 2 s, of which 0.6 s
// are left for the lookup.
func TestRouteOfANewerVersionIsLookedUpBeforeADenial(t *testing.T) {
	for _, c := range []struct {
		age   time.Duration
		store error
		want  int
	}{
		{1300 * time.Millisecond, nil, http.StatusNotFound}, // it may be as old as that
		{1500 * time.Millisecond, nil, http.StatusOK},
		{1500 * time.Millisecond, errStore, http.StatusServiceUnavailable},
	} {
		synctest.Test(t, func(t *testing.T) {
			holder := policy.NewHolder(platform.DecodeConfiguration)
			_, err := holder.ApplyIfNewer(configuration(t, 1, "old"), 1)
			require.NoError(t, err)
			log := slog.New(slog.DiscardHandler)
			confirmer := freshness.New(log, func() time.Duration { return time.Hour }, func(context.Context) (bootclock.Instant, error) {
				if c.store != nil {
					return 0, c.store
				}
				_, err := holder.ApplyIfNewer(configuration(t, 2, "new"), 2)
				return bootclock.Now(), err
			})
			confirmer.RecordConfirmation(bootclock.Now().Add(-c.age))
			h := &ingress.Handler{Log: log, Wire: platform.Wire{}, Policy: holder, Confirmer: confirmer, RecheckAge: 1400 * time.Millisecond,
				Plain: served{}, Streaming: served{}, Observer: served{}, CountRequest: func(string) {}, Draining: func() bool { return false }}
			r := httptest.NewRequest(http.MethodGet, "/new/x", nil)
			r.Host = "desk.example"
			(&standin.Call{ID: "r-1", APIKey: key, Timeout: time.Second}).SetHeaders(r)
			answer := httptest.NewRecorder()
			h.ServeHTTP(answer, r)
			require.Equal(t, c.want, answer.Code, "age %v, store %v", c.age, c.store)
		})
	}
}
