package api

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/metric/noop"

	"corianderhitch/api/completion"
	"corianderhitch/api/control"
	"corianderhitch/api/problem"
	"corianderhitch/internal/document"
	"corianderhitch/internal/engineclient"
	"corianderhitch/internal/gateway/fleet"
	"corianderhitch/internal/gateway/metrics"
	"corianderhitch/internal/gateway/runner"
	"corianderhitch/internal/logging"
	"corianderhitch/internal/outbound"
	"corianderhitch/internal/platform"
	"corianderhitch/internal/tlskeys"
)

const (
	bookingKey = "key-of-booking"
	otherKey   = "key-of-other"
)

// fakeFleet admits each request to the first engine that is not avoided, and keeps the
// directory in memory.
type fakeFleet struct {
	*fleet.Fleet
	index     *document.Index
	engines   []platform.Target
	rejection *problem.Error

	mu      sync.Mutex
	entries map[control.DirectoryKey]control.DirectoryEntry // guarded by mu
	events  []control.Event                                 // of the last admission, guarded by mu
}

func (f *fakeFleet) View() *fleet.View { return &fleet.View{Index: f.index} }

func (f *fakeFleet) Admit(_ context.Context, args control.AdmitArgs) (*fleet.Slot, error) {
	if f.rejection != nil {
		return nil, f.rejection
	}
	f.mu.Lock()
	f.events = args.News
	f.mu.Unlock()
	for _, t := range f.engines {
		if !strings.Contains(strings.Join(args.Avoid, ","), t.Name) {
			return f.AttachedSlot(t, args.Fingerprint), nil
		}
	}
	return nil, problem.New(problem.KindNoTarget, http.StatusServiceUnavailable, problem.RanNo, "wait", "none").WithRetryAfter(time.Second)
}

func (f *fakeFleet) Register(_ context.Context, e control.DirectoryEntry) (control.DirectoryEntry, bool) {
	key := control.DirectoryKey{Account: e.Account, RequestID: e.RequestID}
	f.mu.Lock()
	defer f.mu.Unlock()
	if old, ok := f.entries[key]; ok && old.Generation != e.Generation {
		return old, false
	}
	f.entries[key] = e
	f.entries[key] = e
	return e, true
}

func (f *fakeFleet) LookupWithRetry(ctx context.Context, account, id string) (control.DirectoryEntry, bool) {
	return f.Lookup(ctx, account, id)
}

func (f *fakeFleet) Lookup(_ context.Context, account, id string) (control.DirectoryEntry, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.entries[control.DirectoryKey{Account: account, RequestID: id}]
	return e, ok
}

type noLateDelivery struct{}

func (noLateDelivery) Accept(context.Context, string, string, completion.Request, uint64) (completion.LateStatus, error) {
	return completion.LateStatus{}, ErrLateNotFound
}

func (noLateDelivery) Fetch(_ context.Context, _, id string) (LateAnswer, error) {
	if strings.HasPrefix(id, "store-down") {
		return LateAnswer{}, problem.New(problem.KindStoreUnavailable, http.StatusServiceUnavailable, problem.RanUnknown, "wait", "down")
	}
	return LateAnswer{}, ErrLateNotFound
}

func (noLateDelivery) Cancel(context.Context, string, string) error { return ErrLateNotFound }

type fakeServices struct{}

func (fakeServices) Call(context.Context, ServiceCall) (ServiceAnswer, error) {
	return ServiceAnswer{Status: http.StatusOK}, nil
}

func (fakeServices) MayHaveRun(_ context.Context, _, _, key string) bool { return key == "ran" }

func testIndex() *document.Index {
	account := func(name, key string) document.Account {
		return document.Account{
			Name: name, KeyHashes: []string{document.HashKey(key)}, Services: []string{"booking"},
			Serves: []document.Grant{{Model: "writer", Version: "1"}},
		}
	}
	return document.NewIndex(document.Accepted{Revision: 1, Document: document.Document{
		Models:   []document.Model{{Name: "writer", Versions: []string{"1"}, MaxTokens: 4096, ContinueFromPrefix: true}},
		Accounts: []document.Account{account("booking", bookingKey), account("other", otherKey)},
		Services: []document.Service{{Name: "booking", Routes: []document.Route{
			{Path: "/holds", Methods: []string{"POST"}}, {Path: "/free", Methods: []string{"GET"}, Idempotent: true},
		}}},
	}})
}

// testGateway is a gateway's API over a fake fleet and the given engines.
type testGateway struct {
	fleet  *fakeFleet
	runner *runner.Runner
	api    *Server
	server *httptest.Server
}

func newTestGateway(t testing.TB, engines ...string) *testGateway {
	f := &fakeFleet{
		Fleet:   fleet.New(fleet.Options{Log: logging.Discard()}, nil),
		index:   testIndex(),
		entries: make(map[control.DirectoryKey]control.DirectoryEntry),
	}
	for i, address := range engines {
		f.engines = append(f.engines, platform.Target{Name: "engine-" + string(rune('1'+i)), Address: address})
	}
	m, err := metrics.New(noop.NewMeterProvider().Meter(""))
	require.NoError(t, err)
	keys, err := tlskeys.OpenKeyring(tlskeys.KeyringSettings{}, []string{"a:00112233445566778899aabbccddeeff"}, logging.Discard())
	require.NoError(t, err)
	out := outbound.New(outbound.Dialer(""))
	r := runner.New(engineclient.New(out), f, m, logging.Discard())
	s := New(Dependencies{
		Settings: Settings{MaxBodyBytes: 64 << 10, SlowCallerTimeout: 5 * time.Second, TokenLifetime: time.Hour},
		Fleet:    f, Runner: r, Late: noLateDelivery{}, Services: fakeServices{}, Keys: keys, Metrics: m, Log: logging.Discard(),
	})
	router := mux.NewRouter().SkipClean(true)
	s.Register(router)
	g := &testGateway{fleet: f, runner: r, api: s, server: httptest.NewServer(router)}
	t.Cleanup(func() {
		r.Drain()
		g.server.CloseClientConnections()
		g.server.Close()
		r.Stop()
		out.Close()
	})
	return g
}

func (g *testGateway) request(t testing.TB, method, path, key, body string, header ...string) *http.Response {
	req, err := http.NewRequestWithContext(t.Context(), method, g.server.URL+path, strings.NewReader(body))
	require.NoError(t, err)
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := g.server.Client().Do(req)
	require.NoError(t, err)
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}
