package streaming

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/loadbook"
	"corianderhitch/internal/edge/peers"
	"corianderhitch/internal/edge/placing"
	"corianderhitch/internal/edge/policy"
	"corianderhitch/internal/edge/targets"
)

// Choice is an engine for a run, which its load is counted at already.
type Choice struct {
	Target   *targets.Target  // nil if none has room
	Before   loadbook.Load    // of the target, as the one who chose knew it
	Shortage placing.Shortage // why there is no target
	By       string           // who chose, for the log
}

// Choose finds an engine with room and counts the run's load there. A hub, which
// sees all runs, decides if it answers; otherwise this host does.
func (s *Server) Choose(ctx context.Context, service *policy.Service, need placing.Need, own loadbook.Load, tried map[string]bool) Choice {
	c := Choice{By: "hub"}
	out := append(slices.Collect(maps.Keys(tried)), s.failing(service)...)
	reply, able := s.Ask(ctx, peers.PlaceArgs{Service: service.Name, Need: need, Load: own, Tried: out})
	if able {
		c.Target, c.Before, c.Shortage = s.Targets.View().Get(reply.Target), reply.Before, reply.Shortage
		if c.Target == nil && reply.Target != "" {
			able = false // this host does not know the target yet
		}
	}
	if !able {
		need.Spread, need.Draw = s.Spread(), rand.Float64()
		decision := s.Decide(service, need, tried)
		c.Target, c.Before, c.Shortage, c.By = s.Targets.View().Get(decision.Target), decision.Before, decision.Shortage, "host"
	}
	if c.Target != nil {
		s.Book.Add(c.Target.Key(), own)
	}
	return c
}

// failing returns the engines that fail for this host, which the hub cannot know.
func (s *Server) failing(service *policy.Service) []string {
	var keys []string
	for _, t := range s.Targets.View().Serving(service.Name) {
		if key := t.Key(); s.Health.Cost(key) > placing.MaxCost {
			keys = append(keys, key)
		}
	}
	return keys
}

// Decide chooses the engine with room that is best by what this host knows.
func (s *Server) Decide(service *policy.Service, need placing.Need, tried map[string]bool) placing.Decision {
	serving := s.Targets.View().Serving(service.Name)
	candidates := make([]placing.Candidate, len(serving))
	for i, t := range serving {
		key := t.Key()
		candidates[i] = placing.Candidate{Target: t, Load: s.Book.Load(key), Cost: s.Health.Cost(key)}
	}
	i := placing.Engine(candidates, service.Engine, need, tried)
	if i < 0 {
		return placing.Decision{Shortage: placing.Explain(candidates, service.Engine, need, tried)}
	}
	return placing.Decision{Target: serving[i].Key(), Before: candidates[i].Load}
}

// newNeed returns what a new run needs of an engine.
func newNeed(a *edge.Admitted, own loadbook.Load, domain string) placing.Need {
	need := placing.Need{Tokens: own.Tokens, Output: own.Tokens - own.Held, Unread: own.Unread, Objective: a.Route.Objective, Domain: domain}
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
