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
	const pause = time.Second
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
