package edge_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/platform/standin"
)

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
			for i := 0; len(pausing.Statements()) == 0; i++ { // the others fill up, so that the run would move to it
				require.Less(t, i, 6)
				sendAsync(generationRequest(t.Context(), told, fmt.Sprint("f-", i), events))
				time.Sleep(100 * time.Millisecond)
			}
			time.Sleep(700 * time.Millisecond) // the hosts tell each other
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
