package scheduling

import (
	"time"

	"corianderhitch/api/problem"
	"corianderhitch/internal/scheduling/fairqueue"
	"corianderhitch/internal/scheduling/suspicion"
)

const (
	// decideInterval is how often requests that wait are decided on again even if
	// nothing is reported: capacity becomes free as targets prefill prompts and as
	// their memory forecasts shrink.
	decideInterval = 10 * time.Millisecond
	// maxSkips bounds the requests that one Decide skips because of their own
	// constraints, and thereby its cost.
	maxSkips = 64
)

// Decide implements Policy.
func (p *Pool) Decide(now time.Time) Decisions {
	d := Decisions{Rejections: p.pendingRejections, Grants: p.repeatedGrants}
	p.pendingRejections, p.repeatedGrants = nil, nil
	p.rejectExpired(now, &d)
	if !p.anyWaiting() {
		return d
	}
	for _, t := range p.sortedTargets {
		t.advance(now, p.steps)
		t.recordUsage(now)
	}
	p.decideIsolated(now, &d)
	defer p.queue.ResetSkips()
	for skips := 0; skips < maxSkips; {
		item, ok := p.queue.Next(now)
		if !ok {
			break
		}
		outcome := p.decideOne(now, item, &d)
		if outcome == blocked {
			break
		}
		if outcome == skipped {
			skips++
		}
	}
	return d
}

// outcome is the result of the decision on one queued request.
type outcome int

const (
	settled outcome = iota // granted, rejected, or moved to the isolated requests
	skipped                // must wait because of its own constraints; others may be granted
	blocked                // no target has capacity for the request, so that the queue waits too
)

// decideOne decides on the next request of the fair queue and adds a grant or
// rejection to d.
func (p *Pool) decideOne(now time.Time, item fairqueue.Item, d *Decisions) outcome {
	w := p.waiting[item.ID]
	verdict := p.suspects.Verdict(w.request.Fingerprint, now)
	if verdict == suspicion.Reject {
		p.withdraw(item.ID)
		d.Rejections = append(d.Rejections, rejectSuspect(item.ID))
		return settled
	}
	if !p.accounts.MayRun(item.Account) {
		p.queue.SkipAccount(item.Account)
		return skipped
	}
	if !p.anyUsable(&w.request) {
		p.queue.Skip(item.ID)
		return skipped
	}
	if verdict == suspicion.Isolate {
		p.isolate(w)
		return settled
	}
	c := p.newCandidate(w)
	t := p.chooseTarget(now, &c, verdict)
	if t == nil && p.duplicates.requiredTarget(w.request.Fingerprint) != nil {
		p.queue.Skip(item.ID)
		return skipped
	}
	if t == nil {
		return blocked
	}
	p.queue.Serve(item.ID, now)
	delete(p.waiting, item.ID)
	d.Grants = append(d.Grants, p.place(now, t, &c, w.curve))
	return settled
}

// anyWaiting reports whether any request waits for a grant.
func (p *Pool) anyWaiting() bool { return p.queue.Len()+len(p.isolated) > 0 }

// NextDecision implements Policy.
func (p *Pool) NextDecision(now time.Time) time.Time {
	if len(p.pendingRejections)+len(p.repeatedGrants) > 0 {
		return now
	}
	if !p.anyWaiting() {
		return time.Time{}
	}
	return now.Add(decideInterval)
}

// rejectSuspect returns the rejection of a request that causes crashes.
func rejectSuspect(ticket string) Rejection {
	return Rejection{
		Ticket: ticket,
		Kind:   string(problem.KindCrashSuspect),
		Detail: "the request crashed the targets that ran it",
	}
}
