package edge_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/platform/standin"
)

// hearOfPause sends a host generations until an engine has told it that it wants a pause, and waits until
// other hosts know. The other engines fill up, so that runs would move to that one.
func hearOfPause(t *testing.T, told *host, pausing *standin.Engine, events int) {
	t.Helper()
	for i := 0; len(pausing.Statements()) == 0; i++ {
		require.Less(t, i, 6)
		sendAsync(generationRequest(t.Context(), told, fmt.Sprint("f-", i), events))
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(700 * time.Millisecond)
}

// LOST: a run was moved to an engine that wanted a pause, of which only other hosts knew. It rejected the run,
// and the source ended.
func TestRunDoesNotMoveToAnEngineThatWantsAPauseFromAnotherHost(t *testing.T) {
	for name, hosts := range map[string][2]int{"a hub was told": {0, 3}, "a hub moves the run": {3, 0}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const events = 600
			f, _, engines := startEngineFleet(t, 3)
			for range 3 {
				f.startHost()
			}
			told, moving := f.hosts[hosts[0]], f.hosts[hosts[1]]
			pending := sendAsync(generationRequest(t.Context(), moving, "r-1", events))
			source, others := waitForBusyEngine(t, engines)
			pausing, other := others[0], others[1]
			pausing.Pause(5 * time.Second)
			hearOfPause(t, told, pausing, events)
			f.register(source.ID, engineService, source.Address(), "draining")
			a := <-pending
			require.NoError(t, a.err)
			require.Equal(t, standin.StreamText("r-1", events), a.body)
			for _, r := range pausing.Requests() {
				require.NotEqual(t, "r-1", r.ID())
			}
			require.Contains(t, other.Resumed(), "r-1")
		})
	}
}

// A run was stopped for the only engine left, which rejected it as it wanted a pause from another host.
func TestRunIsStoppedForItsOnlyDestinationAfterThePause(t *testing.T) {
	t.Parallel()
	const events = 600
	f, moving, engines := startEngineFleet(t, 2)
	told := f.startHost()
	pending := sendAsync(generationRequest(t.Context(), moving, "r-1", events))
	source, others := waitForBusyEngine(t, engines)
	others[0].Pause(1300 * time.Millisecond)
	hearOfPause(t, told, others[0], events)
	copies := make(chan bool, 1000)
	source.OnMove(func(final bool) { copies <- final })
	f.register(source.ID, engineService, source.Address(), "draining")
	a := <-pending
	require.NoError(t, a.err)
	require.Equal(t, standin.StreamText("r-1", events), a.body)
	require.Contains(t, others[0].Resumed(), "r-1")
	for _, s := range others[0].Statements() {
		require.NotEqual(t, "r-1", s.RequestID, "it was stopped in the pause")
	}
	require.Less(t, len(copies), 40, "copies while runs wait")
}
