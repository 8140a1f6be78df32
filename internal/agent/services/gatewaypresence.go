package services

import (
	"context"
	"sync"
	"time"

	"corianderhitch/api/control"
	"corianderhitch/internal/agent/state"
)

// gatewayTimeout is the time without a snapshot call after which the host's gateway
// counts as stopped. A gateway calls again as soon as it has a snapshot, and at least
// every 2 s.
const gatewayTimeout = 8 * time.Second

// GatewayPresence tracks this host's gateway by its snapshot calls. It is safe for
// concurrent use.
type GatewayPresence struct {
	state *state.State

	mu       sync.Mutex
	lastCall time.Time // guarded by mu
}

// NewGatewayPresence returns a GatewayPresence without a gateway.
func NewGatewayPresence(s *state.State) *GatewayPresence { return &GatewayPresence{state: s} }

// RecordSnapshotCall records a call of this host's gateway. Calls of another host's
// gateway, whose own agent is unavailable, are ignored.
func (p *GatewayPresence) RecordSnapshotCall(now time.Time, args control.SnapshotArgs) {
	self := p.state.Self()
	if args.GatewayAddr == "" || (args.Host != "" && args.Host != self.Host) {
		return
	}
	p.mu.Lock()
	p.lastCall = now
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

// Run drops a gateway that has made no call for gatewayTimeout, until ctx ends.
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
	timedOut := !p.lastCall.IsZero() && now.Sub(p.lastCall) > gatewayTimeout
	if timedOut {
		p.lastCall = time.Time{}
	}
	p.mu.Unlock()
	if !timedOut {
		return
	}
	p.state.UpdateSelf(func(m *control.Member) {
		m.GatewayAddr = ""
		m.State = control.MemberAlive
	})
}
