package edge_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"corianderhitch/platform/standin"
	"corianderhitch/tests/harness"
)

const (
	// stopBound is how long an engine may work on a run that has gone on at another one.
	stopBound = 400 * time.Millisecond
	// maxReturnStop is within which an engine is stopped that can be reached again: the longest time
	// between two calls, and what a call takes.
	maxReturnStop = 1200 * time.Millisecond
	workingEvents = 1200
	// workingDeadline leaves such a run several seconds for its moves.
	workingDeadline = 14 * time.Second
)

// workingRun is run r-1 at an engine, with a copy at another one. Both are behind proxies and go on with
// runs whose connections close.
type workingRun struct {
	*fleet
	h            *host
	set          *standin.Engines
	source, dest *standin.Engine
	proxy        *harness.Proxy // of source
	destProxy    *harness.Proxy
	pending      <-chan answer
}

// startWorkingRun starts the run at the source before the other engine is there.
func startWorkingRun(t *testing.T, prepare func(*standin.Engines)) *workingRun {
	t.Helper()
	w := &workingRun{fleet: newFleet(t), set: standin.NewEngines()}
	w.routeTimeout = workingDeadline
	w.configure()
	prepare(w.set)
	w.source, w.proxy = w.startWorkingEngine("e-1")
	w.h = w.startHost()
	request := generationRequest(t.Context(), w.h, "r-1", workingEvents)
	standin.SetDeadline(request, workingDeadline)
	w.pending = sendAsync(request)
	require.Eventually(t, func() bool { return len(w.source.Started()) == 1 }, waitTimeout, checkInterval)
	w.dest, w.destProxy = w.startWorkingEngine("e-2")
	return w
}

// startWorkingEngine starts an engine behind a proxy.
func (w *workingRun) startWorkingEngine(id string) (*standin.Engine, *harness.Proxy) {
	w.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(w.t, err)
	e := w.set.Start(id, listener)
	w.t.Cleanup(e.Crash)
	proxy := harness.NewProxy(w.t, e.Address())
	w.set.SetAddress(e, proxy.Address())
	e.ContinueWithoutCaller()
	w.register(id, engineService, proxy.Address(), "ready")
	return e, proxy
}

// startReplicatedRun starts the run and waits for its replica.
func startReplicatedRun(t *testing.T) *workingRun {
	t.Helper()
	w := startWorkingRun(t, func(*standin.Engines) {})
	waitForReplica(t, w.h)
	return w
}

// requireWhole waits for the end of the stream, which must be complete.
func (w *workingRun) requireWhole() {
	w.t.Helper()
	a := <-w.pending
	require.NoError(w.t, a.err)
	require.Equal(w.t, standin.StreamText("r-1", workingEvents), a.body)
}

// requireOneEngine checks that no two engines worked on the run for longer than the bound, and logs
// how many calls it took.
func (w *workingRun) requireOneEngine() {
	w.t.Helper()
	w.logCalls()
	requireOneEngineAtATime(w.t, []*standin.Engine{w.source, w.dest})
}

// logCalls prints the spans of the run and the final moves that the engines have read.
func (w *workingRun) logCalls() {
	w.t.Helper()
	for _, e := range []*standin.Engine{w.source, w.dest} {
		for _, s := range e.Spans() {
			w.t.Logf("%s at %s: %s to %s, stopped %v, completed %v", s.ID, e.ID, s.From.Format(".000"), s.To.Format("05.000"), s.Stopped, s.Completed)
		}
		w.t.Logf("%s: %d final moves, status %v", e.ID, len(finalMoves(e)), statusOf(finalMoves(e)))
	}
}

func finalMoves(e *standin.Engine) []standin.MoveCall {
	var final []standin.MoveCall
	for _, c := range e.MoveCalls() {
		if c.Final {
			final = append(final, c)
		}
	}
	return final
}

func statusOf(calls []standin.MoveCall) (all []int) {
	for _, c := range calls {
		all = append(all, c.Status)
	}
	return all
}

// worksOn reports whether an engine executes the run.
func worksOn(e *standin.Engine) bool {
	for _, s := range e.Spans() {
		if time.Since(s.To) < 20*time.Millisecond && !s.Stopped && !s.Completed {
			return true
		}
	}
	return false
}

// stoppedAfter waits until an engine that executes the run has been stopped, and returns how long after
// since that was.
func stoppedAfter(t *testing.T, e *standin.Engine, since time.Time) time.Duration {
	t.Helper()
	require.Eventually(t, func() bool { return len(e.Spans()) > 0 && !worksOn(e) }, waitTimeout, checkInterval, "%s works on the run", e.ID)
	spans := e.Spans()
	last := spans[len(spans)-1]
	require.True(t, last.Stopped, "%s has ended the run by itself", e.ID)
	return last.To.Sub(since)
}

// waitUntilResumed waits until the run goes on at the other engine.
func (w *workingRun) waitUntilResumed() {
	w.t.Helper()
	require.Eventually(w.t, func() bool { return len(w.dest.Resumed()) == 1 }, waitTimeout, checkInterval)
}

// loseStream closes the connections of the source's streams. The engine goes on with the run.
func (w *workingRun) loseStream() { w.source.CloseStreams() }

// duringCopy waits until the source makes the n-th copy of the run.
func (w *workingRun) duringCopy(n int) {
	w.t.Helper()
	require.Eventually(w.t, func() bool { return len(w.source.MoveCalls()) == n }, waitTimeout, checkInterval)
	time.Sleep(50 * time.Millisecond)
}

func TestStreamBreaksOffWhileItsEngineMakesACopy(t *testing.T) {
	t.Parallel()
	const copyTime = time.Second
	for name, copies := range map[string]int{"first copy": 1, "refresh": 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := startWorkingRun(t, func(set *standin.Engines) { set.SetLink(standin.Link{Setup: copyTime, TokensPerEvent: 4}) })
			w.duringCopy(copies)
			w.loseStream()
			if copies == 1 {
				<-w.pending // without a replica the stream may end
			} else {
				w.requireWhole()
				assert.LessOrEqual(t, len(finalMoves(w.source)), 30)
			}
			w.requireOneEngine()
		})
	}
}

func TestStreamBreaksOffWhileItsEngineRejectsStops(t *testing.T) {
	t.Parallel()
	for _, status := range []int{http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for _, n := range []int{1, 8, 16} {
			t.Run(fmt.Sprintf("%d times %d", n, status), func(t *testing.T) {
				t.Parallel()
				w := startReplicatedRun(t)
				w.source.RejectFinalMoves(n, status)
				w.loseStream()
				w.requireWhole()
				w.requireOneEngine()
				assert.LessOrEqual(t, len(finalMoves(w.source)), n+2)
			})
		}
	}
}

// Guards against a run at two engines while the first one, which is at work, leaves single calls to stop it unanswered.
func TestStreamBreaksOffWhileItsEngineLeavesStopsUnanswered(t *testing.T) {
	t.Parallel()
	for _, n := range []int{1, 2, 3} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			w := startReplicatedRun(t)
			w.source.IgnoreFinalMoves(n)
			w.loseStream()
			w.requireWhole()
			w.requireOneEngine()
			assert.LessOrEqual(t, len(finalMoves(w.source)), n+2)
		})
	}
}

// The resumable run has no replica and starts again from its prompt.
func TestResumableStreamBreaksOffWhileItsEngineRejectsStops(t *testing.T) {
	t.Parallel()
	for _, n := range []int{0, 4, 16} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			_, h, engines := startEngineFleet(t, 2)
			const events = 1000
			for _, e := range engines {
				e.ContinueWithoutCaller()
				e.RejectFinalMoves(n, http.StatusServiceUnavailable)
			}
			pending := sendAsync(resumableRequest(t.Context(), h, "r-1", events, 0))
			source, _ := waitForBusyEngine(t, engines)
			require.Eventually(t, func() bool { return source.EventsProduced("r-1") >= 100 }, waitTimeout, checkInterval)
			source.CloseStreams()
			a := <-pending
			require.NoError(t, a.err)
			require.Equal(t, standin.StreamText("r-1", events), a.body)
			t.Logf("final moves %v", statusOf(finalMoves(source)))
			requireOneEngineAtATime(t, engines)
		})
	}
}

// The run must go on elsewhere meanwhile, and the engine is stopped once it can be reached.
func TestEngineThatAnswersNoStopGoesOnWithItsRun(t *testing.T) {
	t.Parallel()
	for name, part := range map[string]struct {
		away      time.Duration // more than a call takes
		cut, mend func(w *workingRun)
	}{
		"process is silent": {3 * time.Second, func(w *workingRun) {
			w.loseStream()
			w.source.FallSilent(3 * time.Second)
			w.proxy.CloseConnections()
		}, func(*workingRun) {}},
		"calls arrive late": {3 * time.Second, func(w *workingRun) {
			w.proxy.SetMode(harness.Stall)
			w.proxy.CloseConnections()
		}, func(w *workingRun) { w.proxy.SetMode(harness.Pass) }},
		"calls are lost": {3 * time.Second, func(w *workingRun) {
			w.proxy.SetMode(harness.Stall)
			w.proxy.CloseConnections()
		}, func(w *workingRun) {
			w.proxy.ResetConnections()
			w.proxy.SetMode(harness.Pass)
		}},
		"calls are lost after a takeover": {4500 * time.Millisecond, func(w *workingRun) {
			w.proxy.SetMode(harness.Stall)
		}, func(w *workingRun) {
			w.proxy.ResetConnections()
			w.proxy.SetMode(harness.Pass)
		}},
		"connections are closed": {3 * time.Second, func(w *workingRun) {
			w.proxy.SetMode(harness.CloseNew)
			w.proxy.CloseConnections()
		}, func(w *workingRun) { w.proxy.SetMode(harness.Pass) }},
		"connections are refused": {3 * time.Second, func(w *workingRun) {
			w.proxy.StopListening()
			w.proxy.CloseConnections()
		}, func(w *workingRun) { w.proxy.Listen(w.t) }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := startReplicatedRun(t)
			began := time.Now()
			part.cut(w)
			w.waitUntilResumed()
			assert.Less(t, time.Since(began), 2*time.Second, "the run waited for an engine that does not answer")
			require.True(t, worksOn(w.source))
			time.Sleep(time.Until(began.Add(part.away)))
			mended := time.Now()
			part.mend(w)
			after := stoppedAfter(t, w.source, mended)
			t.Logf("stopped %v after it could be reached", after)
			assert.Less(t, after, maxReturnStop)
			w.requireWhole()
			w.logCalls()
		})
	}
}
