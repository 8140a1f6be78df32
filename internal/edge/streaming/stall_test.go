package streaming

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/draining"
	"corianderhitch/internal/quarantine"
)

func TestStallOfTheHostHidesCrashesOfEnginesForGood(t *testing.T) {
	t.Parallel()
	s, r := placingServer(draining.New(placingDrain), silentObserver{}, func() bool { return false })
	var reported atomic.Bool
	s.Sender.Crashes = &edge.CrashGuard{Tracker: quarantine.New("host", func(quarantine.Change) {}), OnEvidence: func() { reported.Store(true) }}
	s.Runs = NewRuns(func(*Run, string) {})
	s.Stalls.Beat(bootclock.Now())
	w := s.watchStart(t.Context(), r, s.Targets.View().Available("s")[0], edge.Dispatch{})
	defer w.stop()
	time.Sleep(500 * time.Millisecond) // the stall
	require.Eventually(t, func() bool {
		s.Stalls.Beat(bootclock.Now())
		return reported.Load()
	}, 4*time.Second, 50*time.Millisecond)
}
