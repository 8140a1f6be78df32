package streaming

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/peers"
	"corianderhitch/internal/edge/retrybudget"
	"corianderhitch/internal/edge/targets"
)

// The calls to an engine that answers are further apart after a second.
func TestEngineThatAnswersForLongCountsAsAtWork(t *testing.T) {
	t.Parallel()
	dest := startHolder(t, "d", false)
	engines := &slowCopy{workingEngines: &workingEngines{calls: map[string][]engineCall{"s": {copying}}}, until: time.Now().Add(5 * time.Second)}
	r, _, ended := handover(t, engines.workingEngines, dest.target)
	r.server.Engines = engines
	next, _ := r.nextSegment(t.Context(), ended, io.ErrUnexpectedEOF)
	if next != nil {
		require.False(t, (<-dest.begun).Before(engines.until), "the run went on at d while s answered that it works on it")
	}
}

func TestResumableRunIsRestartedBesideAHolderThatWorks(t *testing.T) {
	t.Parallel()
	begun := make(chan time.Time, 10)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { begun <- time.Now() }))
	t.Cleanup(server.Close)
	e := &targets.Target{ID: "e", Service: "s", Address: strings.TrimPrefix(server.URL, "http://")}
	engines := &workingEngines{calls: map[string][]engineCall{"s": {copied}, "d": times(2000, copying, copied)}}
	r, _, ended := handover(t, engines, startHolder(t, "d", true).target)
	r.server.Targets.Apply([]targets.Change{{Name: "e", Target: e}}, 3)
	budget := retrybudget.New(1, 0, time.Minute, bootclock.Now(), func() int { return 1 })
	for range 100 {
		budget.RecordRequest()
	}
	r.server.RetryBudget = func(string) *retrybudget.Budget { return budget }
	r.call.StillAuthorized = func(context.Context) bool { return true }
	r.call.Deadline = bootclock.Now().Add(20 * time.Second)
	r.server.PlaceViaHub = func(context.Context, peers.PlaceArgs) (reply peers.PlaceReply, able bool) {
		reply.Target, reply.Able = e.Key(), true
		return reply, true
	}
	r.call.Route.Resumable, r.call.Route.MaxAttempts, r.call.Route.Objective = true, 3, 0
	next, reason := r.nextSegment(t.Context(), ended, io.ErrUnexpectedEOF)
	require.Nil(t, next)
	next = r.restart(t.Context(), ended.target, reason, io.ErrUnexpectedEOF)
	if next != nil {
		<-begun
		require.False(t, engines.stoppedAt("d").IsZero(), "the run was started at e while d answers that it works on it")
	}
}

// slowCopy are engines whose copy in progress ends at a time; the next final move stops the run.
type slowCopy struct {
	*workingEngines
	until time.Time
}

func (e *slowCopy) Move(_ context.Context, source *targets.Target, _ string, _ *targets.Target, final bool) edge.MoveReply {
	if !final || time.Now().Before(e.until) {
		return edge.MoveReply{Result: edge.MoveBusy}
	}
	return edge.MoveReply{Result: edge.MoveCopied, Handle: "final"}
}

// busyWire takes status 503 for the statement that the target did not run the request.
type busyWire struct{ acceptingWire }

func (busyWire) NotExecuted(status int, _ http.Header) bool {
	return status == http.StatusServiceUnavailable
}

// The engine has begun the run by a request whose answer was lost, and refuses the handle from then on.
func TestHolderThatStopsLateIsAskedToGoOnFromItsMemory(t *testing.T) {
	for name, calls := range map[string][]engineCall{
		"stops while it is asked again":   {noAnswer, copied},
		"begins after it answered no run": {noRun, copied},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var n atomic.Int32
			engines := &releaseLog{workingEngines: &workingEngines{calls: map[string][]engineCall{"d": calls}}}
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				switch n.Add(1) {
				case 1:
					panic(http.ErrAbortHandler)
				case 2:
					w.WriteHeader(http.StatusServiceUnavailable) // the handle was used
				}
			}))
			t.Cleanup(server.Close)
			d := &targets.Target{ID: "d", Service: "s", Address: strings.TrimPrefix(server.URL, "http://")}
			r, replica, ended := handover(t, engines.workingEngines, d)
			r.server.Engines, r.server.Sender.Wire = engines, busyWire{}
			next := r.resumeBeside(t.Context(), ended.target, replicaHolder(replica, "h"))
			time.Sleep(100 * time.Millisecond)
			require.NotNil(t, next, "the takeover was given up although d holds the memory")
		})
	}
}

// The engine may still begin an earlier request.
func TestStopIsGivenUpForARequestThatFails(t *testing.T) {
	t.Parallel()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }))
	t.Cleanup(server.Close)
	d := &targets.Target{ID: "d", Service: "s", Address: strings.TrimPrefix(server.URL, "http://")}
	engines := &callCounter{workingEngines: &workingEngines{calls: map[string][]engineCall{"d": {noRun, copied}}}}
	r, replica, _ := handover(t, engines.workingEngines, d)
	r.server.Engines = engines
	r.noteUnstopped(d) // it got a request whose answer was lost
	r.stopAtOthers(replica.Source)
	time.Sleep(100 * time.Millisecond)
	_, err := r.resumeAt(t.Context(), replicaHolder(replica, "h"))
	require.Error(t, err)
	r.stopAtOthers(replica.Source)
	require.Eventually(t, func() bool { return engines.sent.Load() > 1 }, 2*time.Second, 10*time.Millisecond, "the engine may begin the earlier request, and is not asked again")
}

// The first holder begins the run after it has answered that it executes no such run, and then refuses the handle.
func TestHolderThatBeganLateWorksBesideTheNext(t *testing.T) {
	t.Parallel()
	begun := make(chan time.Time, 10)
	serve := func(id string, second http.HandlerFunc) *targets.Target {
		var n atomic.Int32
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if n.Add(1) == 1 {
				panic(http.ErrAbortHandler)
			}
			second(w, r)
		}))
		t.Cleanup(server.Close)
		return &targets.Target{ID: id, Service: "s", Address: strings.TrimPrefix(server.URL, "http://")}
	}
	first := serve("d", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	second := serve("e-2", func(http.ResponseWriter, *http.Request) { begun <- time.Now(); time.Sleep(time.Second) })
	engines := &workingEngines{calls: map[string][]engineCall{"d": {noRun, copied}, "e-2": {noRun}}}
	r, replica, _ := handover(t, engines, first)
	r.server.Sender.Wire = busyWire{}
	r.leaveTarget()
	r.server.Targets.Apply([]targets.Change{{Name: second.ID, Target: second}}, 3)
	next := r.resume(t.Context(), replicaHolder(replica, "h"), &memoryHolder{target: second, load: inflight.Load{Runs: 1}, from: edge.ReplicaRef{Address: second.Address, Handle: "h"}})
	require.NotNil(t, next)
	r.enterTarget(next)
	require.Equal(t, 0, r.server.Inflight.TotalLoad(first.Key()).Runs)
	require.Equal(t, 1, r.server.Inflight.TotalLoad(second.Key()).Runs)
	requireStopped(t, engines, "d", <-begun)
}

func TestSourceOfALostRunIsAskedToStop(t *testing.T) {
	t.Parallel()
	source := startHolder(t, "d", true)
	engines := &workingEngines{calls: map[string][]engineCall{"d": {copied}}}
	r, replica, _ := handover(t, engines, source.target)
	r.call.Route.Objective = 0 // callers wait for 2 s
	r.call.Deadline = bootclock.Now().Add(20 * time.Second)
	r.w = httptest.NewRecorder()
	r.leaveTarget()
	require.Nil(t, r.resume(t.Context(), replicaHolder(replica, "h")))
	r.finish(t.Context(), source.target, lostInMove, io.ErrUnexpectedEOF)
	require.Eventually(t, func() bool { return !engines.stoppedAt("d").IsZero() }, 2*time.Second, 10*time.Millisecond, "the source got %d requests and is not asked to stop", len(source.begun))
}

func TestOnlyHolderThatLostItsAnswerIsAskedToGoOnFromItsMemory(t *testing.T) {
	t.Parallel()
	var n atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if n.Add(1) == 1 {
			panic(http.ErrAbortHandler)
		}
	}))
	t.Cleanup(server.Close)
	d := &targets.Target{ID: "d", Service: "s", Address: strings.TrimPrefix(server.URL, "http://")}
	engines := &workingEngines{calls: map[string][]engineCall{"s": {noRun}, "d": {copied}}}
	r, _, ended := handover(t, engines, d)
	r.server.Sender.Wire = busyWire{}
	next, _ := r.nextSegment(t.Context(), ended, io.ErrUnexpectedEOF)
	require.NotNil(t, next)
	require.False(t, engines.stoppedAt("d").IsZero(), "it may execute the run and refuses the handle that it has used")
}
