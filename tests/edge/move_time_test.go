package edge_test

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/platform/standin"
)

// The destination has lost the copy, so that the run can only continue at its source.
func TestFinalCopyHasOnlyTheTimeThatEarlierCopiesLeft(t *testing.T) {
	t.Parallel()
	const events = 800
	f, h, engines := startEngineFleet(t, 2)
	pending := sendAsync(generationRequest(t.Context(), h, "r-1", events))
	source, others := waitForBusyEngine(t, engines)
	var once sync.Once
	copies := make(chan struct{}, 100)
	source.OnMove(func(final bool) {
		copies <- struct{}{}
		switch {
		case final:
			others[0].DropCopies()
			time.Sleep(700 * time.Millisecond)
		case len(copies) > 1:
			once.Do(func() { time.Sleep(2200 * time.Millisecond) })
		}
	})
	f.register(source.ID, engineService, source.Address(), "draining")
	a := <-pending
	require.NoError(t, a.err)
	require.Equal(t, standin.StreamText("r-1", events), a.body)
}

func TestRunIsStoppedShortlyBeforeItsEngineExits(t *testing.T) {
	t.Parallel()
	const events = 800
	f, h, engines := startEngineFleet(t, 2)
	pending := sendAsync(generationRequest(t.Context(), h, "r-1", events))
	source, _ := waitForBusyEngine(t, engines)
	copies, finals := make(chan struct{}, 100), make(chan struct{}, 1)
	source.OnMove(func(final bool) {
		copies <- struct{}{}
		switch {
		case final:
			finals <- struct{}{}
			time.Sleep(400 * time.Millisecond) // behind the copies of other hosts
		case len(copies) == 1:
			time.AfterFunc(1600*time.Millisecond, source.Crash)
		case len(copies) == 2:
			time.Sleep(1300 * time.Millisecond)
		}
	})
	f.register(source.ID, engineService, source.Address(), "draining")
	a := <-pending
	require.NoError(t, a.err)
	require.Equal(t, standin.StreamText("r-1", events), a.body)
	require.Empty(t, finals, "the run was stopped although its engine might exit before the final copy was complete")
}
