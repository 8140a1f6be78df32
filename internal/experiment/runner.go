// Package experiment compares scheduling policies on simulated engines in virtual time.
// Each policy gets the same arrivals, engines, delays and faults, so that the same seed
// produces the same figures.
package experiment

import (
	"fmt"
	"time"

	"corianderhitch/api/problem"
	"corianderhitch/internal/enginemodel"
	"corianderhitch/internal/scheduling"
)

const (
	// callerDelay is the one-way delay between callers and gateways.
	callerDelay = 3 * time.Millisecond
	// maxAttempts limits how often a gateway runs a request, and how often it sends one to
	// targets that want a pause.
	maxAttempts = 3
	// refusedSendDelay is the time until a gateway submits a call again that it did not
	// send. It ends loops with a policy that decides at once and chooses the same target.
	refusedSendDelay = time.Millisecond
	// maxResends is how often the caller of a request that crashes engines resends it.
	maxResends  = 3
	resendDelay = 2 * time.Second
)

// startTime is the beginning of virtual time.
var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// runner runs one policy on one scenario. It is not safe for concurrent use.
type runner struct {
	scenario        *Scenario
	seed            uint64
	policy          scheduling.Policy
	lostStreams     LostStreams
	timeline        timeline
	linkDelay       time.Duration // one way between two processes
	ownerDelay      time.Duration // one way between a gateway and the process that decides
	targets         []*targetState
	targetsByName   map[string]*targetState
	allCalls        []*call
	unfinished      []*call // allCalls without the ended calls at its end
	callsByTicket   map[string]*call
	metrics         *metrics
	gates           []*pauseGate // one a gateway; none if the gateways ignore pauses
	decisionPending bool         // a Decide is scheduled for the current time
	nextDecisionAt  time.Time    // when the policy asked for its next Decide
}

// Run runs one policy on a scenario with the given arrivals, which Arrivals returns, until
// all calls have ended or the drain time is over.
func Run(s *Scenario, spec PolicySpec, seed uint64, arrivals []Arrival) Result {
	r := newRunner(s, spec, seed)
	for i := range arrivals {
		c := &call{arrival: &arrivals[i], gateway: i % s.Gateways}
		r.allCalls = append(r.allCalls, c)
		r.metrics.requestedTokens[c.arrival.Account.Name] += float64(c.arrival.Output)
		r.timeline.schedule(startTime.Add(c.arrival.At+callerDelay), func() { r.submit(c) })
	}
	r.unfinished = r.allCalls
	r.timeline.schedule(startTime, r.pollReports)
	for _, f := range s.Faults {
		r.timeline.schedule(startTime.Add(seconds(f.At)), func() { r.injectFault(f) })
	}
	end := startTime.Add(seconds(s.Seconds + s.DrainSeconds))
	for running := true; running; {
		running = r.hasOpenWork() && r.timeline.runNext(end)
	}
	return r.result(spec.Name)
}

func newRunner(s *Scenario, spec PolicySpec, seed uint64) *runner {
	r := &runner{
		scenario: s, seed: seed, policy: spec.New(s, seed), lostStreams: spec.LostStreams, linkDelay: milliseconds(s.LinkMS),
		targetsByName: make(map[string]*targetState), callsByTicket: make(map[string]*call),
		metrics: newMetrics(startTime.Add(seconds(s.Seconds))),
	}
	r.timeline.now = startTime
	if spec.Remote {
		r.ownerDelay = r.linkDelay
	}
	if !spec.IgnoresPauses {
		r.gates = newPauseGates(s.Gateways, seed)
	}
	for i := range s.Targets {
		target := &targetState{name: targetName(i), engine: r.newEngine(i), running: true, believedHealthy: true}
		r.targets = append(r.targets, target)
		r.targetsByName[target.name] = target
	}
	return r
}

func targetName(index int) string { return fmt.Sprintf("engine-%02d", index) }

// hasOpenWork reports whether the arrival window is still open or a call has no final
// answer yet.
func (r *runner) hasOpenWork() bool {
	if r.timeline.now.Before(r.metrics.windowEnd) {
		return true
	}
	for i := len(r.unfinished) - 1; i >= 0; i-- {
		if r.unfinished[i].state == callOpen {
			return true
		}
		r.unfinished = r.unfinished[:i]
	}
	return false
}

// submit submits a new attempt of a call to the policy, or rejects the call if its gateway
// knows that no target wants it.
func (r *runner) submit(c *call) {
	if r.allPaused(c.gateway) {
		r.rejectOrResend(c)
		return
	}
	c.attempt++
	c.target = ""
	c.next = c.delivered
	if r.lostStreams == RepeatLost {
		c.next = 0
	}
	c.ticket = fmt.Sprintf("%s/%d", c.arrival.ID, c.attempt)
	ticket := c.ticket
	r.callsByTicket[ticket] = c
	request := r.request(c)
	r.timeline.scheduleAfter(r.ownerDelay, func() {
		r.policy.Submit(r.timeline.now, request)
		r.scheduleDecision()
	})
}

func (r *runner) request(c *call) scheduling.Request {
	a := c.arrival
	request := scheduling.Request{
		Ticket: c.ticket, Account: a.Account.Name, Model: model, Version: version, Class: a.Class.Name,
		Priority: a.Class.Priority, Weight: a.Account.Weight, LateDelivery: a.Class.LateDelivery,
		PromptTokens: a.Prompt, Produced: c.next, MaxTokens: a.Class.MaxTokens,
		PrefixHashes: a.Hashes, Submitted: r.timeline.now, Fingerprint: a.Fingerprint, ExcludedTargets: r.excludedTargets(c),
	}
	if a.Class.DeadlineMS > 0 {
		request.Deadline = r.timeline.now.Add(milliseconds(a.Class.DeadlineMS))
	}
	return request
}

// scheduleDecision schedules a decision after the events already scheduled for the current
// time, unless one is scheduled.
func (r *runner) scheduleDecision() {
	if r.decisionPending {
		return
	}
	r.decisionPending = true
	r.timeline.schedule(r.timeline.now, r.decideNow)
}

// decideNow schedules the effects of the policy's decision, and the next decision that
// the policy asks for.
func (r *runner) decideNow() {
	r.decisionPending = false
	d := r.policy.Decide(r.timeline.now)
	for _, g := range d.Grants {
		r.timeline.scheduleAfter(r.ownerDelay, func() { r.sendGranted(g) })
	}
	for _, rejection := range d.Rejections {
		r.timeline.scheduleAfter(r.ownerDelay, func() { r.handleRejection(rejection.Ticket) })
	}
	next := r.policy.NextDecision(r.timeline.now)
	if next.IsZero() || (r.nextDecisionAt.After(r.timeline.now) && !next.Before(r.nextDecisionAt)) {
		return
	}
	r.nextDecisionAt = next
	r.timeline.schedule(next, func() {
		if r.nextDecisionAt.Equal(next) {
			r.scheduleDecision()
		}
	})
}

// sendGranted sends a granted call to its engine, or submits it again if the target wants a
// pause.
func (r *runner) sendGranted(g scheduling.Grant) {
	if c := r.callsByTicket[g.Ticket]; c != nil && r.refusesSend(c, r.targetsByName[g.Target]) {
		r.endAttempt(c, 0)
		r.timeline.scheduleAfter(refusedSendDelay, func() { r.submit(c) })
		return
	}
	r.timeline.scheduleAfter(r.linkDelay, func() { r.startGranted(g) })
}

// startGranted starts a granted call on its engine, or tries again elsewhere if the engine
// is down or rejects it.
func (r *runner) startGranted(g scheduling.Grant) {
	c := r.callsByTicket[g.Ticket]
	target := r.targetsByName[g.Target]
	if c == nil || c.ticket != g.Ticket || c.state != callOpen {
		return
	}
	c.target = g.Target
	if !target.running {
		r.endTrial(c, false)
		r.retry(c, 0, false)
		return
	}
	r.metrics.pauses.recordArrival(g.Target, c.gateway, r.timeline.now)
	a := c.arrival
	err := target.engine.Submit(r.timeline.now, enginemodel.Submission{
		ID: c.ticket, Model: model, Version: version, Priority: a.Class.Priority, PromptTokens: a.Prompt, PrefixHashes: a.Hashes,
		MaxTokens: a.Class.MaxTokens, Length: a.Output, Produced: c.next, Crash: a.CrashesEngine,
	})
	if err != nil {
		r.handleEngineRejection(c, target, problem.From(err))
		return
	}
	r.endTrial(c, true)
	if c.lostEngines > 0 {
		r.metrics.tokensReadAgain += a.Prompt + c.next
	}
	r.scheduleStep(target)
}

// handleEngineRejection sends a call that its engine has rejected to another one. Only the
// rejections in a pause are limited: a leaving target gets no more grants.
func (r *runner) handleEngineRejection(c *call, target *targetState, rejection *problem.Error) {
	if rejection.Kind != problem.KindOverloaded {
		r.endTrial(c, true)
		target.knownLeaving = true
		r.retry(c, r.linkDelay, false)
		return
	}
	r.observePause(c.gateway, target, rejection.RetryAfter)
	r.endTrial(c, true)
	if c.rejectedInPause++; c.rejectedInPause == maxAttempts {
		r.endAttempt(c, r.linkDelay)
		r.rejectOrResend(c)
		return
	}
	r.retry(c, r.linkDelay, false)
}

// retry submits a call again after a delay, because its engine rejected it or was lost.
// If the attempt ran, maxAttempts limits the number of attempts.
func (r *runner) retry(c *call, delay time.Duration, ran bool) {
	r.endAttempt(c, delay)
	c.excluded = append(c.excluded, c.target)
	if ran && c.attempt >= maxAttempts+c.attemptsBeforeResend {
		r.rejectOrResend(c)
		return
	}
	r.timeline.scheduleAfter(delay, func() { r.submit(c) })
}

// endAttempt ends a call's attempt, of which the policy hears after a delay.
func (r *runner) endAttempt(c *call, delay time.Duration) {
	delete(r.callsByTicket, c.ticket)
	ticket, produced := c.ticket, c.next
	r.timeline.scheduleAfter(delay+r.ownerDelay, func() { r.reportFinished(ticket, produced, false) })
}

func (r *runner) reportFinished(ticket string, produced int, complete bool) {
	r.policy.Finish(r.timeline.now, scheduling.Finished{Ticket: ticket, Produced: produced, Complete: complete})
	r.scheduleDecision()
}

// generationEnded records that a generation has ended on its engine.
func (r *runner) generationEnded(c *call, tokens int, arrivesAt time.Time) {
	delete(r.callsByTicket, c.ticket)
	ticket := c.ticket
	if c.delivered == c.arrival.Output {
		c.state = callCompleted
		r.metrics.recordCompletion(c, startTime.Add(c.arrival.At))
	} else {
		r.rejectOrResend(c) // the engine's memory was too small for the whole answer
	}
	r.timeline.schedule(arrivesAt.Add(r.ownerDelay), func() { r.reportFinished(ticket, tokens, c.state == callCompleted) })
}

// handleRejection handles a call that the policy has rejected.
func (r *runner) handleRejection(ticket string) {
	c := r.callsByTicket[ticket]
	if c == nil {
		return
	}
	delete(r.callsByTicket, ticket)
	r.rejectOrResend(c)
}

// rejectOrResend ends a call without a complete answer. The caller of a request that
// crashes engines resends it instead, up to maxResends times.
func (r *runner) rejectOrResend(c *call) {
	if !c.arrival.CrashesEngine || c.resends >= maxResends {
		c.state = callRejected
		return
	}
	c.resends++
	c.attemptsBeforeResend = c.attempt
	c.excluded, c.rejectedInPause = nil, 0
	r.timeline.scheduleAfter(resendDelay, func() { r.submit(c) })
}
