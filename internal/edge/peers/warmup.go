package peers

import (
	"context"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/warmup"
)

// BorrowShare asks another host to lend its share of what a cold target bears, if one is wanted.
func (e *Exchange) BorrowShare(ctx context.Context) {
	askedAt := bootclock.Now()
	lender, args, wanted := e.Warmup.Wanted(askedAt)
	if !wanted {
		return
	}
	for _, host := range e.Members.All() {
		if host.Name != lender {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			reply := new(warmup.LoanReply)
			// A host that fails here may answer other calls: an older build doesn't lend.
			if err := e.pool.Call(ctx, host.Address, serviceName+".LendShare", args, reply); err == nil {
				e.Warmup.Borrow(lender, args, *reply, askedAt, bootclock.Now())
			}
		}()
		return
	}
}

// LendShare lends this host's share of what a cold target bears if it doesn't use it.
func (s *service) LendShare(args warmup.LoanArgs, reply *warmup.LoanReply) error {
	*reply = s.exchange.Warmup.Lend(args, bootclock.Now())
	return nil
}
