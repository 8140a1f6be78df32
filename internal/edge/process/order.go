package process

import (
	"context"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/peers"
	"corianderhitch/internal/edge/placement"
	"corianderhitch/internal/edge/streaming"
	"corianderhitch/internal/edge/waitlist"
)

// orderRuns makes runs that wait for an engine take turns in one order over all hosts.
func (p *Process) orderRuns() {
	p.exchange.ChooseInOrder = p.chooseInOrder
	p.streaming.Turns = streaming.NewTurns(p.streaming)
	p.streaming.PlaceViaHub = func(ctx context.Context, args peers.PlaceArgs) (peers.PlaceReply, bool) {
		if c := p.policy.Current(); c != nil && c.Service(args.Service) != nil && c.Service(args.Service).Engine != nil {
			if reply, placed := p.exchange.PlaceLocally(args); placed {
				return reply, true
			}
		}
		return p.exchange.PlaceAtHub(ctx, args)
	}
}

// chooseInOrder chooses an engine for a run with a place in the order of all hosts.
func (p *Process) chooseInOrder(args *peers.PlaceArgs, tried map[string]bool) (placement.Decision, *waitlist.Verdict) {
	c := p.policy.Current()
	if c == nil || c.Service(args.Service) == nil || c.Service(args.Service).Engine == nil {
		return placement.Decision{}, nil
	}
	engine := c.Service(args.Service).Engine
	view := p.targets.View().Only(args.Service, func(domain string) bool { return p.streaming.Regions.Allows(args.Need.Regions, domain) })
	candidates, age := p.streaming.Candidates(view.Serving(args.Service))
	i, verdict := p.waitlist.Decide(bootclock.Now(), &waitlist.Request{Service: args.Service, Ask: *args.Ask, Others: args.Others,
		Need: args.Need, Tried: tried, Engine: engine, Engines: candidates})
	verdict.InputsAge = age
	if i < 0 {
		return placement.Decision{Shortage: placement.CountShortage(candidates, engine, args.Need, tried)}, &verdict
	}
	return placement.Decision{Target: candidates[i].Target.Key(), Before: candidates[i].Load}, &verdict
}
