package edge_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/platform/standin"
)

// securedRun starts a run whose leaving engine has copied it when it may not be stopped any more.
func securedRun(t *testing.T, events int) (f *fleet, pending <-chan answer, source, dest *standin.Engine) {
	t.Helper()
	f, h, engines := startEngineFleet(t, 3)
	pending = sendAsync(generationRequest(t.Context(), h, "r-1", events))
	source, others := waitForBusyEngine(t, engines)
	copies := make(chan struct{}, 1000)
	source.OnMove(func(final bool) {
		require.False(t, final)
		copies <- struct{}{}
		if len(copies) == 2 {
			time.Sleep(1300 * time.Millisecond)
		}
	})
	f.register(source.ID, engineService, source.Address(), "draining")
	require.Eventually(t, func() bool { return len(copies) > 2 }, waitTimeout, checkInterval)
	i := slices.IndexFunc(others, func(e *standin.Engine) bool { return e.HeldCopies() > 0 })
	require.GreaterOrEqual(t, i, 0)
	return f, pending, source, others[i]
}

func TestCopyOfARunAtALeavingEngineIsLostWhenItsEngineLeavesToo(t *testing.T) {
	t.Parallel()
	const events = 1200
	f, pending, source, dest := securedRun(t, events)
	f.register(dest.ID, engineService, dest.Address(), "draining")
	time.Sleep(1500 * time.Millisecond)
	dest.Crash()
	source.Crash()
	a := <-pending
	require.NoError(t, a.err)
	require.Equal(t, standin.StreamText("r-1", events), a.body)
}
