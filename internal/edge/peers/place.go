package peers

import (
	"context"
	"time"
)

// placeTimeout bounds the question for an engine; a host that gets no answer
// chooses alone.
const placeTimeout = 60 * time.Millisecond

// Place asks the first hub that answers for an engine. It returns false if this
// host must choose alone: it is that hub itself, or no hub can.
func (e *Exchange) PlaceAtHub(ctx context.Context, args PlaceArgs) (PlaceReply, bool) {
	args.Host = e.Host
	for _, hub := range e.Members.Hubs() {
		if hub.Name == e.Host {
			return PlaceReply{}, false
		}
		if !e.answers(hub.Name) {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, placeTimeout)
		defer cancel()
		reply := new(PlaceReply)
		if err := e.pool.Call(ctx, hub.Address, serviceName+".Place", args, reply); err != nil {
			e.Log.Warn("peers: hub does not place a run", "hub", hub.Name, "error", err.Error())
			return PlaceReply{}, false
		}
		if reply.Able {
			return *reply, true
		}
	}
	return PlaceReply{}, false
}
