package streaming

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/targets"
)

// The previous engine's silence must not count against the engine at which a run
// continues, or the run would be failed over again immediately.
func TestSinceLastEventRestartsAtTheNextEngine(t *testing.T) {
	r := &Run{server: &Server{Runs: NewRuns(func(*Run, string) {})}}
	require.Zero(t, r.SinceLastEvent(), "no event yet")
	r.lastEventAt.Store(int64(bootclock.Now().Add(-time.Minute)))
	require.GreaterOrEqual(t, r.SinceLastEvent(), time.Minute)
	r.enterTarget(&segment{target: &targets.Target{ID: "t"}})
	require.Less(t, r.SinceLastEvent(), time.Minute)
}
