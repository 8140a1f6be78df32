package streaming

import (
	"context"
	"time"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
)

const (
	// stopCallTimeout bounds a call. A silent engine answers once it goes on, and a call that has stopped the run
	// is the only one that learns of the memory it copies.
	stopCallTimeout = 2500 * time.Millisecond
	// stopHedgeInterval is the time from a call without an answer to the next, on another connection, if the engine
	// can be reached. One that leaves 45 of 100 calls unanswered answers one of four with 96 in 100.
	stopHedgeInterval = 100 * time.Millisecond
	// stopRetryInterval is the time between two calls in the first stopBackoffAfter. Later, and
	// while the engine cannot be reached, it doubles each time up to maxStopInterval. While the
	// engine answers, it is less, so that the last answer stays valid.
	stopRetryInterval   = 50 * time.Millisecond
	stopBackoffAfter    = time.Second
	maxStopInterval     = time.Second
	maxAnsweredInterval = stopAnswerValidity / 4
	// lateStart is when an engine that answers that it does not execute the run is asked again if
	// it got a request without an answer: that may wait there or be on its way.
	lateStart = 300 * time.Millisecond
)

// stopOutcome is how a call ended.
type stopOutcome struct {
	reply    edge.MoveReply
	calledAt bootclock.Instant
}

// stopCalls are the calls of one stop.
type stopCalls struct {
	*engineStop
	outcomes chan stopOutcome
	timer    *time.Timer       // for the next call
	calledAt bootclock.Instant // when the last call was made
	waiting  bool              // the last call has no outcome yet
	hedge    time.Duration     // from the last call to the next if the engine can be reached
	retry    time.Duration     // from an outcome to the next call
	recheck  bool              // the engine may begin the run late
}

// run asks the engine until the run does not execute there any more.
func (s *engineStop) run() {
	defer s.end()
	c := &stopCalls{engineStop: s, outcomes: make(chan stopOutcome), timer: time.NewTimer(0), hedge: stopHedgeInterval, retry: stopRetryInterval, recheck: s.unanswered}
	defer c.timer.Stop()
	c.ask()
	c.awaitOpen()
}

// ask makes calls until the engine need not be asked again or the stop is given up.
func (c *stopCalls) ask() {
	deadline := c.started.Add(max(stopCallTimeout, c.r.call.TimeLeft()))
	for {
		select {
		case <-c.quit:
			return
		case <-c.timer.C:
			if c.replaced() {
				reply := edge.MoveReply{Result: edge.MoveNoRun}
				c.observe(reply)
				c.finish(reply, true)
				return
			}
			c.callIfDue()
		case o := <-c.outcomes:
			if c.settle(o, deadline) {
				return
			}
		}
	}
}

// callIfDue makes the next call, unless the last one waits for its connection to be opened.
func (c *stopCalls) callIfDue() {
	sinceCall := bootclock.Since(c.calledAt)
	if c.waiting && sinceCall < stopTimeout && c.contact().SinceOpened > sinceCall && !c.heardLately(c.started) {
		c.timer.Reset(stopTimeout - sinceCall + stopRetryInterval)
		return
	}
	c.mu.Lock()
	c.open++
	c.calls++
	c.mu.Unlock()
	called := bootclock.Now()
	c.calledAt, c.waiting = called, true
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, stopCallTimeout)
		defer cancel()
		c.outcomes <- stopOutcome{c.r.server.Engines.Move(ctx, c.engine, c.r.ID(), c.other, true), called}
	}()
	c.timer.Reset(c.hedge)
	if bootclock.Since(c.started) > stopBackoffAfter {
		c.hedge = min(2*c.hedge, maxStopInterval)
	}
}

// settle records the outcome of a call and sets the time of the next. It reports whether the engine need not be asked
// again.
func (c *stopCalls) settle(o stopOutcome, deadline bootclock.Instant) bool {
	reply := o.reply
	c.receive(reply)
	c.waiting = c.waiting && o.calledAt != c.calledAt
	stopped := hasStopped(reply)
	ended := !stopped && didNotReach(reply) && !c.r.server.Targets.View().Listed(c.engine.Key())
	again := stopped && reply.Result == edge.MoveNoRun && c.recheck
	if stopped && !again || ended || bootclock.Now() > deadline {
		c.finish(reply, ended)
		return true
	}
	late := bootclock.Since(c.started) > stopBackoffAfter
	switch {
	case again:
		c.recheck = false
		c.timer.Reset(lateStart)
		return false
	case !reply.Answered() && !didNotReach(reply) && bootclock.Since(o.calledAt) >= stopTimeout:
		return false // others have been made meanwhile
	case didNotReach(reply) && !c.heardLately(c.started):
		c.retry = min(2*c.retry, maxStopInterval)
	case late && reply.Answered():
		c.retry = min(2*c.retry, maxAnsweredInterval)
	case late:
		c.retry = min(2*c.retry, maxStopInterval)
	default:
		c.retry = stopRetryInterval
	}
	c.timer.Reset(c.retry)
	return false
}

// receive records the outcome of a call.
func (c *stopCalls) receive(reply edge.MoveReply) {
	c.mu.Lock()
	c.open--
	c.mu.Unlock()
	c.observe(reply)
}

// awaitOpen waits for the calls in flight. If one has named the memory of the run that it stopped, the others are given
// up soon.
func (c *stopCalls) awaitOpen() {
	for {
		c.mu.Lock()
		open, known := c.open, stoppedAtSource(c.reply)
		c.mu.Unlock()
		if open == 0 {
			return
		}
		if known {
			time.AfterFunc(stopTimeout, c.cancel)
		}
		c.receive((<-c.outcomes).reply)
	}
}
