package peers

import (
	"context"
	"time"
)

// placeTimeout bounds a placement call to a hub. A host that gets no answer in time
// chooses an engine itself.
const placeTimeout = 60 * time.Millisecond

// PlaceAtHub asks the first responsive hub to choose an engine. It returns false if
// this host must choose itself, because it is that hub or no hub can choose.
func (e *Exchange) PlaceAtHub(callerCtx context.Context, args PlaceArgs) (PlaceReply, bool) {
	args.Host = e.Host
	ctx, cancel := context.WithTimeout(callerCtx, placeTimeout)
	defer cancel()
	for _, hub := range e.Members.Hubs() {
		if hub.Name == e.Host {
			return PlaceReply{}, false
		}
		if !e.isResponsive(hub.Name) {
			continue
		}
		reply := new(PlaceReply)
		if err := e.pool.Call(ctx, hub.Address, serviceName+".Place", args, reply); err != nil {
			if callerCtx.Err() != nil {
				return PlaceReply{}, false
			}
			e.Log.Warn("peers: placement call to a hub failed", "hub", hub.Name, "error", err.Error())
			return PlaceReply{}, false
		}
		if reply.Able {
			return *reply, true
		}
	}
	return PlaceReply{}, false
}
