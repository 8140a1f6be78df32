package streaming

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/peers"
	"corianderhitch/internal/edge/placement"
	"corianderhitch/internal/edge/policy"
	"corianderhitch/internal/edge/targets"
)

// Placement is an engine chosen for a run, or the reason why there is none.
type Placement struct {
	Target     *targets.Target    // nil if no engine has capacity
	LoadBefore inflight.Load      // load of the target before this run, as known to the host that chose it
	Shortage   placement.Shortage // why no engine has capacity
	DecidedBy  string             // "hub" or "host" (this one), for logs
}

// ReserveEngine chooses an engine with capacity and counts load there. A hub, which
// knows the runs of all hosts, chooses; if no hub can, this host does.
func (s *Server) ReserveEngine(ctx context.Context, service *policy.Service, need placement.Requirements, load inflight.Load, tried map[string]bool) Placement {
	placed := Placement{DecidedBy: "hub"}
	excluded := append(slices.Collect(maps.Keys(tried)), s.failingEngines(service, tried)...)
	excluded = append(excluded, s.Targets.View().Refusing(service.Name)...)
	reply, placedByHub := s.PlaceViaHub(ctx, peers.PlaceArgs{Service: service.Name, Need: need, Load: load, Tried: excluded})
	if placedByHub {
		placed.Target, placed.LoadBefore, placed.Shortage = s.Targets.View().Get(reply.Target), reply.Before, reply.Shortage
		if placed.Target == nil && reply.Target != "" {
			placedByHub = false // the target is not in this host's list yet
		}
	}
	if !placedByHub {
		need.Spread, need.Draw = s.EstimateSpread(), rand.Float64()
		decision := s.ChooseEngine(s.Targets.View().Available(service.Name), service, need, tried)
		placed.Target, placed.LoadBefore, placed.Shortage, placed.DecidedBy = s.Targets.View().Get(decision.Target), decision.Before, decision.Shortage, "host"
	}
	if placed.Target != nil {
		s.Inflight.Add(placed.Target.Key(), load)
	}
	return placed
}

// failingEngines returns the keys of the engines whose recent calls from this host failed; the
// hub does not know of them. It returns none if all engines that were not tried are failing: a
// fault near this host, or a silence of all, must not make all of them unusable.
func (s *Server) failingEngines(service *policy.Service, tried map[string]bool) []string {
	var failing []string
	healthy := false
	for _, t := range s.Targets.View().Available(service.Name) {
		switch key := t.Key(); {
		case s.Health.FailureCost(key) > placement.MaxHealthyCost:
			failing = append(failing, key)
		case !tried[key]:
			healthy = true
		}
	}
	if !healthy {
		return nil
	}
	return failing
}

// ChooseEngine chooses the best engine with capacity from what this host knows.
func (s *Server) ChooseEngine(engines []*targets.Target, service *policy.Service, need placement.Requirements, tried map[string]bool) placement.Decision {
	candidates := make([]placement.Candidate, len(engines))
	slowness := s.slownessOf(engines)
	for i, t := range engines {
		key := t.Key()
		candidates[i] = placement.Candidate{Target: t, Load: s.Inflight.TotalLoad(key), FailureCost: s.Health.FailureCost(key), Slowness: slowness[i]}
	}
	i := placement.ChooseEngine(candidates, service.Engine, need, tried)
	if i < 0 {
		return placement.Decision{Shortage: placement.CountShortage(candidates, service.Engine, need, tried)}
	}
	return placement.Decision{Target: engines[i].Key(), Before: candidates[i].Load}
}

// newRequirements returns what a new run requires of an engine. domain is the failure
// domain of this host.
func newRequirements(a *edge.AuthorizedCall, load inflight.Load, domain string) placement.Requirements {
	need := placement.Requirements{Tokens: load.Tokens, Output: load.Tokens - load.Held, Unread: load.Unread, Objective: a.Route.Objective, GapObjective: a.Route.GapObjective, Domain: domain}
	// The last part of a prompt is specific to the request; the parts before it are
	// cached at engines that served requests with the same prefix.
	if g := a.Call.Generation; g != nil && len(g.Prefix) > 1 {
		need.Affinity = g.Prefix[0].ID + ":" + strconv.Itoa(g.Prefix[0].Tokens)
		for _, part := range g.Prefix[:len(g.Prefix)-1] {
			need.Shared += part.Tokens
		}
	}
	return need
}
