package services

import (
	"context"
	"net/http"
	"time"

	"corianderhitch/internal/gateway/api"
	"corianderhitch/internal/gateway/execution"
)

// repeatable runs an idempotent call. It may go to another target after a
// failure, and a lookup also when the first target is slow, within budgets.
func (c *Client) repeatable(ctx context.Context, call api.ServiceCall) (api.ServiceAnswer, error) {
	c.retries.earn()
	c.hedges.earn()
	results := make(chan *attempt, maxTargets)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	run := &race{caller: c, ctx: ctx, call: call, results: results}
	if err := run.launch(); err != nil {
		return api.ServiceAnswer{}, err
	}
	hedge := c.hedgeTimer(call)
	defer hedge.Stop()
	for {
		select {
		case <-hedge.C:
			if c.hedges.spend() && run.launch() == nil {
				c.metrics.RecordRetry("hedge")
			}
		case a := <-results:
			run.pending--
			if !a.movable() {
				c.observe(call, time.Since(run.started))
				return run.outcome(a)
			}
			run.uncertain = run.uncertain || !a.surelyNotRun()
			if ctx.Err() == nil && c.retries.spend() && run.launch() == nil {
				c.metrics.RecordRetry("failed")
			}
			if run.pending == 0 {
				return run.outcome(a)
			}
		}
	}
}

// race is one call with its attempts.
type race struct {
	caller  *Client
	ctx     context.Context
	call    api.ServiceCall
	results chan *attempt
	tried   []string
	pending int
	started time.Time
	// uncertain is set when an earlier attempt may have run the call.
	uncertain bool
}

// launch starts an attempt on a target that has not been tried.
func (r *race) launch() error {
	if len(r.tried) >= maxTargets {
		return errNoAttempt
	}
	target, err := r.caller.pick(r.call, r.tried)
	if err != nil {
		return err
	}
	if r.started.IsZero() {
		r.started = time.Now()
	}
	r.tried = append(r.tried, target.Name)
	r.pending++
	go func() { r.results <- r.caller.send(r.ctx, r.call, target, r.caller.transport.Do) }()
	return nil
}

// outcome answers with the deciding attempt. A "not run" of one target does not
// stand for the others.
func (r *race) outcome(a *attempt) (api.ServiceAnswer, error) {
	uncertain := r.uncertain || r.pending > 0
	if a.err == nil && !(a.refused() && uncertain) {
		return a.answer, nil
	}
	e := *a.failure()
	evidence := a.evidence()
	evidence.EarlierMayHaveRun = uncertain
	e.Ran = execution.Ran(evidence)
	return api.ServiceAnswer{}, &e
}

// hedgeTimer fires when a lookup is slower than most.
func (c *Client) hedgeTimer(call api.ServiceCall) *time.Timer {
	delay, ok := c.latency(call).p95()
	if call.Method != http.MethodGet || !ok {
		timer := time.NewTimer(time.Hour)
		timer.Stop()
		return timer
	}
	return time.NewTimer(delay)
}

func (c *Client) observe(call api.ServiceCall, d time.Duration) { c.latency(call).observe(d) }

func (c *Client) latency(call api.ServiceCall) *latency {
	key := call.Service + call.Route.Path
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.latencies[key]
	if l == nil {
		l = &latency{}
		c.latencies[key] = l
	}
	return l
}
