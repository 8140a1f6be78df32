package services

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/metric/noop"

	"corianderhitch/api/control"
	"corianderhitch/api/problem"
	"corianderhitch/internal/document"
	"corianderhitch/internal/gateway/api"
	"corianderhitch/internal/gateway/fleet"
	"corianderhitch/internal/gateway/ids"
	"corianderhitch/internal/gateway/metrics"
	"corianderhitch/internal/ledger"
	"corianderhitch/internal/logging"
	"corianderhitch/internal/outbound"
	"corianderhitch/internal/platform"
	"corianderhitch/internal/platform/memstore"
)

// fakeFleet knows the targets of one service.
type fakeFleet struct {
	*fleet.Fleet
	view *fleet.View
	news chan control.Event
}

func (f *fakeFleet) View() *fleet.View { return f.view }

func (f *fakeFleet) FilterAvoided(targets []platform.Target) []platform.Target { return targets }

func (f *fakeFleet) Report(n control.Event) { f.news <- n }

type bench struct {
	caller *Client
	fleet  *fakeFleet
	store  *memstore.Store
}

func newBench(t *testing.T, targets ...*httptest.Server) *bench {
	f := &fakeFleet{
		Fleet: fleet.New(fleet.Options{Log: logging.Discard()}, nil),
		view:  &fleet.View{Targets: make(map[string]control.TargetState)},
		news:  make(chan control.Event, 100),
	}
	for i, server := range targets {
		name := fmt.Sprint("t", i)
		t.Cleanup(server.Close)
		f.view.Targets[name] = control.TargetState{Healthy: true, Target: platform.Target{
			Name: name, Address: strings.TrimPrefix(server.URL, "http://"), Region: "r",
			Kind: platform.TargetService, Service: "booking",
		}}
	}
	store := memstore.New(memstore.Options{})
	retention := func() time.Duration { return time.Hour }
	l := ledger.New(store, "h", retention, ids.New, nil, ledger.DefaultSettings(), logging.Discard())
	m, err := metrics.New(noop.NewMeterProvider().Meter(""))
	require.NoError(t, err)
	transport := outbound.New()
	t.Cleanup(transport.Close)
	return &bench{caller: New("r", f, l, transport, m, logging.Discard()), fleet: f, store: store}
}

func (b *bench) call(t *testing.T, idempotent bool, key string) (api.ServiceAnswer, *problem.Error) {
	method := http.MethodPost
	if idempotent {
		method = http.MethodGet
	}
	answer, err := b.caller.Call(t.Context(), api.ServiceCall{
		Account: "a", Service: "booking", Method: method, Path: "/x", Body: []byte("{}"), Key: key,
		Header: http.Header{"Idempotency-Key": {key}},
		Route:  &document.Route{Path: "/x", Idempotent: idempotent, TimeoutMS: 2000},
	})
	if err != nil {
		return answer, problem.From(err)
	}
	return answer, nil
}

func target(runs *atomic.Int32, answer http.HandlerFunc) *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		runs.Add(1)
		answer(w, r)
	}))
}

func ok(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "held") }

func cut(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func leaving(w http.ResponseWriter, _ *http.Request) {
	problem.Write(w, problem.New(problem.KindDraining, http.StatusServiceUnavailable, problem.RanNo, "go elsewhere", "leaving"))
}

func TestCallRunsOnceAndIsReplayed(t *testing.T) {
	var runs atomic.Int32
	b := newBench(t, target(&runs, ok))
	for i := range 3 {
		answer, err := b.call(t, false, "k")
		require.Nil(t, err)
		require.Equal(t, "held", string(answer.Body))
		require.Equal(t, i > 0, answer.Replayed)
	}
	require.EqualValues(t, 1, runs.Load())
}

func TestCutAnswerIsUnknownAndNeverSentAgain(t *testing.T) {
	var runs atomic.Int32
	b := newBench(t, target(&runs, cut), target(&runs, cut))
	_, err := b.call(t, false, "k")
	require.Equal(t, problem.KindOutcomeUnknown, err.Kind)
	require.Equal(t, problem.RanUnknown, err.Ran)
	_, err = b.call(t, false, "k")
	require.Equal(t, problem.RanUnknown, err.Ran)
	require.EqualValues(t, 1, runs.Load())
}

func TestLeavingAndDeadTargetsAreSurelyNotRun(t *testing.T) {
	var refusals, runs atomic.Int32
	dead := target(&runs, ok)
	dead.Close()
	b := newBench(t, target(&refusals, leaving), dead, target(&runs, ok))
	for i := range 10 {
		answer, err := b.call(t, false, fmt.Sprint("k", i))
		require.Nil(t, err)
		require.Equal(t, "held", string(answer.Body))
	}
	require.EqualValues(t, 10, runs.Load())
	require.NotEmpty(t, b.fleet.news)
}

func TestRefusedEverywhereIsNotRunAndMayBeSentAgain(t *testing.T) {
	var runs atomic.Int32
	dead := target(&runs, ok)
	dead.Close()
	b := newBench(t, dead)
	_, err := b.call(t, false, "k")
	require.Equal(t, problem.RanNo, err.Ran)
	live := target(&runs, ok)
	t.Cleanup(live.Close)
	state := b.fleet.view.Targets["t0"]
	state.Address = strings.TrimPrefix(live.URL, "http://")
	b.fleet.view.Targets["t0"] = state
	answer, err := b.call(t, false, "k")
	require.Nil(t, err)
	require.False(t, answer.Replayed)
}

func TestStoreDownRefusesBeforeAnyByteLeaves(t *testing.T) {
	var runs atomic.Int32
	b := newBench(t, target(&runs, ok))
	b.store.SetFault(memstore.Fault{Outage: true})
	_, err := b.call(t, false, "k")
	require.Equal(t, problem.KindStoreUnavailable, err.Kind)
	require.Equal(t, problem.RanNo, err.Ran)
	require.NotZero(t, err.RetryAfter)
	require.Zero(t, runs.Load())
}

func TestLookupIsRetriedOnAnotherTarget(t *testing.T) {
	var bad, good atomic.Int32
	b := newBench(t, target(&bad, cut), target(&good, ok))
	for range 5 {
		answer, err := b.call(t, true, "")
		require.Nil(t, err)
		require.Equal(t, "held", string(answer.Body))
	}
	require.EqualValues(t, 5, good.Load())
}

func TestNotRunOfOneTargetDoesNotStandForAnother(t *testing.T) {
	var runs atomic.Int32
	dead := target(&runs, ok)
	dead.Close()
	for range 8 { // whichever is tried first
		b := newBench(t, target(&runs, cut), dead)
		_, err := b.call(t, true, "")
		require.Equal(t, problem.RanUnknown, err.Ran)
	}
}

func TestSlowLookupIsHedged(t *testing.T) {
	var slow, fast atomic.Int32
	release := make(chan struct{})
	hang := func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-release:
		case <-r.Context().Done():
		}
		ok(w, r)
	}
	b := newBench(t, target(&slow, hang), target(&fast, ok))
	defer close(release)
	call := api.ServiceCall{Service: "booking", Route: &document.Route{Path: "/x"}}
	for range minObservations {
		b.caller.observe(call, time.Millisecond)
	}
	// Equal targets are chosen by chance: go on until the slow one was chosen.
	calls := 0
	for ; calls < 8 || (slow.Load() == 0 && calls < 1000); calls++ {
		_, err := b.call(t, true, "")
		require.Nil(t, err)
	}
	require.NotZero(t, slow.Load())
	require.EqualValues(t, calls, fast.Load())
}

func TestBudgetIsAShareOfCalls(t *testing.T) {
	b := newBudget(0.1)
	for b.spend() {
		continue
	}
	spent := 0
	for range 1000 {
		b.earn()
		if b.spend() {
			spent++
		}
	}
	require.InDelta(t, 100, spent, 1)
}
