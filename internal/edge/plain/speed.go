package plain

import (
	"math/rand/v2"
	"net/http"
	"time"

	"corianderhitch/internal/edge/placement"
	"corianderhitch/internal/edge/policy"
	"corianderhitch/internal/edge/targets"
)

// choose returns the index of the best candidate for a call, or -1. Learned speeds decide as soon as
// they differ.
func (s *Server) choose(candidates []placement.Candidate, tried map[string]bool) int {
	if placement.DifferInSpeed(candidates) {
		return placement.ChoosePlainTargetBySpeed(candidates, s.Domain, tried, [2]float64{rand.Float64(), rand.Float64()})
	}
	return placement.ChoosePlainTarget(candidates, s.Domain, tried)
}

// hedgeDelay returns how long a call waits for the response of a target before it is also sent to a
// second one. A slow target takes beyond the objective more often, so that the wait is shorter there.
func (s *Server) hedgeDelay(route *policy.Route, t *targets.Target) time.Duration {
	delay := max(minHedgeDelay, time.Duration(hedgeDelayFactor*float64(route.Objective)))
	f := s.Speeds.Slowness(t.Key())
	if f <= 1 {
		return delay
	}
	return max(time.Duration(float64(delay)/f), min(minHedgeDelay, max(minSlowHedgeDelay, route.Objective/2)))
}

// minSlowHedgeDelay is the least time that a slow target has to respond.
const minSlowHedgeDelay = 60 * time.Millisecond

// recordSpeed takes a sample of a target's speed from a successful answer. Errors may be fast for
// another reason.
func (s *Server) recordSpeed(o *outcome, inFlight int) {
	if o.result != answered || o.status >= http.StatusBadRequest {
		return
	}
	if latency := s.latency(o); latency > 0 {
		s.Speeds.RecordCall(o.target.Key(), inFlight, o.target.Slots, latency)
	}
}
