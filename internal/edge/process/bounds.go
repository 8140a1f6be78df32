package process

import (
	"net"
	"sync/atomic"

	"corianderhitch/internal/edge/ingress"
	"corianderhitch/internal/edge/memquota"
	"corianderhitch/internal/edge/node"
)

const (
	// defaultHeldShare applies to settings without a share, in percent of the host's memory.
	defaultHeldShare = 30
	// largeAnswersPart and forwardedBodiesPart are the parts of the budget, as divisors, that large responses
	// to plain calls and the bodies of requests that other hosts ask this one to send may hold.
	largeAnswersPart    = 2
	forwardedBodiesPart = 5
	// reservedDescriptors of a process are not its own to use.
	reservedDescriptors = 200
	// callersDescriptors is the share of the rest that callers' connections may take. Each request needs
	// another one to its target; what is left is for hedges, peers, the store and forwarded requests.
	callersDescriptors = 0.4
	// connectionMemoryShare is the share of the host's memory, as a divisor, that callers' connections may
	// take at connectionBytes each: buffers and stacks. An idle one was measured as 11 KB with that of its
	// client; one that serves a request has another for the target.
	connectionMemoryShare = 8
	connectionBytes       = 24 << 10
	// minConnections is the least bound of callers' connections.
	minConnections = 16
)

// bounds are the bounds of what callers can make this host hold.
type bounds struct {
	memory      *memquota.Budget
	maxLines    int // header lines of a request
	connections int // of callers, 0 for any number
	open        atomic.Pointer[ingress.OpenConnections]
}

func newBounds(n *node.Node, s *Settings) *bounds {
	share := s.HeldShare
	if share <= 0 {
		share = defaultHeldShare
	}
	return &bounds{memory: memquota.NewBudget(n.MemoryBytes * int64(share) / 100), maxLines: s.MaxHeaderLines, connections: connectionBound(n)}
}

// connectionBound returns how many connections of callers may be open, 0 if neither the descriptors nor the
// memory of the host are known.
func connectionBound(n *node.Node) int {
	bound := 0
	if n.Descriptors > 0 {
		bound = max(minConnections, int(float64(n.Descriptors-reservedDescriptors)*callersDescriptors))
	}
	if n.MemoryBytes > 0 {
		fitting := max(minConnections, int(n.MemoryBytes/connectionMemoryShare/connectionBytes))
		if bound == 0 || fitting < bound {
			bound = fitting
		}
	}
	return bound
}

// callers returns the bounded connections of callers that the listener accepts.
func (p *Process) callers(listener net.Listener, idle *ingress.IdleConnections) *ingress.OpenConnections {
	o := ingress.NewOpenConnections(listener, idle.ConnState)
	o.Bound = p.bounds.connections
	o.Guard = &ingress.HeadGuard{MaxLines: p.bounds.maxLines, Memory: p.bounds.memory, Wire: p.adapter.Wire, Rejected: func(reason string) {
		p.metrics.ObserveRequest(nil, reason, 0)
		p.log.Warn("ingress: incomplete head refused", "reason", reason, "held_bytes", p.bounds.memory.Held(), "budget_bytes", p.bounds.memory.Size())
	}}
	o.Closed = func(reason string) {
		p.metrics.ObserveClosedConnection(reason)
		p.log.Warn("ingress: connection closed at the bound", "reason", reason, "bound", o.Bound)
	}
	p.bounds.open.Store(o)
	return o
}

// openConnections returns how many connections of callers are open.
func (b *bounds) openConnections() int {
	if o := b.open.Load(); o != nil {
		return o.Len()
	}
	return 0
}
