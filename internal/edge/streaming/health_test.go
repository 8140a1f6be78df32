package streaming

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/draining"
	"corianderhitch/internal/edge/retrybudget"
	"corianderhitch/internal/edge/targetconn"
)

func TestHostBlamesEngineForItsOwnStall(t *testing.T) {
	for name, fail := range map[string]func(s *Server, r *Run){
		"not reachable": func(s *Server, r *Run) {
			s.startFailure(t.Context(), r, s.Targets.View().Available("s")[0], bootclock.Now().Add(-time.Second), targetconn.ErrNotSent)
		},
		"no response": func(s *Server, r *Run) {
			s.startFailure(t.Context(), r, s.Targets.View().Available("s")[0], bootclock.Now().Add(-time.Second), targetconn.ErrBroken)
		},
		"broken off": func(s *Server, r *Run) {
			r.headSent = true
			r.lastEventAt.Store(int64(bootclock.Now().Add(-time.Second)))
			require.Panics(t, func() { r.finish(t.Context(), s.Targets.View().Available("s")[0], brokenOff, errors.New("reset")) })
		},
		"broken off and restarted": func(s *Server, r *Run) {
			r.call.Route.Resumable = true
			r.lastEventAt.Store(int64(bootclock.Now().Add(-time.Second)))
			r.restart(t.Context(), s.Targets.View().Available("s")[0], brokenOff, errors.New("reset"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			for _, stalled := range []bool{false, true} {
				s, r := placingServer(draining.New(placingDrain), silentObserver{}, func() bool { return false })
				s.RetryBudget = func(string) *retrybudget.Budget {
					return retrybudget.New(0, 0, time.Second, bootclock.Now(), func() int { return 1 })
				}
				if stalled {
					s.Stalls.Beat(bootclock.Now().Add(-1500 * time.Millisecond))
				}
				s.Stalls.Beat(bootclock.Now())
				fail(s, r)
				blamed := s.Health.FailureCost(s.Targets.View().Available("s")[0].Key()) > 1
				require.Equal(t, !stalled, blamed, "stalled: %v", stalled)
			}
		})
	}
}
