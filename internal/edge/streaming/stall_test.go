package streaming

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/draining"
	"corianderhitch/internal/quarantine"
)

func TestStallOfTheHostHidesCrashesOfEnginesForGood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, r := placingServer(draining.New(placingDrain), silentObserver{}, func() bool { return false })
		reported := false
		s.Sender.Crashes = &edge.CrashGuard{Tracker: quarantine.New("host", func(quarantine.Change) {}), OnEvidence: func() { reported = true }}
		s.Stalls.Beat(bootclock.Now())
		w := s.watchStart(t.Context(), r, s.Targets.View().Available("s")[0], edge.Dispatch{})
		time.Sleep(500 * time.Millisecond) // the stall
		for range 35 {
			s.Stalls.Beat(bootclock.Now())
			time.Sleep(100 * time.Millisecond)
		}
		w.stop()
		require.True(t, reported, "the engine has sent nothing for 4 s")
	})
}
