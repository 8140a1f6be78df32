package edge_test

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	ports "corianderhitch/internal/platform"
	"corianderhitch/platform"
	"corianderhitch/platform/standin"
	"corianderhitch/tests/harness"
)

func TestEngineOfAContinuationWithoutAnswerWorksBesideTheNext(t *testing.T) {
	t.Parallel()
	for name, prepare := range map[string]func(w *workingRun){
		"stops at once":       func(*workingRun) {},
		"rejects stops":       func(w *workingRun) { w.dest.RejectFinalMoves(12, http.StatusServiceUnavailable) },
		"copies take a while": func(w *workingRun) { w.dest.OnMove(func(bool) { time.Sleep(600 * time.Millisecond) }) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := startReplicatedRun(t)
			prepare(w)
			w.dest.LoseAnswers(1)
			w.register(w.source.ID, engineService, w.proxy.Address(), "draining") // so that the source holds the memory as well
			w.requireWhole()
			require.NotEmpty(t, w.dest.Resumed())
			w.requireOneEngine()
			assert.LessOrEqual(t, len(finalMoves(w.dest)), 14)
		})
	}
}

func TestRunIsLostWithTheAnswerOfItsOnlyContinuation(t *testing.T) {
	t.Parallel()
	w := startReplicatedRun(t)
	w.dest.LoseAnswers(1)
	w.source.Crash()
	w.proxy.CloseConnections()
	w.requireWhole() // no other engine holds the memory
	spans := w.dest.Spans()
	require.Len(t, spans, 2)
	require.True(t, spans[0].Stopped, "%s works on the run twice", w.dest.ID)
	w.logCalls()
}

func TestEngineOfATakeoverThatWasGivenUpIsNotStopped(t *testing.T) {
	t.Parallel()
	const silentBefore = 400
	const briefly, long = 1500 * time.Millisecond, 3800 * time.Millisecond // from before the source goes on
	for name, part := range map[string]struct {
		away      time.Duration // until the other engine can be reached
		cut, mend func(w *workingRun)
		bound     time.Duration
	}{
		"rejects stops":                          {0, func(w *workingRun) { w.dest.RejectFinalMoves(4, http.StatusServiceUnavailable) }, func(*workingRun) {}, stopBound},
		"is silent":                              {briefly, func(w *workingRun) { w.dest.FallSilent(briefly) }, func(*workingRun) {}, stopBound},
		"is silent for longer than a call takes": {long, func(w *workingRun) { w.dest.FallSilent(long) }, func(*workingRun) {}, stopBound},
		"is cut off for longer than a call takes": {long, func(w *workingRun) { w.destProxy.SetMode(harness.Stall) }, func(w *workingRun) {
			w.destProxy.ResetConnections()
			w.destProxy.SetMode(harness.Pass)
		}, maxReturnStop},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			pauses := make(chan time.Duration, 2)
			pauses <- longSilence             // of the source
			pauses <- 1300 * time.Millisecond // of the other engine, before its first event
			w := startWorkingRun(t, func(set *standin.Engines) {
				set.SetEventInterval(func(_ string, n int) time.Duration {
					if n == silentBefore {
						select {
						case pause := <-pauses:
							return pause
						default:
						}
					}
					return standin.EventInterval
				})
			})
			w.waitUntilResumed()
			part.cut(w)
			back := time.Now().Add(part.away)
			require.Eventually(t, func() bool { return w.source.EventsProduced("r-1") >= silentBefore }, waitTimeout, checkInterval/5)
			if wentOn := time.Now(); wentOn.After(back) {
				back = wentOn
			}
			time.Sleep(time.Until(back))
			part.mend(w)
			after := stoppedAfter(t, w.dest, back)
			t.Logf("stopped %v after it could be reached", after)
			assert.Less(t, after, part.bound)
			w.requireWhole()
			require.Empty(t, w.source.Canceled(), "the run stays at its engine")
			w.logCalls()
		})
	}
}

// cutSource makes the source unreachable while it goes on with its run, and waits until the run has
// gone on at the other engine.
func (w *workingRun) cutSource() {
	w.t.Helper()
	w.proxy.SetMode(harness.Stall)
	w.proxy.CloseConnections()
	w.waitUntilResumed()
}

// endSource ends the process of the source, whose entry the platform removes.
func (w *workingRun) endSource() {
	w.t.Helper()
	w.source.Crash()
	w.proxy.StopListening()
	w.proxy.CloseConnections()
}

// remove deletes a target's entry.
func (f *fleet) remove(id string) {
	require.NoError(f.t, f.store.Delete(f.t.Context(), platform.TargetPrefix+id, ports.AnyRevision))
}

// replaceSource ends the source and starts another target at its address.
func (w *workingRun) replaceSource(id, service string, start func(net.Listener)) {
	w.t.Helper()
	w.endSource()
	w.remove(w.source.ID)
	var listener net.Listener
	require.Eventually(w.t, func() (ok bool) {
		var err error
		listener, err = net.Listen("tcp", w.proxy.Address())
		return err == nil
	}, waitTimeout, checkInterval)
	start(listener)
	started := standin.ColdTargetEntry("a", service, w.proxy.Address(), "ready", 6, time.Now().UnixMilli(), 0)
	_, err := w.store.Put(w.t.Context(), platform.TargetPrefix+id, started, ports.AnyRevision, 0)
	require.NoError(w.t, err)
}

// requireStopEnded waits until an engine is not asked any more to stop the run.
func (w *workingRun) requireStopEnded(within time.Duration) {
	w.t.Helper()
	began := time.Now()
	require.Eventually(w.t, func() bool { return logContains(w.h, stopEnded) }, within, checkInterval, "the engine is asked on")
	for line := range strings.Lines(w.h.logs.String()) {
		if strings.Contains(line, stopEnded) {
			w.t.Logf("after %v: %s", time.Since(began), line)
		}
	}
}

const stopEnded = `"msg":"stream: asked an engine to stop the run"`

func TestStopOfARunGoesOnAfterItsEngineHasGone(t *testing.T) {
	t.Parallel()
	for name, leave := range map[string]func(w *workingRun){
		"exits":             func(*workingRun) {},
		"has left the list": func(w *workingRun) { w.remove(w.source.ID) },
		"leaves, then exits": func(w *workingRun) {
			w.register(w.source.ID, engineService, w.proxy.Address(), "draining")
			time.Sleep(time.Second)
			w.remove(w.source.ID)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := startReplicatedRun(t)
			w.cutSource()
			leave(w)
			w.endSource()
			ended := time.Now()
			w.requireWhole()
			if name == "exits" {
				w.remove(w.source.ID)
			}
			w.requireStopEnded(workingDeadline)
			t.Logf("stop ended %v after the engine had", time.Since(ended))
			w.logCalls()
		})
	}
}

// The address of the engine that ended is used again. The stop must end, and must not end the run of
// the same request at the new engine.
func TestStopReachesTheNextTargetAtTheAddress(t *testing.T) {
	t.Parallel()
	t.Run("an engine", func(t *testing.T) {
		t.Parallel()
		w := startReplicatedRun(t)
		w.cutSource()
		var next *standin.Engine
		w.replaceSource("e-3", engineService, func(l net.Listener) { next = w.set.Start("e-3", l) })
		t.Cleanup(next.Crash)
		next.RejectFinalMoves(1000, http.StatusServiceUnavailable) // as long as the run is not there
		require.Eventually(t, func() bool { return strings.Count(w.h.logs.String(), "backup: replication finished") == 2 }, waitTimeout, checkInterval)
		w.dest.Crash()
		require.Eventually(t, func() bool { return next.EventsProduced("r-1") > 0 }, waitTimeout, checkInterval)
		next.RejectFinalMoves(0, 0)
		w.requireWhole()
		t.Logf("final moves at the next engine: %v", statusOf(finalMoves(next)))
		require.Len(t, next.Spans(), 1)
		require.False(t, next.Spans()[0].Stopped, "the new engine was stopped")
		w.requireStopEnded(3 * time.Second)
	})
	t.Run("a plain target", func(t *testing.T) {
		t.Parallel()
		w := startReplicatedRun(t)
		w.cutSource()
		var plain *standin.PlainTarget
		w.replaceSource("p-1", plainService, func(l net.Listener) { plain = standin.StartPlainTarget("p-1", l) })
		t.Cleanup(plain.Close)
		w.requireWhole()
		w.requireStopEnded(3 * time.Second)
		assert.LessOrEqual(t, len(plain.Requests()), 2, "calls of the stop at a target that has nothing to do with the run")
		w.logCalls()
	})
	t.Run("a plain target while the run waits", func(t *testing.T) {
		t.Parallel()
		w := startReplicatedRun(t)
		w.source.RejectFinalMoves(1000, http.StatusServiceUnavailable)
		w.loseStream()
		require.Eventually(t, func() bool { return len(finalMoves(w.source)) > 5 }, waitTimeout, checkInterval)
		require.Empty(t, w.dest.Resumed(), "the engine is at work")
		w.replaceSource("p-1", plainService, func(l net.Listener) { t.Cleanup(standin.StartPlainTarget("p-1", l).Close) })
		w.requireWhole()
		w.requireOneEngine()
	})
}
