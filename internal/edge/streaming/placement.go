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

// Choice is an engine for a run, which its load is counted at already.
type Placement struct {
	Target     *targets.Target    // nil if none has room
	LoadBefore inflight.Load      // of the target, as the one who chose knew it
	Shortage   placement.Shortage // why there is no target
	DecidedBy  string             // who chose, for the log
}

// Choose finds an engine with room and counts the run's load there. A hub, which
// sees all runs, decides if it answers; otherwise this host does.
func (s *Server) ReserveEngine(ctx context.Context, service *policy.Service, need placement.Requirements, load inflight.Load, tried map[string]bool) Placement {
	placed := Placement{DecidedBy: "hub"}
	excluded := append(slices.Collect(maps.Keys(tried)), s.failingEngines(service)...)
	reply, hubAnswered := s.PlaceViaHub(ctx, peers.PlaceArgs{Service: service.Name, Need: need, Load: load, Tried: excluded})
	if hubAnswered {
		placed.Target, placed.LoadBefore, placed.Shortage = s.Targets.View().Get(reply.Target), reply.Before, reply.Shortage
		if placed.Target == nil && reply.Target != "" {
			hubAnswered = false // this host does not know the target yet
		}
	}
	if !hubAnswered {
		need.Spread, need.Draw = s.Spread(), rand.Float64()
		decision := s.ChooseEngine(service, need, tried)
		placed.Target, placed.LoadBefore, placed.Shortage, placed.DecidedBy = s.Targets.View().Get(decision.Target), decision.Before, decision.Shortage, "host"
	}
	if placed.Target != nil {
		s.Inflight.Add(placed.Target.Key(), load)
	}
	return placed
}

// failing returns the engines that fail for this host, which the hub cannot know.
func (s *Server) failingEngines(service *policy.Service) []string {
	var keys []string
	for _, t := range s.Targets.View().Available(service.Name) {
		if key := t.Key(); s.Health.FailureCost(key) > placement.MaxHealthyCost {
			keys = append(keys, key)
		}
	}
	return keys
}

// Decide chooses the engine with room that is best by what this host knows.
func (s *Server) ChooseEngine(service *policy.Service, need placement.Requirements, tried map[string]bool) placement.Decision {
	serving := s.Targets.View().Available(service.Name)
	candidates := make([]placement.Candidate, len(serving))
	for i, t := range serving {
		key := t.Key()
		candidates[i] = placement.Candidate{Target: t, Load: s.Inflight.TotalLoad(key), FailureCost: s.Health.FailureCost(key)}
	}
	i := placement.ChooseEngine(candidates, service.Engine, need, tried)
	if i < 0 {
		return placement.Decision{Shortage: placement.CountShortage(candidates, service.Engine, need, tried)}
	}
	return placement.Decision{Target: serving[i].Key(), Before: candidates[i].Load}
}

// newNeed returns what a new run needs of an engine.
func newRequirements(a *edge.AuthorizedCall, load inflight.Load, domain string) placement.Requirements {
	need := placement.Requirements{Tokens: load.Tokens, Output: load.Tokens - load.Held, Unread: load.Unread, Objective: a.Route.Objective, Domain: domain}
	// The last part of a prompt is the request's own; what comes before it is
	// cached where other requests have been.
	if g := a.Call.Generation; g != nil && len(g.Prefix) > 1 {
		need.Affinity = g.Prefix[0].ID + ":" + strconv.Itoa(g.Prefix[0].Tokens)
		for _, part := range g.Prefix[:len(g.Prefix)-1] {
			need.Shared += part.Tokens
		}
	}
	return need
}
