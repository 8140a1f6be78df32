package targetnotice

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/targetspeed"
)

func always(string) bool { return true }

// Hosts sent each other's hints back, and a pause would never have ended for them.
func TestHintOfAPauseEndsThoughHostsTellEachOtherForLong(t *testing.T) {
	told, hubs, host := New(), []*Tracker{New(), New()}, New()
	told.ObservePause("a@1", at(0), 2*time.Second, 0)
	told.ObservePause("plain@1", at(0), 2*time.Second, 0)
	engines := func(incarnation string) bool { return incarnation == "a@1" }
	const onTheWay = 0.05
	for second := 0.0; second < 4; second += 0.1 {
		for i, hub := range hubs {
			hub.MergePauses(told.PauseNotices(false, engines, at(second)), at(second+onTheWay))
			hubs[1-i].MergePauses(hub.PauseNotices(true, engines, at(second+onTheWay)), at(second+2*onTheWay))
			host.MergePauses(hub.PauseNotices(true, engines, at(second+onTheWay)), at(second+2*onTheWay))
			told.MergePauses(hub.PauseNotices(true, engines, at(second+onTheWay)), at(second+2*onTheWay))
		}
		for _, tracker := range append(hubs, told, host) {
			require.Equal(t, Allowed, tracker.Check("b@1", Request, at(second), at(second)))
			if second < 1.8 {
				require.True(t, tracker.IsPausedForAny("a@1", at(second+0.1)))
			}
			if second > 2.2 {
				require.False(t, tracker.IsPausedForAny("a@1", at(second)))
			}
			require.Equal(t, tracker == told && second < 1.8, tracker.IsPausedForAny("plain@1", at(second+0.1)) && second < 1.8)
		}
	}
	require.Equal(t, Allowed, host.Check("a@1", Request, at(1), at(1)), "a hint refuses nothing")
	require.False(t, host.AnyRestricted(at(1)))
	require.Empty(t, host.PauseNotices(true, always, at(3)))
}

func TestHintsOfPausesAreBounded(t *testing.T) {
	tracker := New()
	for i := range 2 * maxPauseNotices {
		tracker.MergePauses([]PauseNotice{{Target: targetspeed.IDOf(fmt.Sprint("x", i)), Millis: 1000}}, at(0))
		tracker.ObservePause(fmt.Sprint("y", i), at(0), time.Second, 0)
	}
	require.Len(t, tracker.hints, maxPauseNotices)
	require.Len(t, tracker.PauseNotices(true, always, at(0)), maxPauseNotices)
	tracker.MergePauses([]PauseNotice{{Target: targetspeed.IDOf("z"), Millis: 1<<32 - 1}}, at(1))
	require.Len(t, tracker.hints, 1, "those that have ended are forgotten")
	require.False(t, tracker.IsPausedForAny("z", at(1).Add(maxPause)))
}
