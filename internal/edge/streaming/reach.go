package streaming

import (
	"context"
	"time"

	"corianderhitch/internal/edge/targets"
	"corianderhitch/internal/wait"
)

const (
	// reachPatienceShare of the time that callers of a stream wait for its first event at least is how
	// long a run waits until its host reaches the engine again. Such outages last seconds, and the rest
	// is left for the prompt.
	reachPatienceShare = 0.75
	// reachCheckInterval is how often a waiting run looks whether its host reaches the engine again.
	reachCheckInterval = 50 * time.Millisecond
)

// awaitReach waits until this host reaches the engines of a target's service again. It returns false if
// that takes too long for the run's caller.
func (s *Server) awaitReach(ctx context.Context, r *Run, t *targets.Target) bool {
	patience := time.Duration(reachPatienceShare * float64(r.call.Route.MinCallerPatience()))
	for ctx.Err() == nil && r.call.SinceReceived() < patience {
		if s.CutOff == nil || !s.CutOff(t.Key()) {
			return true
		}
		wait.For(ctx, reachCheckInterval)
	}
	return false
}
