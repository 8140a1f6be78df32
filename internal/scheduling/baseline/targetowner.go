package baseline

import (
	"math/rand/v2"
	"time"

	"corianderhitch/internal/scheduling"
)

// loadReportInterval is how often the owners of targets report their load to the
// gateways.
const loadReportInterval = 500 * time.Millisecond

// targetOwner models an owner for each target, which has exact knowledge of it and
// admits requests with a Pool of that one target. Gateways pick two targets at random
// and submit the request to the one with less reported load. It waits there unless
// the target stops accepting requests.
type targetOwner struct {
	config           scheduling.Config
	random           *rand.Rand
	pools            map[string]*scheduling.Pool
	targets          []scheduling.Target
	requests         map[string]int // waiting and running requests, by target
	reportedRequests map[string]int // requests as last reported
	reportedAt       time.Time
	targetOfTicket   map[string]string             // by ticket
	unplaced         []scheduling.Request          // submitted again by the next Decide
	waiting          map[string]scheduling.Request // requests without a grant, by ticket
}

// NewTargetOwner returns the policy target_owner.
func NewTargetOwner(config scheduling.Config, seed uint64) scheduling.Policy {
	return &targetOwner{
		config:         config,
		random:         rand.New(rand.NewPCG(seed, 3)),
		pools:          make(map[string]*scheduling.Pool),
		requests:       make(map[string]int),
		targetOfTicket: make(map[string]string),
		waiting:        make(map[string]scheduling.Request),
	}
}

// SetTargets implements scheduling.Policy.
func (p *targetOwner) SetTargets(now time.Time, targets []scheduling.Target) {
	p.targets = append(p.targets[:0], targets...)
	for _, t := range targets {
		if p.pools[t.Name] == nil {
			p.pools[t.Name] = scheduling.NewPool(p.config)
		}
		p.pools[t.Name].SetTargets(now, []scheduling.Target{t})
		if !t.Healthy || t.Leaving {
			p.withdrawWaiting(now, t.Name)
		}
	}
}

// withdrawWaiting withdraws the waiting requests of a target that accepts no more
// requests, so that the next Decide submits them again.
func (p *targetOwner) withdrawWaiting(now time.Time, target string) {
	for _, r := range sortedByTicket(p.waiting) {
		if p.targetOfTicket[r.Ticket] != target {
			continue
		}
		p.pools[target].Cancel(now, r.Ticket)
		p.untrack(r.Ticket)
		p.unplaced = append(p.unplaced, r)
	}
}

// ObserveCache implements scheduling.Policy.
func (p *targetOwner) ObserveCache(now time.Time, update scheduling.CacheUpdate) {
	if pool := p.pools[update.Target]; pool != nil {
		pool.ObserveCache(now, update)
	}
}

// Submit implements scheduling.Policy.
func (p *targetOwner) Submit(now time.Time, r scheduling.Request) {
	if now.Sub(p.reportedAt) >= loadReportInterval {
		p.reportedAt = now
		p.reportedRequests = make(map[string]int, len(p.requests))
		for name, n := range p.requests {
			p.reportedRequests[name] = n
		}
	}
	name, ok := p.chooseTarget(&r)
	if !ok {
		p.unplaced = append(p.unplaced, r)
		return
	}
	p.targetOfTicket[r.Ticket] = name
	p.requests[name]++
	p.waiting[r.Ticket] = r
	p.pools[name].Submit(now, r)
}

// chooseTarget returns the target with less reported load of two random usable ones,
// or false if no target is usable.
func (p *targetOwner) chooseTarget(r *scheduling.Request) (string, bool) {
	g := greedy{targets: p.targets}
	usable := g.usable(r)
	if len(usable) == 0 {
		return "", false
	}
	a := usable[p.random.IntN(len(usable))].Name
	b := usable[p.random.IntN(len(usable))].Name
	if p.reportedRequests[b] < p.reportedRequests[a] {
		return b, true
	}
	return a, true
}

// Cancel implements scheduling.Policy.
func (p *targetOwner) Cancel(now time.Time, ticket string) {
	if name, ok := p.targetOfTicket[ticket]; ok {
		p.pools[name].Cancel(now, ticket)
		p.untrack(ticket)
	}
}

// Finish implements scheduling.Policy.
func (p *targetOwner) Finish(now time.Time, f scheduling.Finished) {
	if name, ok := p.targetOfTicket[f.Ticket]; ok {
		p.pools[name].Finish(now, f)
		p.untrack(f.Ticket)
	}
}

// Crashed implements scheduling.Policy.
func (p *targetOwner) Crashed(now time.Time, target string) {
	p.pools[target].Crashed(now, target)
	for i := range p.targets {
		if p.targets[i].Name == target {
			p.targets[i].Healthy = false
		}
	}
	p.withdrawWaiting(now, target)
	for ticket, name := range p.targetOfTicket {
		if name == target {
			p.untrack(ticket)
		}
	}
}

// Decide implements scheduling.Policy.
func (p *targetOwner) Decide(now time.Time) scheduling.Decisions {
	unplaced := p.unplaced
	p.unplaced = nil
	for _, r := range unplaced {
		p.Submit(now, r)
	}
	var all scheduling.Decisions
	for _, t := range p.targets {
		d := p.pools[t.Name].Decide(now)
		all.Grants = append(all.Grants, d.Grants...)
		all.Rejections = append(all.Rejections, d.Rejections...)
	}
	for _, g := range all.Grants {
		delete(p.waiting, g.Ticket)
	}
	for _, r := range all.Rejections {
		p.untrack(r.Ticket)
	}
	return all
}

// NextDecision implements scheduling.Policy.
func (p *targetOwner) NextDecision(now time.Time) time.Time {
	var next time.Time
	if len(p.unplaced) > 0 {
		next = now.Add(loadReportInterval)
	}
	for _, t := range p.targets {
		at := p.pools[t.Name].NextDecision(now)
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

// untrack removes a request from the counts of its target.
func (p *targetOwner) untrack(ticket string) {
	if name, ok := p.targetOfTicket[ticket]; ok {
		p.requests[name]--
		delete(p.targetOfTicket, ticket)
		delete(p.waiting, ticket)
	}
}
