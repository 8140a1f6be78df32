package baseline

import (
	"slices"
	"strings"
	"time"

	"corianderhitch/internal/scheduling"
)

// rebalanceInterval is how often the targets' owners redistribute memory credits.
const rebalanceInterval = 500 * time.Millisecond

// credits models gateways that each hold a credit on the memory of every target and
// admit requests within it without coordination. Each gateway has a Pool over all
// targets, with their memory scaled to its credit. The targets' owners redistribute
// the credits by the gateways' demand.
type credits struct {
	pools           []*scheduling.Pool
	targets         []scheduling.Target
	gatewayOfTicket map[string]int // by ticket
	demand          []float64      // waiting and running requests, by gateway
	share           []float64      // share of each target's memory, by gateway
	rebalancedAt    time.Time
	nextGateway     int
}

// NewCredits returns the policy credits with the given number of gateways.
func NewCredits(config scheduling.Config, gateways int) scheduling.Policy {
	p := &credits{gatewayOfTicket: make(map[string]int)}
	for range gateways {
		p.pools = append(p.pools, scheduling.NewPool(config))
		p.demand = append(p.demand, 0)
		p.share = append(p.share, 1/float64(gateways))
	}
	return p
}

// SetTargets implements scheduling.Policy.
func (p *credits) SetTargets(now time.Time, targets []scheduling.Target) {
	p.targets = slices.Clone(targets)
	if now.Sub(p.rebalancedAt) >= rebalanceInterval {
		p.rebalancedAt = now
		p.rebalance()
	}
	p.updatePools(now)
}

// rebalance gives each gateway a share in proportion to its demand plus one request,
// so that an idle gateway has a share too.
func (p *credits) rebalance() {
	sum := 0.0
	for _, d := range p.demand {
		sum += d + 1
	}
	for i, d := range p.demand {
		p.share[i] = (d + 1) / sum
	}
}

// updatePools gives each gateway's Pool the targets, scaled to the gateway's share.
func (p *credits) updatePools(now time.Time) {
	for i, pool := range p.pools {
		scaled := slices.Clone(p.targets)
		for j := range scaled {
			t := &scaled[j]
			t.TotalBlocks = int(float64(t.TotalBlocks) * p.share[i])
			t.UsedBlocks = int(float64(t.UsedBlocks) * p.share[i])
			t.Running, t.Waiting = 0, 0 // sequences of other gateways use their own credits
		}
		pool.SetTargets(now, scaled)
	}
}

// ObserveCache implements scheduling.Policy.
func (p *credits) ObserveCache(now time.Time, update scheduling.CacheUpdate) {
	for _, pool := range p.pools {
		pool.ObserveCache(now, update)
	}
}

// Submit implements scheduling.Policy. Requests go to the gateways in turn, as
// from a round-robin load balancer.
func (p *credits) Submit(now time.Time, r scheduling.Request) {
	g := p.nextGateway % len(p.pools)
	p.nextGateway++
	p.gatewayOfTicket[r.Ticket] = g
	p.demand[g]++
	p.pools[g].Submit(now, r)
}

// Cancel implements scheduling.Policy.
func (p *credits) Cancel(now time.Time, ticket string) {
	if g, ok := p.gatewayOfTicket[ticket]; ok {
		p.pools[g].Cancel(now, ticket)
		p.untrack(ticket)
	}
}

// Finish implements scheduling.Policy.
func (p *credits) Finish(now time.Time, f scheduling.Finished) {
	if g, ok := p.gatewayOfTicket[f.Ticket]; ok {
		p.pools[g].Finish(now, f)
		p.untrack(f.Ticket)
	}
}

// Crashed implements scheduling.Policy.
func (p *credits) Crashed(now time.Time, target string) {
	for _, pool := range p.pools {
		pool.Crashed(now, target)
	}
}

// Decide implements scheduling.Policy.
func (p *credits) Decide(now time.Time) scheduling.Decisions {
	var all scheduling.Decisions
	for _, pool := range p.pools {
		d := pool.Decide(now)
		all.Grants = append(all.Grants, d.Grants...)
		all.Rejections = append(all.Rejections, d.Rejections...)
	}
	for _, r := range all.Rejections {
		p.untrack(r.Ticket)
	}
	return all
}

// NextDecision implements scheduling.Policy.
func (p *credits) NextDecision(now time.Time) time.Time {
	var next time.Time
	for _, pool := range p.pools {
		at := pool.NextDecision(now)
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

// untrack removes a request from the demand of its gateway.
func (p *credits) untrack(ticket string) {
	if g, ok := p.gatewayOfTicket[ticket]; ok {
		p.demand[g]--
		delete(p.gatewayOfTicket, ticket)
	}
}

// sortedByTicket returns the requests of m in the order of their tickets.
func sortedByTicket(m map[string]scheduling.Request) []scheduling.Request {
	list := make([]scheduling.Request, 0, len(m))
	for _, r := range m {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b scheduling.Request) int { return strings.Compare(a.Ticket, b.Ticket) })
	return list
}
