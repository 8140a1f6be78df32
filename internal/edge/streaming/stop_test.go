package streaming

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/draining"
	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/targetconn"
	"corianderhitch/internal/edge/targets"
)

// maxOverlap is how long two engines may work on one run.
const maxOverlap = 400 * time.Millisecond

// engineCall is how a control call to an engine ends.
type engineCall struct {
	result edge.MoveResult
	handle string
	hangs  bool // no answer while the caller waits
	err    error
}

// workingEngines are engines that execute a run until they answer that they have stopped it.
// calls are the answers of each to final moves, the last of them to all later ones; others run nothing.
type workingEngines struct {
	releasingClient
	calls map[string][]engineCall

	mu      sync.Mutex
	made    map[string]int       // guarded by mu
	stopped map[string]time.Time // guarded by mu
}

func (e *workingEngines) Move(ctx context.Context, source *targets.Target, _ string, _ *targets.Target, final bool) edge.MoveReply {
	if !final {
		return edge.MoveReply{Result: edge.MoveBusy}
	}
	e.mu.Lock()
	c := noRun
	if script := e.calls[source.ID]; len(script) > 0 {
		c = script[min(e.made[source.ID], len(script)-1)]
	}
	e.made[source.ID]++
	e.mu.Unlock()
	if c.hangs {
		<-ctx.Done()
		return edge.MoveReply{Result: edge.MoveUnknown, Err: ctx.Err()}
	}
	reply := edge.MoveReply{Result: c.result, Handle: c.handle, Err: c.err}
	if stoppedAtSource(reply) || c.result == edge.MoveNoRun {
		e.mu.Lock()
		if e.stopped[source.ID].IsZero() {
			e.stopped[source.ID] = time.Now()
		}
		e.mu.Unlock()
	}
	return reply
}

func (e *workingEngines) stoppedAt(engine string) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stopped[engine]
}

// times returns the same answer n times and then the others.
func times(n int, c engineCall, then ...engineCall) []engineCall {
	all := make([]engineCall, 0, n+len(then))
	for range n {
		all = append(all, c)
	}
	return append(all, then...)
}

// answers of engines to final moves.
var (
	copied     = engineCall{result: edge.MoveCopied, handle: "final"}
	copying    = engineCall{result: edge.MoveBusy}
	noRun      = engineCall{result: edge.MoveNoRun}
	noRoom     = engineCall{result: edge.MoveNoRoom}
	noAnswer   = engineCall{hangs: true}
	brokenCall = engineCall{result: edge.MoveUnknown, err: targetconn.ErrBroken}
)

// holderEngine is an engine that continues a run and records when.
type holderEngine struct {
	target *targets.Target
	begun  chan time.Time // one value for each continuation
}

// startHolder starts an engine that continues runs. One that loses answers closes the
// connection instead.
func startHolder(t *testing.T, id string, losesAnswers bool) *holderEngine {
	h := &holderEngine{begun: make(chan time.Time, 100)}
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		h.begun <- time.Now()
		if losesAnswers {
			panic(http.ErrAbortHandler)
		}
	}))
	t.Cleanup(server.Close)
	h.target = &targets.Target{ID: id, Service: "s", Address: strings.TrimPrefix(server.URL, "http://")}
	return h
}

// handover prepares a run that has left engine s and has a replica at dest.
func handover(t *testing.T, engines *workingEngines, dest *targets.Target) (*Run, *Replica, *segment) {
	s, r := placingServer(draining.New(placingDrain), silentObserver{}, func() bool { return true })
	engines.made, engines.stopped = make(map[string]int), make(map[string]time.Time)
	s.Engines, s.Runs = engines, NewRuns(func(*Run, string) {})
	s.Sender = &edge.Sender{Wire: acceptingWire{}, Pool: targetconn.New(func(http.Header) string { return "" }, openGate{}, func(string) float64 { return 0 })}
	r.call.Call.Method, r.call.Call.URI, r.call.Call.Host = http.MethodGet, "/", "e"
	r.call.Route.Objective = 2 * time.Second // callers wait for 8 s
	r.call.Service.Engine.SupportsMigration = true
	source := &targets.Target{ID: "s", Service: "s", Address: "127.0.0.1:1"}
	s.Targets.Apply([]targets.Change{{Name: source.ID, Target: source}, {Name: dest.ID, Target: dest}}, 2)
	ended := &segment{target: source, response: &targetconn.Response{}}
	r.enterTarget(ended)
	replica := &Replica{Source: source, Dest: dest, Handle: "h", CopiedAt: bootclock.Now()}
	s.Inflight.Add(dest.Key(), inflight.Load{Runs: 1})
	replica.Reserved = inflight.Load{Runs: 1}
	require.True(t, r.setReplica(replica, nil))
	return r, replica, ended
}

// requireStopped waits until an engine has stopped a run that went on elsewhere at the given time.
func requireStopped(t *testing.T, engines *workingEngines, engine string, wentOn time.Time) {
	t.Helper()
	require.Eventually(t, func() bool { return !engines.stoppedAt(engine).IsZero() }, 10*time.Second, 5*time.Millisecond,
		"%s still works on the run and is not asked to stop it any more", engine)
	require.Less(t, engines.stoppedAt(engine).Sub(wentOn), maxOverlap)
}

func TestRunGoesOnElsewhereWhileItsEngineWorks(t *testing.T) {
	for name, calls := range map[string][]engineCall{
		"copied":                         {copied},
		"no run":                         {noRun},
		"a copy is in progress":          times(8, copying, copied),
		"rejects the call":               times(8, noRoom, copied),
		"answers once, then copies":      {noRoom, copying, copying, noRun},
		"connection breaks, then copied": {brokenCall, copied},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dest := startHolder(t, "d", false)
			engines := &workingEngines{calls: map[string][]engineCall{"s": calls}}
			r, _, ended := handover(t, engines, dest.target)
			next, reason := r.nextSegment(t.Context(), ended, io.ErrUnexpectedEOF)
			require.NotNil(t, next, reason)
			requireStopped(t, engines, "s", <-dest.begun)
		})
	}
}

func TestEngineWithoutAnswerIsNeverStopped(t *testing.T) {
	t.Parallel()
	dest := startHolder(t, "d", false)
	engines := &workingEngines{calls: map[string][]engineCall{"s": {noAnswer, brokenCall, copying, copied}}}
	r, _, ended := handover(t, engines, dest.target)
	started := time.Now()
	next, reason := r.nextSegment(t.Context(), ended, io.ErrUnexpectedEOF)
	require.NotNil(t, next, reason)
	require.Less(t, time.Since(started), time.Second, "an engine that does not answer is not awaited")
	requireStopped(t, engines, "s", <-dest.begun)
}

func TestRunGoesOnAfterAFinalCopyThatStoppedNothing(t *testing.T) {
	for name, reply := range map[string]edge.MoveReply{
		"a copy was in progress": {Result: edge.MoveBusy},
		"no room":                {Result: edge.MoveNoRoom},
		"outcome unknown":        {Result: edge.MoveUnknown, Err: targetconn.ErrBroken},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dest := startHolder(t, "d", false)
			engines := &workingEngines{calls: map[string][]engineCall{"s": times(2, copying, copied)}}
			r, replica, ended := handover(t, engines, dest.target)
			require.True(t, r.BeginFinalCopy(replica))
			r.EndFinalCopy(replica, reply, time.Millisecond)
			next, reason := r.nextSegment(t.Context(), ended, io.ErrUnexpectedEOF)
			require.NotNil(t, next, reason)
			requireStopped(t, engines, "s", <-dest.begun)
		})
	}
}

func TestEngineOfAnUnansweredContinuationWorksBesideTheNextHolder(t *testing.T) {
	for name, calls := range map[string][]engineCall{
		"begun, stops":                 {copied},
		"begun, a copy is in progress": times(4, copying, copied),
		"not begun":                    {noRun},
		"does not answer at first":     {noAnswer, copied},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first, second := startHolder(t, "d", true), startHolder(t, "e-2", false)
			engines := &workingEngines{calls: map[string][]engineCall{"d": calls}}
			r, replica, _ := handover(t, engines, first.target)
			r.leaveTarget()
			r.server.Targets.Apply([]targets.Change{{Name: second.target.ID, Target: second.target}}, 3)
			next := r.resume(t.Context(), replicaHolder(replica, "h"), &memoryHolder{target: second.target, from: edge.ReplicaRef{Address: second.target.Address, Handle: "h"}})
			require.NotNil(t, next)
			r.enterTarget(next)
			require.Equal(t, "e-2", next.target.ID)
			requireStopped(t, engines, "d", <-second.begun)
		})
	}
}

func TestEngineThatARunHasLeftIsAskedToStopOnce(t *testing.T) {
	for name, calls := range map[string][]engineCall{
		"connections break": times(3, brokenCall, noRun),
		"no answer":         {noAnswer, noAnswer, noRun},
		"rejects":           times(3, noRoom, noRun),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dest := startHolder(t, "d", false)
			engines := &workingEngines{calls: map[string][]engineCall{"s": calls}}
			r, _, _ := handover(t, engines, dest.target)
			r.ctx, r.segment = t.Context(), openSegment(t, r.server, &targets.Target{ID: "s", Service: "s", Address: "127.0.0.1:1"})
			r.lastEventAt.Store(int64(bootclock.Now().Add(-1200 * time.Millisecond)))
			r.LeaveSilentEngine()
			require.NotNil(t, r.endTakeover(errors.New("canceled")))
			require.Eventually(t, func() bool { return !engines.stoppedAt("s").IsZero() }, 10*time.Second, 5*time.Millisecond)
		})
	}
}

func TestEngineOfAFailedTakeoverWorksBesideTheSource(t *testing.T) {
	t.Parallel()
	dest := startHolder(t, "d", true)
	engines := &workingEngines{calls: map[string][]engineCall{"d": {copied}}}
	r, _, _ := handover(t, engines, dest.target)
	r.call.Route.Objective = 0 // callers wait for 2 s
	r.ctx, r.segment = t.Context(), openSegment(t, r.server, &targets.Target{ID: "s", Service: "s", Address: "127.0.0.1:1"})
	r.lastEventAt.Store(int64(bootclock.Now().Add(-1200 * time.Millisecond)))
	r.LeaveSilentEngine()
	require.Nil(t, r.endTakeover(errors.New("canceled")))
	requireStopped(t, engines, "d", time.Now())
}
