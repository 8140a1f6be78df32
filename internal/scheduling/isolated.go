package scheduling

import (
	"time"

	"corianderhitch/internal/scheduling/suspicion"
)

// isolate moves a request from the fair queue to those that wait for a target
// of their own, where it holds nobody up.
func (p *Pool) isolate(w *waitingRequest) {
	w.request.ExcludedTargets = nil // the place to be alone in decides, not where it ran before
	p.queue.Remove(w.request.Ticket)
	p.isolated = append(p.isolated, w.request.Ticket)
}

// decideIsolated grants targets to requests that must run alone: to those that
// have one set aside, and to the first ones as far as more may be set aside.
func (p *Pool) decideIsolated(now time.Time, d *Decisions) {
	kept := p.isolated[:0]
	stillWaiting := 0
	for _, ticket := range p.isolated {
		w, ok := p.waiting[ticket]
		if !ok || p.reconsider(now, w, d) {
			continue
		}
		mayTry := stillWaiting < p.maxQuarantined() || p.hasQuarantine(w.request.Fingerprint)
		if !mayTry || !p.grantAlone(now, w, d) {
			kept = append(kept, ticket)
			stillWaiting++
		}
	}
	p.isolated = kept
}

// reconsider settles a request whose verdict has changed while it waited to run
// alone: it is refused, or goes back to the fair queue.
func (p *Pool) reconsider(now time.Time, w *waitingRequest, d *Decisions) bool {
	switch p.suspects.Verdict(w.request.Fingerprint, now) {
	case suspicion.Isolate:
		return false
	case suspicion.Reject:
		p.withdraw(w.request.Ticket)
		d.Rejections = append(d.Rejections, rejectSuspect(w.request.Ticket))
	default:
		p.endQuarantine(w.request.Fingerprint)
		p.queue.Push(queueItem(w))
	}
	return true
}

// grantAlone grants the request a target of its own, if one is empty.
func (p *Pool) grantAlone(now time.Time, w *waitingRequest, d *Decisions) bool {
	p.quarantine(w.request.Fingerprint)
	c := p.newCandidate(w)
	t := p.chooseTarget(now, &c, suspicion.Isolate)
	if t == nil {
		return false
	}
	delete(p.waiting, w.request.Ticket)
	d.Grants = append(d.Grants, p.place(now, t, &c, w.curve))
	return true
}
