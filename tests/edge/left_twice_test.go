package edge_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"corianderhitch/platform/standin"
)

// rejectedMoves is more final moves than a host asks for within the time of a leaving notice.
const rejectedMoves = 1000

// Guards against the end of the process when an engine leaves a second time under a stream whose final copy failed the
// first time.
func TestEngineLeavesTwiceUnderAStreamThatCouldNotMove(t *testing.T) {
	t.Parallel()
	for name, part := range map[string]struct{ fail, mend func(*standin.Engine) }{
		"rejected":     {func(e *standin.Engine) { e.RejectFinalMoves(rejectedMoves, http.StatusTooManyRequests) }, func(e *standin.Engine) { e.RejectFinalMoves(0, 0) }},
		"no room":      {func(e *standin.Engine) { e.RejectFinalMoves(rejectedMoves, http.StatusServiceUnavailable) }, func(e *standin.Engine) { e.RejectFinalMoves(0, 0) }},
		"not answered": {func(e *standin.Engine) { e.IgnoreFinalMoves(rejectedMoves) }, func(e *standin.Engine) { e.IgnoreFinalMoves(0) }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := startReplicatedRun(t)
			part.fail(w.source)
			w.remove("e-1") // as an engine that the store does not hear
			require.Eventually(t, func() bool { return len(finalMoves(w.source)) > 0 }, waitTimeout, checkInterval)
			time.Sleep(100 * time.Millisecond)
			w.register("e-1", engineService, w.proxy.Address(), "ready")
			require.Eventually(t, func() bool { return logContains(w.h, `"migration: final copy"`) }, waitTimeout, checkInterval)
			part.mend(w.source)
			w.register("e-1", engineService, w.proxy.Address(), "draining")
			w.requireWhole()
			w.requireOneEngine()
			assert.Len(t, w.dest.Resumed(), 1)
		})
	}
}

// Guards against runs that stay at a leaving engine, without a copy that is kept, because the first final copy failed.
func TestFinalCopyThatFailsIsTriedAgain(t *testing.T) {
	t.Parallel()
	for name, fail := range map[string]func(*standin.Engine){
		"rejected once": func(e *standin.Engine) { e.RejectFinalMoves(1, http.StatusTooManyRequests) },
		"no room once":  func(e *standin.Engine) { e.RejectFinalMoves(1, http.StatusServiceUnavailable) },
		"no room twice": func(e *standin.Engine) { e.RejectFinalMoves(2, http.StatusServiceUnavailable) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := startReplicatedRun(t)
			fail(w.source)
			w.register("e-1", engineService, w.proxy.Address(), "draining")
			require.Eventually(t, func() bool { return len(w.dest.Resumed()) == 1 }, 1500*time.Millisecond, checkInterval, "the run stays at its leaving engine")
			w.requireWhole()
			w.requireOneEngine()
		})
	}
}
