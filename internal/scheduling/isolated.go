package scheduling

import (
	"slices"
	"time"

	"corianderhitch/internal/scheduling/suspicion"
)

// isolate moves a request from the fair queue to the requests that wait for a
// target of their own, so that it does not block the queue.
func (p *Pool) isolate(w *waitingRequest) {
	w.request.ExcludedTargets = nil // it needs an empty target, no matter where it ran before
	p.queue.Remove(w.request.Ticket)
	p.isolated = append(p.isolated, w.request.Ticket)
}

// decideIsolated grants targets to requests that must run alone: to those that
// have a quarantined target, and to the longest waiting ones as long as further
// targets may be quarantined.
func (p *Pool) decideIsolated(now time.Time, d *Decisions) {
	var kept []string
	stillWaiting := 0
	for _, ticket := range slices.Clone(p.isolated) { // reconsider withdraws requests
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

// reconsider rejects a request, or moves it back to the fair queue, if its verdict
// has changed while it waited to run alone. It reports whether it did either.
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

// grantAlone quarantines a target for the request and grants it if it is empty. It
// reports whether the request was granted.
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
