package scheduling

import "time"

// LeastInFlight is the baseline policy that grants every request immediately, on
// the healthy target with the fewest requests in flight from this pool.
type LeastInFlight struct {
	targets  []Target
	queue    []Request
	inFlight map[string]int    // by target
	placed   map[string]string // ticket to target
}

// NewLeastInFlight returns an empty LeastInFlight.
func NewLeastInFlight() *LeastInFlight {
	return &LeastInFlight{inFlight: make(map[string]int), placed: make(map[string]string)}
}

// SetTargets implements Policy.
func (p *LeastInFlight) SetTargets(_ time.Time, targets []Target) { p.targets = targets }

// ObserveCache implements Policy.
func (p *LeastInFlight) ObserveCache(time.Time, CacheUpdate) {}

// Submit implements Policy.
func (p *LeastInFlight) Submit(_ time.Time, request Request) { p.queue = append(p.queue, request) }

// Cancel implements Policy.
func (p *LeastInFlight) Cancel(_ time.Time, ticket string) {
	for i, r := range p.queue {
		if r.Ticket == ticket {
			p.queue = append(p.queue[:i], p.queue[i+1:]...)
			return
		}
	}
}

// Finish implements Policy.
func (p *LeastInFlight) Finish(_ time.Time, finished Finished) {
	if target, ok := p.placed[finished.Ticket]; ok {
		delete(p.placed, finished.Ticket)
		p.inFlight[target]--
	}
}

// Crashed implements Policy.
func (p *LeastInFlight) Crashed(time.Time, string) {}

// Decide implements Policy.
func (p *LeastInFlight) Decide(time.Time) Decisions {
	var d Decisions
	var kept []Request
	for _, r := range p.queue {
		target, ok := p.chooseTarget(r)
		if !ok {
			kept = append(kept, r)
			continue
		}
		p.inFlight[target]++
		p.placed[r.Ticket] = target
		d.Grants = append(d.Grants, Grant{Ticket: r.Ticket, Target: target, Reason: "least in flight"})
	}
	p.queue = kept
	return d
}

// NextDecision implements Policy.
func (p *LeastInFlight) NextDecision(time.Time) time.Time { return time.Time{} }

// chooseTarget returns the usable target with the fewest requests in flight, and
// false if no target is usable.
func (p *LeastInFlight) chooseTarget(r Request) (string, bool) {
	best := ""
	for _, t := range p.targets {
		if !t.Healthy || t.Leaving || t.Standby || contains(r.ExcludedTargets, t.Name) {
			continue
		}
		if best == "" || p.inFlight[t.Name] < p.inFlight[best] {
			best = t.Name
		}
	}
	return best, best != ""
}

func contains(list []string, item string) bool {
	for _, x := range list {
		if x == item {
			return true
		}
	}
	return false
}
