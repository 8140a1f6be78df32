package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"corianderhitch/platform/standin"
)

const (
	// meanStatementInterval is the mean time between two targets that begin to leave or to
	// pause.
	meanStatementInterval = 500 * time.Millisecond
	// pauseOnTheWay is how long after a rejection requests that were already sent may still
	// reach the target.
	pauseOnTheWay = 500 * time.Millisecond
	// maxRequestsInPause is how many requests of a host may reach a target in a pause.
	maxRequestsInPause = 2
	// allPauseShare is one in how many pauses affects all targets of a service.
	allPauseShare = 8
	// maxPause is the longest pause that a target asks for.
	maxPause = 3 * time.Second
)

func (t *target) leave() {
	if t.engine != nil {
		t.engine.Leave()
		return
	}
	t.plain.Leave()
}

func (t *target) pause(d time.Duration) {
	if t.engine != nil {
		t.engine.Pause(d)
		return
	}
	t.plain.Pause(d)
}

func (t *target) statements() []standin.Statement {
	if t.engine != nil {
		return t.engine.Statements()
	}
	return t.plain.Statements()
}

// requests returns the requests that reached the target, including rejected ones.
func (t *target) requests() []standin.ReceivedRequest {
	if t.engine != nil {
		return t.engine.Requests()
	}
	return t.plain.Requests()
}

// rejections returns how often the target rejected which request with a pause. What arrived
// later may have run.
func (t *target) rejections() map[string]int {
	times := make(map[string]int)
	for _, s := range t.statements() {
		if s.Pause > 0 {
			times[s.RequestID]++
		}
	}
	return times
}

// injectStatements makes targets leave and pause by their answers alone for the given time.
// It has its own random source, so that the other faults of a seed stay as they are.
func (c *cluster) injectStatements(seed uint64, length time.Duration) {
	random := rand.New(rand.NewPCG(seed, 4))
	var wait sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); {
		service := []string{engineService, plainService}[random.IntN(2)]
		choices := faultChoices{pick: random.Int(), duration: time.Duration(random.Float64() * float64(maxPause))}
		switch random.IntN(4) {
		case 0:
			wait.Go(func() { c.replaceTarget(service, choices, c.leaveByAnswers) })
		default:
			c.pauseTargets(service, choices)
		}
		time.Sleep(time.Duration(random.ExpFloat64() * float64(meanStatementInterval)))
	}
	wait.Wait()
}

// leaveByAnswers makes a target state in its answers that it leaves, while its entry goes on
// calling it ready, and ends it some time later.
func (c *cluster) leaveByAnswers(t *target) {
	t.leave()
	time.Sleep(leavingBound)
	c.register(t, "ready")
	time.Sleep(leavingBound)
	c.removeTarget(t)
}

// pauseTargets makes one target, at times all targets, of a service reject requests with
// Retry-After.
func (c *cluster) pauseTargets(service string, choices faultChoices) {
	active := c.activeTargets(service)
	if choices.pick%allPauseShare != 0 && len(active) > 0 {
		active = active[choices.pick%len(active):][:1]
	}
	for _, t := range active {
		t.pause(choices.duration)
	}
}

// checkStatements checks that hosts obey what targets stated in their answers, whatever the
// store said.
func (c *cluster) checkStatements(outcomes []outcome) {
	byID := make(map[string]*outcome, len(outcomes))
	for i := range outcomes {
		byID[outcomes[i].id] = &outcomes[i]
	}
	authors := c.leavingAuthors()
	passedOn, pauses := 0, 0
	for _, t := range c.targets {
		requests := t.requests()
		for _, s := range t.statements() {
			o := byID[s.RequestID]
			switch {
			case o == nil: // its caller had not recorded it at the end
			case s.Pause > 0:
				pauses++
				c.report("pauses", c.checkPause(t, o.host, s, requests, byID))
			case s.Leaving && o.leaving && authors[o.id] == 1:
				passedOn++
				c.report("leaving answers", checkLeavingAnswer(t, o, requests, byID))
			}
		}
	}
	c.t.Logf("%d leaving answers passed on, %d pauses", passedOn, pauses)
}

// leavingAuthors returns how many targets stated to each request that they leave. With
// several it is unknown whose answer the host passed on.
func (c *cluster) leavingAuthors() map[string]int {
	authors := make(map[string]int)
	for _, t := range c.targets {
		for _, s := range t.statements() {
			if s.Leaving {
				authors[s.RequestID]++
			}
		}
	}
	return authors
}

func (c *cluster) report(guarantee, violation string) {
	if violation != "" {
		c.t.Errorf("%s: %s", guarantee, violation)
	}
}

// checkLeavingAnswer checks that no request reaches a target through a host, if it was sent
// after the host had passed on an answer which states that the target leaves. Only a restart
// of the host excuses it.
func checkLeavingAnswer(t *target, told *outcome, requests []standin.ReceivedRequest, byID map[string]*outcome) string {
	for i := range requests {
		o := byID[requests[i].ID()]
		if o == nil || o.host != told.host || requests[i].ExpectedTarget() != t.id || !o.sent.After(told.headAt) || o.host.restarted(told.headAt, requests[i].ReceivedAt) {
			continue
		}
		return fmt.Sprintf("%s passed on an answer of leaving %s at %s, but sent it %s, which its caller sent at %s", o.host.name, t.id, told.headAt.Format(timeLayout), o.id, o.sent.Format(timeLayout))
	}
	return ""
}

// checkPause checks that at most maxRequestsInPause requests of a host reach a target from
// pauseOnTheWay after its rejection to the end of the pause that it states. Restarts and
// freezes of the host, and faults of the path to the target, excuse more. A silence of the
// target delays the rejection, and requests that were sent before it.
func (c *cluster) checkPause(t *target, h *host, s standin.Statement, requests []standin.ReceivedRequest, byID map[string]*outcome) string {
	to := s.At.Add(s.Pause)
	from := t.silentUntil(s.At, to).Add(pauseOnTheWay + schedulingSlack)
	reached := 0
	for i := range requests {
		o := byID[requests[i].ID()]
		if o != nil && o.host == h && requests[i].ReceivedAt.After(from) && requests[i].ReceivedAt.Before(to) {
			reached++
		}
	}
	if reached <= maxRequestsInPause || h.restarted(s.At, to) || c.disturbances.interrupted(s.At, to, h.name, "crash", "freeze") ||
		c.disturbances.interrupted(s.At, to, t.id, "target path") {
		return ""
	}
	return fmt.Sprintf("%s rejected %s of %s at %s with a pause of %v, in which %d requests reached it from there", t.id, s.RequestID, h.name, s.At.Format(timeLayout), s.Pause, reached)
}
