package streaming

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/admission"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/draining"
	"corianderhitch/internal/edge/ejection"
	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/peers"
	"corianderhitch/internal/edge/policy"
	"corianderhitch/internal/edge/retrybudget"
	"corianderhitch/internal/edge/stall"
	"corianderhitch/internal/edge/targetconn"
	"corianderhitch/internal/edge/targetnotice"
	"corianderhitch/internal/edge/targets"
)

// endingObserver begins the drain when a run has been placed.
type endingObserver struct {
	Observer
	drain *draining.Drain
}

func (o endingObserver) ObservePlacementWait(time.Duration, bool) { o.drain.Begin(bootclock.Now()) }

// placingServer returns a server with one engine, which the hub chooses as chooses says, and
// a run that cannot end within a drain of ten seconds.
func placingServer(drain *draining.Drain, observer Observer, chooses func() bool) (*Server, *Run) {
	engine := &targets.Target{ID: "e", Service: "s", Address: "127.0.0.1:1"}
	registry := targets.New(targetnotice.New(), func(targets.Target, targets.LeavingNotice) {})
	registry.Apply([]targets.Change{{Name: "e", Target: engine}}, 1)
	table := inflight.New("host")
	s := &Server{
		Targets: registry, Inflight: table, Health: ejection.New(), Lengths: NewOutputLengths(), Queue: admission.New(table.Changed),
		Drain: drain, Observer: observer, Sender: &edge.Sender{Wire: silentWire{}, Pool: targetconn.New(nil, openGate{}, func(string) float64 { return 0 })}, Stalls: &stall.Detector{},
	}
	s.PlaceViaHub = func(context.Context, peers.PlaceArgs) (peers.PlaceReply, bool) {
		reply := peers.PlaceReply{Able: true}
		if chooses() {
			reply.Target = engine.Key()
		}
		return reply, true
	}
	a := &edge.AuthorizedCall{
		Call: &edge.Call{ID: "r"}, Route: &policy.Route{Name: "route", Kind: policy.Streaming}, Arrived: bootclock.Now(),
		Service:  &policy.Service{Name: "s", Engine: &policy.Engine{TokensPerEvent: 1, Slots: 1, MemoryTokens: 1 << 20}},
		Deadline: bootclock.Now().Add(20 * time.Second), Log: slog.New(slog.DiscardHandler),
	}
	return s, newRun(s, a, nil, nil)
}

type silentWire struct{ edge.Wire }

func (silentWire) SetRetryAfter(http.Header, time.Duration) {}

type silentObserver struct{ Observer }

func (silentObserver) ObservePlacementWait(time.Duration, bool) {}

func (silentObserver) ObserveLongestPause(time.Duration) {}

func (silentObserver) ObserveContinuation(string, string) {}

func (silentObserver) ObserveFirstEvent(time.Duration) {}

const placingDrain = 10 * time.Second

// The race detector reports it.
func TestDrainThatBeginsDuringPlacementReadsStateOfTheRun(t *testing.T) {
	drain := draining.New(placingDrain)
	s, r := placingServer(drain, endingObserver{drain: drain}, func() bool { return true })
	placed, _ := s.place(t.Context(), r)
	r.headSent = true
	time.Sleep(20 * time.Millisecond) // of the goroutine that the drain has started
	require.NotNil(t, placed)
}

func TestRunThatWaitsForAnEngineIsRejectedWhenTheDrainBegins(t *testing.T) {
	drain := draining.New(placingDrain)
	s, r := placingServer(drain, silentObserver{}, func() bool { return false })
	time.AfterFunc(50*time.Millisecond, func() { drain.Begin(bootclock.Now()) })
	started := time.Now()
	_, rejection := s.start(t.Context(), r)
	require.Less(t, time.Since(started), time.Second)
	require.Equal(t, http.StatusServiceUnavailable, rejection.Status)
	require.Equal(t, edge.ReasonStopping, rejection.Reason)
}

func TestEngineChosenWhenTheDrainBeginsIsNotUsed(t *testing.T) {
	for name, hasStarted := range map[string]bool{"new run": false, "run whose caller has a part": true} {
		t.Run(name, func(t *testing.T) {
			drain := draining.New(placingDrain)
			s, r := placingServer(drain, silentObserver{}, func() bool { drain.Begin(bootclock.Now()); return true })
			r.headSent = hasStarted
			placed, _ := s.place(t.Context(), r)
			require.Equal(t, hasStarted, placed != nil)
			if placed == nil {
				require.Zero(t, s.Inflight.TotalLoad(s.Targets.View().Available("s")[0].Key()).Runs)
			}
		})
	}
}

func TestAbortedRunIsRejectedByWhetherItMayHaveRun(t *testing.T) {
	for mayHaveRun, want := range map[bool]int{false: http.StatusServiceUnavailable, true: http.StatusBadGateway} {
		s, r := placingServer(draining.New(placingDrain), silentObserver{}, func() bool { return false })
		answer := httptest.NewRecorder()
		r.w, r.attempts.mayHaveRun = answer, mayHaveRun
		ctx, abort := context.WithCancelCause(t.Context())
		abort(edge.ErrStopping)
		reason := s.reject(ctx, r, edge.Unavailable(edge.ReasonNoRoom, 0))
		require.Equal(t, want, answer.Code)
		require.Equal(t, !mayHaveRun, reason == edge.ReasonStopping)
	}
}

func TestStartThatTheAbortCutCountsAsMayHaveRun(t *testing.T) {
	ctx, abort := context.WithCancelCause(t.Context())
	abort(edge.ErrStopping)
	for err, want := range map[error]int{
		targetconn.ErrBroken: http.StatusBadGateway, errUnsigned: http.StatusBadGateway,
		targetconn.ErrNotSent: http.StatusServiceUnavailable, errNotExecuted: http.StatusServiceUnavailable, errKeyUnconfirmed: http.StatusServiceUnavailable,
	} {
		s, r := placingServer(draining.New(placingDrain), silentObserver{}, func() bool { return true })
		answer := httptest.NewRecorder()
		r.w = answer
		rejection, retryable := s.startFailure(ctx, r, s.Targets.View().Available("s")[0], bootclock.Now(), err)
		require.False(t, retryable)
		s.reject(ctx, r, rejection)
		require.Equal(t, want, answer.Code, "%v", err)
	}
}

// TWICE: an engine may run the request, and its route is not resumable.
func TestStreamIsStartedAgainAfterItMayHaveRun(t *testing.T) {
	for err, again := range map[error]bool{
		targetconn.ErrBroken: false, targetconn.ErrResetAtOnce: false, targetconn.ErrCanceled: false, targetconn.ErrInvalidResponse: false, errUnsigned: false,
		errNotExecuted: true, targetconn.ErrNotSent: true, targetconn.ErrNotYet: true, targetconn.ErrRefused: true,
	} {
		s, r := placingServer(draining.New(placingDrain), silentObserver{}, func() bool { return true })
		r.call.Route.MaxAttempts, r.call.Call.Generation = 3, &edge.GenerationRequest{}
		budget := retrybudget.New(1, 100, time.Minute, bootclock.Now(), func() int { return 1 })
		s.RetryBudget = func(string) *retrybudget.Budget { return budget }
		for range 100 {
			budget.RecordRequest()
		}
		rejection, retryable := s.startFailure(t.Context(), r, s.Targets.View().Available("s")[0], bootclock.Now(), err)
		require.Equal(t, again, retryable, "%v", err)
		require.Equal(t, !again, r.attempts.mayHaveRun, "%v", err)
		if !again {
			require.Equal(t, http.StatusBadGateway, rejection.Status, "%v", err)
		}
	}
}

func TestStartedRunWaitsForAnEngineInTheDrain(t *testing.T) {
	var free atomic.Bool
	drain := draining.New(placingDrain)
	s, r := placingServer(drain, silentObserver{}, free.Load)
	r.headSent = true
	time.AfterFunc(50*time.Millisecond, func() { drain.Begin(bootclock.Now()) })
	time.AfterFunc(150*time.Millisecond, func() {
		free.Store(true)
		s.Inflight.Add("other", inflight.Load{Runs: 1}) // wakes the queue
	})
	placed, _ := s.place(t.Context(), r)
	require.NotNil(t, placed)
}

func TestDrainKnowsThePaceOfCompleteRuns(t *testing.T) {
	drain := draining.New(placingDrain)
	s, r := placingServer(drain, silentObserver{}, func() bool { return true })
	r.call.Call.Generation = &edge.GenerationRequest{MaxOutputTokens: 100}
	r.call.Arrived = bootclock.Now().Add(-20 * time.Second)
	r.startedAfter, r.events, r.headSent = time.Second, 101, true
	require.Equal(t, completed, r.finish(t.Context(), s.Targets.View().Available("s")[0], completed, nil))
	drain.Begin(bootclock.Now())
	require.False(t, drain.Fits(r.call), "100 tokens took 19 s")
}

func TestStallDoesNotMakeTheDrainRejectShortRuns(t *testing.T) {
	drain := draining.New(placingDrain)
	s, r := placingServer(drain, silentObserver{}, func() bool { return true })
	r.call.Call.Generation = &edge.GenerationRequest{MaxOutputTokens: 10}
	r.call.Route.Objective, r.call.Route.GapObjective = time.Second, 100*time.Millisecond
	r.call.Received = bootclock.Now().Add(-2200 * time.Millisecond)
	s.Stalls.Beat(bootclock.Now().Add(-1400 * time.Millisecond))
	s.Stalls.Beat(bootclock.Now())
	r.startedAfter, r.events, r.headSent = 800*time.Millisecond, 3, true
	require.Equal(t, completed, r.finish(t.Context(), s.Targets.View().Available("s")[0], completed, nil))
	drain.Begin(bootclock.Now())
	require.True(t, drain.Fits(r.call), "10 tokens take a second")
}

func TestSlowCallerDoesNotMakeTheDrainRejectRuns(t *testing.T) {
	drain := draining.New(placingDrain)
	s, r := placingServer(drain, silentObserver{}, func() bool { return true })
	engine := s.Targets.View().Available("s")[0]
	r.call.Call.Generation = &edge.GenerationRequest{MaxOutputTokens: 10}
	r.call.Arrived, r.call.Received = bootclock.Now().Add(-12*time.Second), bootclock.Now().Add(-time.Second)
	r.w = httptest.NewRecorder()
	r.sendHead(engine)
	r.events = 2
	require.Equal(t, completed, r.finish(t.Context(), engine, completed, nil))
	drain.Begin(bootclock.Now())
	require.True(t, drain.Fits(r.call), "the request was read 11 s after its head")
}
