package scheduling

import (
	"container/heap"
	"time"

	"corianderhitch/api/problem"
	"corianderhitch/internal/scheduling/fairqueue"
	"corianderhitch/internal/scheduling/limits"
	"corianderhitch/internal/scheduling/suspicion"
)

// minRetryAfter is the shortest RetryAfter of a rejection that has one.
const minRetryAfter = 200 * time.Millisecond

// Submit implements Policy. A request that cannot be served before its deadline
// is rejected immediately. Submit is idempotent: a waiting ticket is not queued
// twice, and a granted one is granted the same target again, since the first
// answer may have been lost.
func (p *Pool) Submit(now time.Time, request Request) {
	if _, ok := p.waiting[request.Ticket]; ok {
		return
	}
	if r, ok := p.running[request.Ticket]; ok {
		p.repeatedGrants = append(p.repeatedGrants, Grant{Ticket: request.Ticket, Target: r.target.Name, Reason: "granted before"})
		return
	}
	if request.Submitted.IsZero() {
		request.Submitted = now
	}
	if rejection, rejected := p.rejectEarly(now, &request); rejected {
		p.pendingRejections = append(p.pendingRejections, rejection)
		return
	}
	curve := p.lengths.Curve(lengthKey(&request))
	w := &waitingRequest{request: request, curve: curve, expectedTokens: curve.MeanRemaining(request.Produced, request.MaxTokens)}
	p.waiting[request.Ticket] = w
	p.openRequests[request.Fingerprint]++
	p.queue.Push(queueItem(w))
	if !request.Deadline.IsZero() {
		heap.Push(&p.deadlines, deadlineEntry{at: request.Deadline, ticket: request.Ticket})
	}
}

func queueItem(w *waitingRequest) fairqueue.Item {
	r := &w.request
	return fairqueue.Item{
		ID: r.Ticket, Account: r.Account, Weight: r.Weight, Priority: queuePriority(r),
		Tokens: w.expectedTokens, Submitted: r.Submitted,
	}
}

// queuePriority returns the highest priority for a request that continues an
// interrupted answer, since its caller sees the whole wait as a pause.
func queuePriority(r *Request) int {
	if r.Produced > 0 {
		return fairqueue.PriorityLevels - 1
	}
	return r.Priority
}

// rejectEarly returns a rejection for a new request that is a known cause of
// crashes, exceeds a limit of its account or the queue bound, or is not expected
// to be granted before its deadline.
func (p *Pool) rejectEarly(now time.Time, r *Request) (Rejection, bool) {
	if p.suspects.Verdict(r.Fingerprint, now) == suspicion.Reject {
		return rejectSuspect(r.Ticket), true
	}
	if reason, after := p.accounts.Admit(now, r.Account, p.queue.Waiting(r.Account)); reason != limits.None {
		return Rejection{
			Ticket: r.Ticket, Kind: string(problem.KindAccountLimited),
			Detail:     "the account has reached its limit of " + string(reason),
			RetryAfter: p.retryAfter(now, r, after),
		}, true
	}
	if p.queue.Len() >= p.config.QueueBound {
		return p.rejectOverloaded(now, r, "the queue of the pool is full"), true
	}
	limited, ok := p.limitedWait(now, r)
	if !ok {
		return p.rejectOverloaded(now, r, "the targets take no requests now"), true
	}
	wait := max(limited, p.expectedWait(now, r))
	if !r.Deadline.IsZero() && now.Add(wait).After(r.Deadline) {
		return p.rejectOverloaded(now, r, "the expected wait exceeds the deadline"), true
	}
	return Rejection{}, false
}

// rejectOverloaded returns a rejection for a request that the pool has no capacity
// for.
func (p *Pool) rejectOverloaded(now time.Time, r *Request, detail string) Rejection {
	return Rejection{
		Ticket: r.Ticket, Kind: string(problem.KindOverloaded), Detail: detail,
		RetryAfter: p.retryAfter(now, r, 0),
	}
}

// expectedWait returns the tokens queued ahead of the request divided by the
// measured completion rate. It is zero while nothing waits or the rate is unknown.
func (p *Pool) expectedWait(now time.Time, r *Request) time.Duration {
	rate := p.completions.perSecond(now)
	if p.queue.Len() == 0 || rate <= 0 {
		return 0
	}
	expected := p.lengths.Curve(lengthKey(r)).MeanRemaining(r.Produced, r.MaxTokens)
	tokensAhead := p.queue.TokensAhead(r.Account, r.Weight, expected, r.Priority)
	return time.Duration(tokensAhead / rate * float64(time.Second))
}

// retryAfter returns how long to wait until an equal request, with as much time to
// its deadline, is expected to be granted in time: the expected wait less the time
// left until the deadline, but at least atLeast and minRetryAfter.
func (p *Pool) retryAfter(now time.Time, r *Request, atLeast time.Duration) time.Duration {
	limited, _ := p.limitedWait(now, r)
	after := max(limited, p.expectedWait(now, r))
	if !r.Deadline.IsZero() {
		after -= max(0, r.Deadline.Sub(now))
	}
	return max(after, atLeast, minRetryAfter)
}

// rejectExpired rejects the waiting requests whose deadline has passed.
func (p *Pool) rejectExpired(now time.Time, d *Decisions) {
	for len(p.deadlines) > 0 && !p.deadlines[0].at.After(now) {
		ticket := heap.Pop(&p.deadlines).(deadlineEntry).ticket
		w, ok := p.waiting[ticket]
		if !ok {
			continue
		}
		p.withdraw(ticket)
		d.Rejections = append(d.Rejections, Rejection{
			Ticket: ticket, Kind: string(problem.KindDeadline),
			Detail:     "no target had room before the deadline",
			RetryAfter: p.retryAfter(now, &w.request, 0),
		})
	}
}
