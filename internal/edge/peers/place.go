package peers

import (
	"context"
	"time"

	"corianderhitch/internal/edge/placement"
)

// placeTimeout bounds a placement call to a hub. A host that gets no answer in time
// chooses an engine itself.
const placeTimeout = 60 * time.Millisecond

// PlaceAtHub asks the first hub that answers to choose an engine. It returns false if
// this host must choose itself, because it is that hub or no hub can choose.
//
// A failed placement call says little about the hub, as its timeout is short. It only
// stops placement calls to this hub until the hub answers another call, such as the next
// sync, so that each host asks a hub that is late at most once per sync.
func (e *Exchange) PlaceAtHub(callerCtx context.Context, args PlaceArgs) (PlaceReply, bool) {
	args.Host = e.Host
	ctx, cancel := context.WithTimeout(callerCtx, placeTimeout)
	defer cancel()
	for _, hub := range e.Members.Hubs() {
		if hub.Name == e.Host {
			return PlaceReply{}, false
		}
		if !e.isAskedToPlace(hub.Name) {
			continue
		}
		reply := new(PlaceReply)
		err := e.pool.Call(ctx, hub.Address, serviceName+".Place", args, reply)
		if callerCtx.Err() == nil {
			e.recordPlacement(hub.Name, err)
		}
		if err != nil {
			return PlaceReply{}, false
		}
		if reply.Able {
			return *reply, true
		}
	}
	return PlaceReply{}, false
}

// PlaceLocally chooses an engine for a run of this host in the order of all hosts, if this host
// places the runs of all hosts.
func (e *Exchange) PlaceLocally(args PlaceArgs) (PlaceReply, bool) {
	if args.Ask == nil || e.ChooseInOrder == nil || !e.PlacesRuns() {
		return PlaceReply{}, false
	}
	args.Host = e.Host
	return e.placeHere(&args), true
}

// placeHere chooses an engine and reserves its capacity for another host.
func (e *Exchange) placeHere(args *PlaceArgs) PlaceReply {
	tried := make(map[string]bool, len(args.Tried))
	for _, key := range args.Tried {
		tried[key] = true
	}
	reply := PlaceReply{Able: true}
	// Concurrent placements must each see the load of the previous ones.
	e.placeMu.Lock()
	defer e.placeMu.Unlock()
	reply.Decision, reply.Permitted = placement.ChooseWithPermits(e.Warmup, args.WithoutPermit, tried, func(tried map[string]bool) (d placement.Decision) {
		if args.Ask == nil || e.ChooseInOrder == nil {
			return e.ChooseEngine(args.Service, args.Need, tried)
		}
		d, reply.Order = e.ChooseInOrder(args, tried)
		return d
	})
	if reply.Target != "" && args.Host != e.Host {
		e.Inflight.Reserve(args.Host, reply.Target, args.Load)
	}
	return reply
}

// isAskedToPlace reports whether placement calls to the hub may succeed in time.
func (e *Exchange) isAskedToPlace(hub string) bool {
	if !e.isResponsive(hub) {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.placePaused[hub]
}

// recordPlacement records the outcome of a placement call that its caller awaited, and
// logs when the hub becomes late or answers in time again.
func (e *Exchange) recordPlacement(hub string, err error) {
	e.mu.Lock()
	wasLate := e.placesLate[hub]
	if err != nil {
		e.placesLate[hub], e.placePaused[hub] = true, true
	} else {
		delete(e.placesLate, hub)
		delete(e.placePaused, hub)
	}
	e.mu.Unlock()
	switch {
	case err != nil && !wasLate:
		e.Log.Warn("peers: placement call to a hub failed, not asked again until it answers another call", "hub", hub, "error", err.Error())
	case err == nil && wasLate:
		e.Log.Info("peers: hub answers placement calls again", "hub", hub)
	}
}
