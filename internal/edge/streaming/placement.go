package streaming

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/peers"
	"corianderhitch/internal/edge/placement"
	"corianderhitch/internal/edge/policy"
	"corianderhitch/internal/edge/region"
	"corianderhitch/internal/edge/targets"
	"corianderhitch/internal/edge/waitlist"
	"corianderhitch/internal/edge/warmup"
)

// Placement is an engine chosen for a run, or the reason why there is none.
type Placement struct {
	Target     *targets.Target    // nil if no engine has capacity
	LoadBefore inflight.Load      // load of the target before this run, as known to the host that chose it
	Shortage   placement.Shortage // why no engine has capacity
	DecidedBy  string             // "hub" or "host" (this one), for logs
	Order      *waitlist.Verdict  // what the order of all hosts decided; nil if there is none
	// PermitUntil is until when the run may be sent to the target, which is cold, by a permit of the hub;
	// 0 without one.
	PermitUntil bootclock.Instant
}

// permit records that the run may be sent by a permit of the hub, which was asked for at an instant.
func (p *Placement) permit(granted bool, askedAt bootclock.Instant) {
	if granted {
		p.PermitUntil = askedAt.Add(warmup.HubPermitFor)
	}
}

// ReserveEngine chooses an engine with capacity and counts load there. A hub, which
// knows the runs of all hosts, chooses; if no hub can, this host does.
func (s *Server) ReserveEngine(ctx context.Context, service *policy.Service, need placement.Requirements, load inflight.Load, tried map[string]bool) Placement {
	return s.reserveInTurn(ctx, service, need, load, tried, nil)
}

// reserveInTurn is ReserveEngine for a run with a turn in the order of all hosts; nil if it has none.
func (s *Server) reserveInTurn(ctx context.Context, service *policy.Service, need placement.Requirements, load inflight.Load, tried map[string]bool, turn *turn) Placement {
	if need.Move || need.Limit > 0 {
		// A run that continues at a cold engine waits for a permit, which other hosts may hold.
		tried = withKeys(tried, s.allowedView(service, need.Regions).Cold(service.Name))
	}
	placed, placedByHub := s.reserveAtHub(ctx, service, need, load, tried, turn)
	if !placedByHub {
		need.Spread, need.Draw = s.EstimateSpread(), rand.Float64()
		var decision placement.Decision
		var permitted bool
		askedAt := bootclock.Now()
		decision, permitted = s.chooseHere(service, need, tried)
		placed = Placement{Target: s.Targets.View().Get(decision.Target), LoadBefore: decision.Before, Shortage: decision.Shortage, DecidedBy: "host"}
		if placed.Target != nil {
			placed.permit(permitted, askedAt)
			s.Inflight.Add(placed.Target.Key(), load)
		}
	}
	return placed
}

// enginesWithoutPermit returns the keys of the cold engines that a new run could use if the hub granted a
// permit. Moves and replicas use the shares of hosts only.
func (s *Server) enginesWithoutPermit(view *targets.View, service *policy.Service, need *placement.Requirements, tried map[string]bool) []string {
	if need.Move || need.Limit > 0 {
		return nil
	}
	return slices.DeleteFunc(view.WithoutPermit(service.Name), func(key string) bool {
		return tried[key] || s.Health.FailureCost(key) > placement.MaxHealthyCost
	})
}

// chooseHere is ChooseEngine among the engines that accept a run from this host, and if this host is the
// placing hub, among those for which it grants a permit.
func (s *Server) chooseHere(service *policy.Service, need placement.Requirements, tried map[string]bool) (d placement.Decision, permitted bool) {
	view := s.allowedView(service, need.Regions)
	engines := view.Available(service.Name)
	var lacking []string
	if s.Permits != nil {
		for _, key := range s.enginesWithoutPermit(view, service, &need, tried) {
			if t := view.Get(key); t != nil && !slices.Contains(engines, t) && s.Permits.HasHubPermit(key, bootclock.Now()) {
				lacking = append(lacking, key)
				engines = append(slices.Clip(engines), t) // the slice is shared
			}
		}
	}
	return placement.ChooseWithPermits(s.Permits, lacking, tried, func(tried map[string]bool) placement.Decision {
		return s.ChooseEngine(engines, service, need, tried)
	})
}

// allowedView returns the targets with those of the service that are in the regions.
func (s *Server) allowedView(service *policy.Service, regions region.Set) *targets.View {
	view := s.Targets.View()
	if !regions.Restricted {
		return view
	}
	return view.Only(service.Name, func(domain string) bool { return s.Regions.Allows(regions, domain) })
}

// view returns the targets with those of its service on which the call may run.
func (s *Server) view(a *edge.AuthorizedCall) *targets.View {
	return s.allowedView(a.Service, a.Regions)
}

// queueOf returns the name of the queue in which the call waits for an engine. Calls with other
// regions wait for other engines.
func queueOf(a *edge.AuthorizedCall) string { return a.Service.Name + a.Regions.Key() }

// withKeys returns the set with more keys; the set itself if there are none.
func withKeys(set map[string]bool, more []string) map[string]bool {
	if len(more) == 0 {
		return set
	}
	out := maps.Clone(set)
	if out == nil {
		out = make(map[string]bool)
	}
	for _, key := range more {
		out[key] = true
	}
	return out
}

// reserveAtHub lets a hub choose and counts load at the engine. It returns false if no hub
// could choose.
func (s *Server) reserveAtHub(ctx context.Context, service *policy.Service, need placement.Requirements, load inflight.Load, tried map[string]bool, turn *turn) (Placement, bool) {
	view := s.allowedView(service, need.Regions)
	excluded := append(slices.Collect(maps.Keys(tried)), s.failingEngines(view, service, tried)...)
	excluded = append(excluded, view.Refusing(service.Name)...)
	args := peers.PlaceArgs{Service: service.Name, Need: need, Load: load, Tried: excluded, WithoutPermit: s.enginesWithoutPermit(view, service, &need, tried)}
	turn.addTo(&args)
	askedAt := bootclock.Now()
	reply, placedByHub := s.PlaceViaHub(ctx, args)
	if !placedByHub {
		return Placement{}, false
	}
	placed := Placement{Target: s.Targets.View().Get(reply.Target), LoadBefore: reply.Before, Shortage: reply.Shortage, DecidedBy: "hub", Order: reply.Order}
	if placed.Target == nil {
		return placed, reply.Target == "" // otherwise the target is not in this host's list yet
	}
	if !s.Regions.Allows(need.Regions, placed.Target.Domain) {
		return Placement{}, false // the hub is of a build that knows no regions
	}
	placed.permit(reply.Permitted, askedAt)
	s.Inflight.Add(placed.Target.Key(), load)
	return placed, true
}

// failingEngines returns the keys of the engines whose recent calls from this host failed; the
// hub does not know of them. It returns none if all engines that were not tried are failing: a
// fault near this host, or a silence of all, must not make all of them unusable.
func (s *Server) failingEngines(view *targets.View, service *policy.Service, tried map[string]bool) []string {
	var failing []string
	healthy := false
	for _, t := range view.Available(service.Name) {
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

// ChooseEngine chooses the best engine with capacity from what this host knows. A run moves to one that wants
// a pause from any host only if there is no other: the engine would most likely reject it.
func (s *Server) ChooseEngine(engines []*targets.Target, service *policy.Service, need placement.Requirements, tried map[string]bool) placement.Decision {
	candidates, _ := s.Candidates(engines)
	i := -1
	if need.Move {
		i = placement.ChooseEngine(candidates, service.Engine, need, withKeys(tried, s.Targets.View().PausedForAny(engines)))
	}
	if i < 0 {
		i = placement.ChooseEngine(candidates, service.Engine, need, tried)
	}
	if i < 0 {
		return placement.Decision{Shortage: placement.CountShortage(candidates, service.Engine, need, tried)}
	}
	return placement.Decision{Target: engines[i].Key(), Before: candidates[i].Load}
}

// Candidates returns what this host knows about engines, and the age of the oldest load report
// that counts.
func (s *Server) Candidates(engines []*targets.Target) ([]placement.Candidate, time.Duration) {
	keys := make([]string, len(engines))
	for i, t := range engines {
		keys[i] = t.Key()
	}
	loads, age := s.Inflight.LoadsAt(keys)
	slowness := s.Speeds.SlownessOf(keys)
	candidates := make([]placement.Candidate, len(engines))
	for i, t := range engines {
		candidates[i] = placement.Candidate{Target: t, Load: loads[i], FailureCost: s.Health.FailureCost(keys[i]), Slowness: slowness[i]}
	}
	return candidates, age
}

// newRequirements returns what a new run requires of an engine. domain is the failure
// domain of this host.
func newRequirements(a *edge.AuthorizedCall, load inflight.Load, domain string) placement.Requirements {
	need := placement.Requirements{Tokens: load.Tokens, Output: load.Tokens - load.Held, Unread: load.Unread, Objective: a.Route.Objective, GapObjective: a.Route.GapObjective, Domain: domain, Regions: a.Regions}
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
