package peers

import "context"

// DrainingArgs asks a host whether its process is stopping.
type DrainingArgs struct{}

// DrainingReply is the answer to DrainingArgs.
type DrainingReply struct{ Draining bool }

// Draining implements the RPC of the same name.
func (s *service) Draining(_ DrainingArgs, reply *DrainingReply) error {
	reply.Draining = s.exchange.IsDraining != nil && s.exchange.IsDraining()
	return nil
}

// HelperIsDraining reports whether the host that takes forwarded requests at an address states that
// its process is stopping. It returns false if that host is not known, does not answer or runs a
// build that lacks this RPC.
func (e *Exchange) HelperIsDraining(ctx context.Context, forwardAddress string) bool {
	address := ""
	for _, h := range e.Members.All() {
		if h.Forward == forwardAddress {
			address = h.Address
		}
	}
	if address == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply := new(DrainingReply)
	err := e.pool.Call(ctx, address, serviceName+".Draining", DrainingArgs{}, reply)
	return err == nil && reply.Draining
}
