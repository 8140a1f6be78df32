package baseline

import (
	"slices"
	"strings"
	"time"

	"corianderhitch/internal/scheduling"
)

// creditsEvery is how often owners grant memory credits anew.
const creditsEvery = 500 * time.Millisecond

// credits is gateways that each hold a credit on the memory of every target and
// admit within it alone, with a Pool over all targets at the size of the
// credit. Owners deal the credits anew by the gateways' demand.
type credits struct {
	pools   []*scheduling.Pool
	targets []scheduling.Target
	owner   map[string]int // ticket to gateway
	demand  []float64      // requests waiting or running, by gateway
	share   []float64      // of each target, by gateway
	dealt   time.Time
	next    int
}

// NewCredits returns the policy credits of a number of gateways.
func NewCredits(config scheduling.Config, gateways int) scheduling.Policy {
	p := &credits{owner: make(map[string]int)}
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
	if now.Sub(p.dealt) >= creditsEvery {
		p.dealt = now
		p.deal()
	}
	p.spread(now)
}

// deal gives each gateway a share in proportion to its demand, and everyone a
// little to begin with.
func (p *credits) deal() {
	sum := 0.0
	for _, d := range p.demand {
		sum += d + 1
	}
	for i, d := range p.demand {
		p.share[i] = (d + 1) / sum
	}
}

func (p *credits) spread(now time.Time) {
	for i, pool := range p.pools {
		scaled := slices.Clone(p.targets)
		for j := range scaled {
			t := &scaled[j]
			t.TotalBlocks = int(float64(t.TotalBlocks) * p.share[i])
			t.UsedBlocks = int(float64(t.UsedBlocks) * p.share[i])
			t.Running, t.Waiting = 0, 0 // others' sequences are within their own credits
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

// Submit implements scheduling.Policy. The balancer deals requests to the
// gateways in turn.
func (p *credits) Submit(now time.Time, r scheduling.Request) {
	g := p.next % len(p.pools)
	p.next++
	p.owner[r.Ticket] = g
	p.demand[g]++
	p.pools[g].Submit(now, r)
}

// Cancel implements scheduling.Policy.
func (p *credits) Cancel(now time.Time, ticket string) {
	if g, ok := p.owner[ticket]; ok {
		p.pools[g].Cancel(now, ticket)
		p.forget(ticket)
	}
}

// Finish implements scheduling.Policy.
func (p *credits) Finish(now time.Time, f scheduling.Finished) {
	if g, ok := p.owner[f.Ticket]; ok {
		p.pools[g].Finish(now, f)
		p.forget(f.Ticket)
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
		p.forget(r.Ticket)
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

func (p *credits) forget(ticket string) {
	if g, ok := p.owner[ticket]; ok {
		p.demand[g]--
		delete(p.owner, ticket)
	}
}

func sortedByTicket(m map[string]scheduling.Request) []scheduling.Request {
	list := make([]scheduling.Request, 0, len(m))
	for _, r := range m {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b scheduling.Request) int { return strings.Compare(a.Ticket, b.Ticket) })
	return list
}
