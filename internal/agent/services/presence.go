package services

import (
	"context"
	"sync"
	"time"

	"corianderhitch/api/control"
	"corianderhitch/internal/agent/state"
)

// gatewayGone is the silence after which the host's gateway counts as gone. A
// gateway asks anew as soon as a snapshot arrives, and each 2 s at least.
const gatewayGone = 8 * time.Second

// Presence keeps track of the gateway of this host by its snapshot calls.
type GatewayPresence struct {
	state *state.State

	mu   sync.Mutex
	seen time.Time // guarded by mu
}

// NewPresence returns a Presence without a gateway.
func NewGatewayPresence(s *state.State) *GatewayPresence { return &GatewayPresence{state: s} }

// Seen records a call of a gateway. One of another host, whose own agent is
// gone, is not recorded.
func (p *GatewayPresence) RecordSnapshotCall(now time.Time, args control.SnapshotArgs) {
	self := p.state.Self()
	if args.GatewayAddr == "" || (args.Host != "" && args.Host != self.Host) {
		return
	}
	p.mu.Lock()
	p.seen = now
	p.mu.Unlock()
	p.state.UpdateSelf(func(m *control.Member) {
		m.GatewayAddr = args.GatewayAddr
		m.GatewayRevision = args.DocumentRevision
		m.State = control.MemberAlive
		if args.Draining {
			m.State = control.MemberDraining
		}
	})
}

// Run forgets a gateway that fell silent, until ctx ends.
func (p *GatewayPresence) Run(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			p.expire(now)
		}
	}
}

func (p *GatewayPresence) expire(now time.Time) {
	p.mu.Lock()
	gone := !p.seen.IsZero() && now.Sub(p.seen) > gatewayGone
	if gone {
		p.seen = time.Time{}
	}
	p.mu.Unlock()
	if !gone {
		return
	}
	p.state.UpdateSelf(func(m *control.Member) {
		m.GatewayAddr = ""
		m.State = control.MemberAlive
	})
}
