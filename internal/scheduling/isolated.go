package scheduling

import (
	"time"

	"corianderhitch/internal/scheduling/suspicion"
)

// isolate moves a request from the fair queue to those that wait for a target
// of their own, where it holds nobody up.
func (p *Pool) isolate(w *waiting) {
	w.request.Avoid = nil // the place to be alone in decides, not where it ran before
	p.queue.Remove(w.request.Ticket)
	p.isolated = append(p.isolated, w.request.Ticket)
}

// decideIsolated grants targets to requests that must run alone, the first
// ones first, as far as targets may be set aside.
func (p *Pool) decideIsolated(now time.Time, d *Decisions) {
	kept := p.isolated[:0]
	held := 0
	for _, ticket := range p.isolated {
		w, ok := p.waiting[ticket]
		if !ok {
			continue // canceled or refused
		}
		if held >= p.mostQuarantined() || !p.decideAlone(now, w, d) {
			kept = append(kept, ticket)
			held++
		}
	}
	p.isolated = kept
}

// decideAlone settles a request that must run alone, if it can be now.
func (p *Pool) decideAlone(now time.Time, w *waiting, d *Decisions) bool {
	ticket := w.request.Ticket
	verdict := p.suspects.Verdict(w.request.Fingerprint, now)
	if verdict == suspicion.Refuse {
		p.withdraw(ticket)
		d.Refusals = append(d.Refusals, refuseSuspect(ticket))
		return true
	}
	if verdict != suspicion.Isolate {
		p.queue.Push(itemOf(w))
		return true
	}
	p.quarantine(w.request.Fingerprint)
	c := p.consider(w)
	t := p.pick(now, &c, verdict)
	if t == nil {
		return false
	}
	delete(p.waiting, ticket)
	d.Grants = append(d.Grants, p.place(now, t, &c, w.curve))
	return true
}
