package baseline

import (
	"math/rand/v2"
	"time"

	"corianderhitch/internal/scheduling"
)

// digestEvery is how often the owners of targets tell the gateways their load.
const digestEvery = 500 * time.Millisecond

// targetOwner is an owner for each target that admits exactly, with a Pool of
// that one target. Gateways draw two targets and send the request to the one
// with less load by the last digest; there it stays.
type targetOwner struct {
	config  scheduling.Config
	random  *rand.Rand
	pools   map[string]*scheduling.Pool
	targets []scheduling.Target
	load    map[string]int // waiting and running requests by target
	digest  map[string]int // load at the last digest
	told    time.Time
	owner   map[string]string // ticket to target
	orphans []scheduling.Request
	queued  map[string]scheduling.Request
}

// NewTargetOwner returns the policy target_owner.
func NewTargetOwner(config scheduling.Config, seed uint64) scheduling.Policy {
	return &targetOwner{
		config: config,
		random: rand.New(rand.NewPCG(seed, 3)),
		pools:  make(map[string]*scheduling.Pool),
		load:   make(map[string]int),
		owner:  make(map[string]string),
		queued: make(map[string]scheduling.Request),
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
			p.rescue(now, t.Name)
		}
	}
}

// rescue takes the waiting requests away from a target that takes no more.
func (p *targetOwner) rescue(now time.Time, target string) {
	for _, r := range sortedByTicket(p.queued) {
		if p.owner[r.Ticket] != target {
			continue
		}
		p.pools[target].Cancel(now, r.Ticket)
		p.forget(r.Ticket)
		p.orphans = append(p.orphans, r)
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
	if now.Sub(p.told) >= digestEvery {
		p.told = now
		p.digest = make(map[string]int, len(p.load))
		for name, n := range p.load {
			p.digest[name] = n
		}
	}
	name, ok := p.draw(&r)
	if !ok {
		p.orphans = append(p.orphans, r)
		return
	}
	p.owner[r.Ticket] = name
	p.load[name]++
	p.queued[r.Ticket] = r
	p.pools[name].Submit(now, r)
}

func (p *targetOwner) draw(r *scheduling.Request) (string, bool) {
	g := greedy{targets: p.targets}
	usable := g.usable(r)
	if len(usable) == 0 {
		return "", false
	}
	a := usable[p.random.IntN(len(usable))].Name
	b := usable[p.random.IntN(len(usable))].Name
	if p.digest[b] < p.digest[a] {
		return b, true
	}
	return a, true
}

// Cancel implements scheduling.Policy.
func (p *targetOwner) Cancel(now time.Time, ticket string) {
	if name, ok := p.owner[ticket]; ok {
		p.pools[name].Cancel(now, ticket)
		p.forget(ticket)
	}
}

// Finish implements scheduling.Policy.
func (p *targetOwner) Finish(now time.Time, f scheduling.Finished) {
	if name, ok := p.owner[f.Ticket]; ok {
		p.pools[name].Finish(now, f)
		p.forget(f.Ticket)
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
	p.rescue(now, target)
	for ticket, name := range p.owner {
		if name == target {
			p.forget(ticket)
		}
	}
}

// Decide implements scheduling.Policy.
func (p *targetOwner) Decide(now time.Time) scheduling.Decisions {
	orphans := p.orphans
	p.orphans = nil
	for _, r := range orphans {
		p.Submit(now, r)
	}
	var all scheduling.Decisions
	for _, t := range p.targets {
		d := p.pools[t.Name].Decide(now)
		all.Grants = append(all.Grants, d.Grants...)
		all.Rejections = append(all.Rejections, d.Rejections...)
	}
	for _, g := range all.Grants {
		delete(p.queued, g.Ticket)
	}
	for _, r := range all.Rejections {
		p.forget(r.Ticket)
	}
	return all
}

// NextDecision implements scheduling.Policy.
func (p *targetOwner) NextDecision(now time.Time) time.Time {
	var next time.Time
	if len(p.orphans) > 0 {
		next = now.Add(digestEvery)
	}
	for _, t := range p.targets {
		at := p.pools[t.Name].NextDecision(now)
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

func (p *targetOwner) forget(ticket string) {
	if name, ok := p.owner[ticket]; ok {
		p.load[name]--
		delete(p.owner, ticket)
		delete(p.queued, ticket)
	}
}
