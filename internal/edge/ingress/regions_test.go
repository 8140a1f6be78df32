package ingress_test

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/draining"
	"corianderhitch/internal/edge/freshness"
	"corianderhitch/internal/edge/ingress"
	"corianderhitch/internal/edge/policy"
	"corianderhitch/internal/edge/region"
	"corianderhitch/platform"
	"corianderhitch/platform/standin"
)

// notingServer notes the calls that it is to serve.
type notingServer struct {
	stubServer
	calls []*edge.AuthorizedCall
}

func (s *notingServer) Serve(_ context.Context, w http.ResponseWriter, a *edge.AuthorizedCall) string {
	s.calls = append(s.calls, a)
	w.WriteHeader(http.StatusOK)
	return edge.OutcomeAnswered
}

// The regions of a call are those of its route and its account, as of its authorization.
func TestCallGetsTheRegionsOfItsRouteAndItsAccount(t *testing.T) {
	route := func(name string, public bool, regions ...string) policy.Route {
		return policy.Route{Name: name, Host: "desk.example", Prefix: "/" + name + "/", Kind: policy.Idempotent, Timeout: time.Second, MaxAttempts: 1,
			Public: public, AllowedRegions: regions, Backends: []policy.Backend{{Service: "s", Weight: 1}}}
	}
	holder := policy.NewHolder(func([]byte) (*policy.Configuration, error) {
		return policy.New(1, policy.Limits{}, []policy.Route{route("both", false, "x", "z"), route("open", false), route("public", true)},
			[]policy.Service{{Name: "s"}}, []policy.Account{{Name: "a", Keys: []string{"key-1"}, AllowedRegions: []string{"x", "y"}}, {Name: "b", Keys: []string{"key-2"}}}), nil
	})
	_, err := holder.ApplyIfNewer(nil, 1)
	require.NoError(t, err)
	log, server := slog.New(slog.DiscardHandler), &notingServer{}
	confirmer := freshness.New(log, func() time.Duration { return time.Hour }, func(context.Context) (bootclock.Instant, error) { return bootclock.Now(), nil })
	h := &ingress.Handler{Log: log, Wire: platform.Wire{}, Policy: holder, Confirmer: confirmer, RecheckAge: time.Hour,
		Plain: server, Streaming: server, Observer: stubServer{}, CountRequest: func(string) {}, Drain: draining.New(0)}
	for _, c := range []struct {
		route, key string
		want       region.Set
	}{
		{"both", "key-1", region.Set{Restricted: true, Names: []string{"x"}}},
		{"both", "key-2", region.Set{Restricted: true, Names: []string{"x", "z"}}},
		{"open", "key-1", region.Set{Restricted: true, Names: []string{"x", "y"}}},
		{"open", "key-2", region.Set{}},
		{"public", "key-1", region.Set{}}, // no account on public routes
	} {
		r := httptest.NewRequest(http.MethodGet, "/"+c.route+"/x", nil)
		r.Host = "desk.example"
		(&standin.Call{ID: "r-1", APIKey: c.key, Timeout: time.Second}).SetHeaders(r)
		answer := httptest.NewRecorder()
		h.ServeHTTP(answer, r)
		require.Equal(t, http.StatusOK, answer.Code)
		require.Equal(t, c.want, server.calls[len(server.calls)-1].Regions, "%s %s", c.route, c.key)
	}
}
