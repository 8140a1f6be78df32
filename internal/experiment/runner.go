// Package experiment runs scheduling policies against stand-in engines in
// virtual time: the same seeded arrivals, engines, lags and faults for each
// policy. The same seed gives the same figures.
package experiment

import (
	"fmt"
	"time"

	"corianderhitch/internal/enginemodel"
	"corianderhitch/internal/scheduling"
)

const (
	// callerLink is the one-way delay between callers and gateways.
	callerLink = 3 * time.Millisecond
	// maxAttempts bounds how often a gateway runs a request.
	maxAttempts = 3
	// maxResends is how often the caller of a crashing request sends it again.
	maxResends  = 3
	resendAfter = 2 * time.Second
)

// start is the beginning of virtual time.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// runner is one run of one policy.
type runner struct {
	scenario *Scenario
	seed     uint64
	policy   scheduling.Policy
	time     timeline
	link     time.Duration
	toOwner  time.Duration // one way between a gateway and who decides
	slots    []*engineSlot
	byName   map[string]*engineSlot
	all      []*call
	calls    []*call // without those at the end that are done
	byTicket map[string]*call
	metrics  *metrics
	pending  bool      // a Decide is scheduled for this instant
	decideAt time.Time // of the Decide that the policy asked for
}

// Run runs one policy over a scenario.
func Run(s *Scenario, spec PolicySpec, seed uint64, arrivals []Arrival) Result {
	r := newRunner(s, spec, seed)
	for i := range arrivals {
		c := &call{arrival: &arrivals[i]}
		r.all = append(r.all, c)
		r.metrics.asked[c.arrival.Account.Name] += float64(c.arrival.Output)
		r.time.at(start.Add(c.arrival.At+callerLink), func() { r.submit(c) })
	}
	r.calls = r.all
	r.time.at(start, r.report)
	for _, f := range s.Faults {
		r.time.at(start.Add(seconds(f.At)), func() { r.fault(f) })
	}
	end := start.Add(seconds(s.Seconds + s.DrainSeconds))
	for running := true; running; {
		running = r.open() && r.time.next(end)
	}
	return r.result(spec.Name)
}

func newRunner(s *Scenario, spec PolicySpec, seed uint64) *runner {
	r := &runner{
		scenario: s, seed: seed, policy: spec.New(s, seed), link: milliseconds(s.LinkMS),
		byName: make(map[string]*engineSlot), byTicket: make(map[string]*call),
		metrics: newMetrics(start.Add(seconds(s.Seconds))),
	}
	r.time.now = start
	if spec.Remote {
		r.toOwner = r.link
	}
	for i := range s.Targets {
		slot := &engineSlot{name: targetName(i), engine: r.newEngine(i), up: true, known: true}
		r.slots = append(r.slots, slot)
		r.byName[slot.name] = slot
	}
	return r
}

func targetName(index int) string { return fmt.Sprintf("engine-%02d", index) }

// open tells whether the window lasts or a call has no final answer.
func (r *runner) open() bool {
	if r.time.now.Before(r.metrics.windowEnd) {
		return true
	}
	for i := len(r.calls) - 1; i >= 0; i-- {
		if r.calls[i].state == callOpen {
			return true
		}
		r.calls = r.calls[:i]
	}
	return false
}

// submit sends a new attempt of a call to whoever decides.
func (r *runner) submit(c *call) {
	c.attempt++
	c.target = ""
	c.ticket = fmt.Sprintf("%s/%d", c.arrival.ID, c.attempt)
	ticket := c.ticket
	r.byTicket[ticket] = c
	request := r.request(c)
	r.time.after(r.toOwner, func() {
		r.policy.Submit(r.time.now, request)
		r.decide()
	})
}

func (r *runner) request(c *call) scheduling.Request {
	a := c.arrival
	request := scheduling.Request{
		Ticket: c.ticket, Account: a.Account.Name, Model: model, Version: version, Class: a.Class.Name,
		Priority: a.Class.Priority, Weight: a.Account.Weight, LateDelivery: a.Class.LateDelivery,
		PromptTokens: a.Prompt, Produced: c.delivered, MaxTokens: a.Class.MaxTokens,
		PrefixHashes: a.Hashes, Submitted: r.time.now, Fingerprint: a.Fingerprint, ExcludedTargets: c.avoid,
	}
	if a.Class.DeadlineMS > 0 {
		request.Deadline = r.time.now.Add(milliseconds(a.Class.DeadlineMS))
	}
	return request
}

// decide lets the policy decide once for all that happens at this instant.
func (r *runner) decide() {
	if r.pending {
		return
	}
	r.pending = true
	r.time.at(r.time.now, r.decideNow)
}

func (r *runner) decideNow() {
	r.pending = false
	d := r.policy.Decide(r.time.now)
	for _, g := range d.Grants {
		r.time.after(r.toOwner+r.link, func() { r.startOn(g) })
	}
	for _, refusal := range d.Rejections {
		r.time.after(r.toOwner, func() { r.refused(refusal.Ticket) })
	}
	next := r.policy.NextDecision(r.time.now)
	if next.IsZero() || (r.decideAt.After(r.time.now) && !next.Before(r.decideAt)) {
		return
	}
	r.decideAt = next
	r.time.at(next, func() {
		if r.decideAt.Equal(next) {
			r.decide()
		}
	})
}

// startOn brings a granted call to its engine.
func (r *runner) startOn(g scheduling.Grant) {
	c := r.byTicket[g.Ticket]
	slot := r.byName[g.Target]
	if c == nil || c.ticket != g.Ticket || c.state != callOpen {
		return
	}
	c.target = g.Target
	if !slot.up {
		r.again(c, 0, false)
		return
	}
	a := c.arrival
	err := slot.engine.Submit(r.time.now, enginemodel.Submission{
		ID: c.ticket, Model: model, Version: version, Priority: a.Class.Priority, PromptTokens: a.Prompt, PrefixHashes: a.Hashes,
		MaxTokens: a.Class.MaxTokens, Length: a.Output, Produced: c.delivered, Crash: a.CrashesEngine,
	})
	if err != nil {
		slot.leaving = true
		r.again(c, r.link, false)
		return
	}
	r.wake(slot)
}

// again sends a call elsewhere, after its engine refused it or was lost.
func (r *runner) again(c *call, wait time.Duration, ran bool) {
	delete(r.byTicket, c.ticket)
	ticket, target, produced := c.ticket, c.target, c.delivered
	r.time.after(wait+r.toOwner, func() { r.finish(ticket, produced, false) })
	c.avoid = append(c.avoid, target)
	if ran && c.attempt >= maxAttempts+c.budget {
		r.final(c)
		return
	}
	r.time.after(wait, func() { r.submit(c) })
}

func (r *runner) finish(ticket string, produced int, complete bool) {
	r.policy.Finish(r.time.now, scheduling.Finished{Ticket: ticket, Produced: produced, Complete: complete})
	r.decide()
}

// ended records a generation's end at its gateway.
func (r *runner) ended(c *call, tokens int, arrives time.Time) {
	delete(r.byTicket, c.ticket)
	ticket := c.ticket
	if c.delivered == c.arrival.Output {
		c.state = callCompleted
		r.metrics.completed(c, start.Add(c.arrival.At))
	} else {
		r.final(c) // the engine cut it: its memory holds no longer answer
	}
	r.time.at(arrives.Add(r.toOwner), func() { r.finish(ticket, tokens, c.state == callCompleted) })
}

// refused gives a call its final answer.
func (r *runner) refused(ticket string) {
	c := r.byTicket[ticket]
	if c == nil {
		return
	}
	delete(r.byTicket, ticket)
	r.final(c)
}

// final ends a call without a whole answer, unless its caller sends it again as
// that of a crashing request does.
func (r *runner) final(c *call) {
	if !c.arrival.CrashesEngine || c.resends >= maxResends {
		c.state = callRefused
		return
	}
	c.resends++
	c.budget = c.attempt
	c.avoid = nil
	r.time.after(resendAfter, func() { r.submit(c) })
}
