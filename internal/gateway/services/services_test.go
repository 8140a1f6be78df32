package services

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"sync"
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

// fakeFleet has the targets of one service and records reported events.
type fakeFleet struct {
	*fleet.Fleet
	view     *fleet.View
	gateways []string
	events   chan control.Event
}

func (f *fakeFleet) View() *fleet.View { return f.view }

func (f *fakeFleet) GatewayHosts() []string { return f.gateways }

func (f *fakeFleet) FilterAvoided(targets []platform.Target) []platform.Target { return targets }

func (f *fakeFleet) Report(event control.Event) { f.events <- event }

// fixture is a Client with a fake fleet, a ledger in memory and given targets.
type fixture struct {
	client *Client
	fleet  *fakeFleet
	store  *memstore.Store
}

func newFixture(t *testing.T, targets ...*httptest.Server) *fixture {
	f := &fakeFleet{
		Fleet:    fleet.New(fleet.Options{Log: logging.Discard()}, nil),
		view:     &fleet.View{Targets: make(map[string]control.TargetState)},
		gateways: []string{"h"},
		events:   make(chan control.Event, 100),
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
	transport := outbound.New(outbound.Dialer(""))
	t.Cleanup(transport.Close)
	return &fixture{client: New("h", "r", f, l, transport, m, logging.Discard()), fleet: f, store: store}
}

func (fx *fixture) call(t *testing.T, idempotent bool, key string) (api.ServiceAnswer, *problem.Error) {
	method := http.MethodPost
	if idempotent {
		method = http.MethodGet
	}
	answer, err := fx.client.Call(t.Context(), api.ServiceCall{
		Account: "a", Service: "booking", Method: method, Path: "/x", Body: []byte("{}"), Key: key,
		Header: http.Header{"Idempotency-Key": {key}},
		Route:  &document.Route{Path: "/x", Idempotent: idempotent, TimeoutMS: 2000},
	})
	if err != nil {
		return answer, problem.From(err)
	}
	return answer, nil
}

func startTarget(runs *atomic.Int32, answer http.HandlerFunc) *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		runs.Add(1)
		answer(w, r)
	}))
}

func answerOK(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "held") }

func abortAnswer(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func answerLeaving(w http.ResponseWriter, _ *http.Request) {
	problem.Write(w, problem.New(problem.KindDraining, http.StatusServiceUnavailable, problem.RanNo, "go elsewhere", "leaving"))
}

func TestNonIdempotentCallRunsOnceAndIsReplayed(t *testing.T) {
	var runs atomic.Int32
	fx := newFixture(t, startTarget(&runs, answerOK))
	for i := range 3 {
		answer, err := fx.call(t, false, "k")
		require.Nil(t, err)
		require.Equal(t, "held", string(answer.Body))
		require.Equal(t, i > 0, answer.Replayed)
	}
	require.EqualValues(t, 1, runs.Load())
}

func TestIncompleteAnswerIsUnknownAndNeverRetried(t *testing.T) {
	var runs atomic.Int32
	fx := newFixture(t, startTarget(&runs, abortAnswer), startTarget(&runs, abortAnswer))
	_, err := fx.call(t, false, "k")
	require.Equal(t, problem.KindOutcomeUnknown, err.Kind)
	require.Equal(t, problem.RanUnknown, err.Ran)
	_, err = fx.call(t, false, "k")
	require.Equal(t, problem.RanUnknown, err.Ran)
	require.EqualValues(t, 1, runs.Load())
}

func TestCallFailsOverFromLeavingAndUnreachableTargets(t *testing.T) {
	var rejections, runs atomic.Int32
	unreachable := startTarget(&runs, answerOK)
	unreachable.Close()
	fx := newFixture(t, startTarget(&rejections, answerLeaving), unreachable, startTarget(&runs, answerOK))
	for i := range 10 {
		answer, err := fx.call(t, false, fmt.Sprint("k", i))
		require.Nil(t, err)
		require.Equal(t, "held", string(answer.Body))
	}
	require.EqualValues(t, 10, runs.Load())
	require.NotEmpty(t, fx.fleet.events)
}

func TestUnreachableTargetReleasesClaimForRetry(t *testing.T) {
	var runs atomic.Int32
	unreachable := startTarget(&runs, answerOK)
	unreachable.Close()
	fx := newFixture(t, unreachable)
	_, err := fx.call(t, false, "k")
	require.Equal(t, problem.RanNo, err.Ran)
	reachable := startTarget(&runs, answerOK)
	t.Cleanup(reachable.Close)
	state := fx.fleet.view.Targets["t0"]
	state.Address = strings.TrimPrefix(reachable.URL, "http://")
	fx.fleet.view.Targets["t0"] = state
	answer, err := fx.call(t, false, "k")
	require.Nil(t, err)
	require.False(t, answer.Replayed)
}

func TestStoreOutageRejectsCallBeforeDispatch(t *testing.T) {
	var runs atomic.Int32
	fx := newFixture(t, startTarget(&runs, answerOK))
	fx.store.SetFault(memstore.Fault{Outage: true})
	_, err := fx.call(t, false, "k")
	require.Equal(t, problem.KindStoreUnavailable, err.Kind)
	require.Equal(t, problem.RanNo, err.Ran)
	require.NotZero(t, err.RetryAfter)
	require.Zero(t, runs.Load())
}

func TestIdempotentCallIsRetriedOnAnotherTarget(t *testing.T) {
	var failing, healthy atomic.Int32
	fx := newFixture(t, startTarget(&failing, abortAnswer), startTarget(&healthy, answerOK))
	for range 5 {
		answer, err := fx.call(t, true, "")
		require.Nil(t, err)
		require.Equal(t, "held", string(answer.Body))
	}
	require.EqualValues(t, 5, healthy.Load())
}

func TestRanIsUnknownIfAnyAttemptMayHaveRun(t *testing.T) {
	var runs atomic.Int32
	unreachable := startTarget(&runs, answerOK)
	unreachable.Close()
	for range 8 { // either target may be tried first
		fx := newFixture(t, startTarget(&runs, abortAnswer), unreachable)
		_, err := fx.call(t, true, "")
		require.Equal(t, problem.RanUnknown, err.Ran)
	}
}

func TestSlowIdempotentCallIsHedged(t *testing.T) {
	var slow, fast atomic.Int32
	release := make(chan struct{})
	hang := func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-release:
		case <-r.Context().Done():
		}
		answerOK(w, r)
	}
	fx := newFixture(t, startTarget(&slow, hang), startTarget(&fast, answerOK))
	defer close(release)
	call := api.ServiceCall{Service: "booking", Route: &document.Route{Path: "/x"}}
	for range minLatencySamples {
		fx.client.observeLatency(call, time.Millisecond)
	}
	// Equally loaded targets are chosen at random: call until the slow one was chosen.
	calls := 0
	for ; calls < 8 || (slow.Load() == 0 && calls < 1000); calls++ {
		_, err := fx.call(t, true, "")
		require.Nil(t, err)
	}
	require.NotZero(t, slow.Load())
	require.EqualValues(t, calls, fast.Load())
}

func TestBudgetAllowsShareOfCalls(t *testing.T) {
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

func TestRejectionOfTheHedgeLeavesTheSilentTargetItsAnswer(t *testing.T) {
	var runs atomic.Int32
	var silent atomic.Bool
	answer := func(w http.ResponseWriter, r *http.Request) {
		if !silent.Load() {
			answerOK(w, r)
			return
		}
		if silent.CompareAndSwap(true, false) { // the first of the two attempts
			time.Sleep(1200 * time.Millisecond)
			answerOK(w, r)
			return
		}
	}
	rejects := func(w http.ResponseWriter, r *http.Request) {
		problem.Write(w, problem.New(problem.KindAccountLimited, http.StatusTooManyRequests, problem.RanNo, "slow down", "limited"))
	}
	sound := startTarget(&runs, answer)
	fx := newFixture(t, sound)
	for range 2 * minLatencySamples {
		_, err := fx.call(t, true, "")
		require.Nil(t, err)
	}
	second := httptest.NewServer(http.HandlerFunc(rejects))
	t.Cleanup(second.Close)
	target := fx.fleet.view.Targets["t0"].Target
	target.Name, target.Address, target.Region = "t1", strings.TrimPrefix(second.URL, "http://"), "elsewhere"
	fx.fleet.view.Targets["t1"] = control.TargetState{Healthy: true, Target: target}
	silent.Store(true)
	answered, err := fx.call(t, true, "")
	require.Nil(t, err)
	require.Equal(t, "held", string(answered.Body))
}

func TestAnswersThatEndWithTheirConnection(t *testing.T) {
	unframed := func(broken bool) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				panic(err)
			}
			defer func() { _ = conn.Close() }()
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nheld"))
			if broken {
				time.Sleep(50 * time.Millisecond) // the reset discards what has not been read
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
		}
	}
	for _, idempotent := range []bool{true, false} {
		t.Run(fmt.Sprintf("idempotent %t", idempotent), func(t *testing.T) {
			var runs, brokenRuns atomic.Int32
			fx := newFixture(t, startTarget(&runs, unframed(false)))
			answer, err := fx.call(t, idempotent, "k")
			require.Nil(t, err)
			require.Equal(t, "held", string(answer.Body))

			fx = newFixture(t, startTarget(&brokenRuns, unframed(true)))
			_, err = fx.call(t, idempotent, "k")
			require.NotNil(t, err, "a reset answer is no whole answer")
			require.Equal(t, problem.RanUnknown, err.Ran)
		})
	}
}

// A service sent most of a large answer to many calls at once and then nothing: the gateway held them all,
// as much as there were calls.
func TestLargeAnswersThatDoNotEndFitIntoMemory(t *testing.T) {
	const calls, sent, bound = 64, maxAnswerBytes - 1<<20, 256 << 20
	release := make(chan struct{})
	var runs atomic.Int32
	fx := newFixture(t, startTarget(&runs, func(w http.ResponseWriter, r *http.Request) {
		piece := make([]byte, 64<<10)
		for range sent / len(piece) {
			_, _ = w.Write(piece)
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-release:
		case <-r.Context().Done():
		}
	}))
	var wait sync.WaitGroup
	for i := range calls {
		wait.Go(func() { _, _ = fx.call(t, true, fmt.Sprint(i)) }) // some are answered in the end
	}
	peak := uint64(0)
	for begun := time.Now(); time.Since(begun) < 1500*time.Millisecond; time.Sleep(50 * time.Millisecond) {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		peak = max(peak, m.HeapInuse)
	}
	close(release)
	wait.Wait()
	require.GreaterOrEqual(t, int(runs.Load()), calls/2)
	t.Logf("peak heap %d MB", peak>>20)
	require.LessOrEqual(t, peak, uint64(bound))
}

func TestAnswersOfAllSizesAreWhole(t *testing.T) {
	for _, size := range []int{0, 1, smallAnswerBytes - 1, smallAnswerBytes, smallAnswerBytes + 1, middleAnswerBytes, middleAnswerBytes + 1, maxAnswerBytes, maxAnswerBytes + 1} {
		for _, chunked := range []bool{false, true} {
			text := strings.Repeat("x", size)
			var runs atomic.Int32
			fx := newFixture(t, startTarget(&runs, func(w http.ResponseWriter, _ *http.Request) {
				if !chunked {
					w.Header().Set("Content-Length", strconv.Itoa(size))
				}
				_, _ = io.WriteString(w, text)
			}))
			answer, err := fx.call(t, true, "k")
			if size > maxAnswerBytes {
				require.NotNil(t, err)
				continue
			}
			require.Nil(t, err, "%d bytes", size)
			require.Equal(t, text, string(answer.Body), "%d bytes", size)
			for _, m := range fx.client.memory.sizes {
				require.Zero(t, m.quota.Taken())
			}
		}
	}
}
