package edge_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/platform/standin"
)

// Both engines that hold the memory of a moved run want a pause that ends before the caller
// would give up.
func TestMovedRunOutlastsPausesOfItsEngines(t *testing.T) {
	t.Parallel()
	for _, pause := range []time.Duration{time.Second, 2500 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			t.Parallel()
			requireMovedRunOutlastsPauses(t, pause)
		})
	}
}

func requireMovedRunOutlastsPauses(t *testing.T, pause time.Duration) {
	t.Helper()
	f, h, engines := startEngineFleet(t, 2)
	pending := sendAsync(generationRequest(t.Context(), h, "r-1", longGeneration))
	source, others := waitForBusyEngine(t, engines)
	others[0].Pause(pause)
	source.OnMove(func(final bool) {
		if final {
			source.Pause(pause)
		}
	})
	f.register(source.ID, engineService, source.Address(), "draining")
	a := <-pending
	require.NoError(t, a.err)
	require.Equal(t, standin.StreamText("r-1", longGeneration), a.body)
	require.Empty(t, others[0].Started())
}
