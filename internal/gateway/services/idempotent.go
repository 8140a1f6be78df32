package services

import (
	"context"
	"net/http"
	"time"

	"corianderhitch/internal/gateway/api"
	"corianderhitch/internal/gateway/execution"
)

// callIdempotent runs an idempotent call. Within the budgets, it sends the call to
// another target after a failure, and a GET also when the first target is slow (a
// hedge).
func (c *Client) callIdempotent(ctx context.Context, call api.ServiceCall) (api.ServiceAnswer, error) {
	c.retryBudget.earn()
	c.hedgeBudget.earn()
	results := make(chan *attempt, maxTargets)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	run := &idempotentCall{client: c, ctx: ctx, call: call, results: results}
	if err := run.startAttempt(); err != nil {
		return api.ServiceAnswer{}, err
	}
	hedge := c.newHedgeTimer(call)
	defer hedge.Stop()
	for {
		select {
		case <-hedge.C:
			if c.hedgeBudget.spend() && run.startAttempt() == nil {
				c.metrics.RecordRetry("hedge")
			}
		case a := <-results:
			run.pending--
			if !a.worthRetrying() && !(a.rejected() && run.pending > 0) {
				c.observeLatency(call, time.Since(run.started))
				return run.answer(a)
			}
			run.otherMayHaveRun = run.otherMayHaveRun || !a.notExecuted()
			if !a.worthRetrying() {
				continue // the target of the other attempt may still answer
			}
			if ctx.Err() == nil && c.retryBudget.spend() && run.startAttempt() == nil {
				c.metrics.RecordRetry("failed")
			}
			if run.pending == 0 {
				return run.answer(a)
			}
		}
	}
}

// idempotentCall is one call with its attempts, which may run concurrently.
type idempotentCall struct {
	client  *Client
	ctx     context.Context
	call    api.ServiceCall
	results chan *attempt
	tried   []string
	pending int
	started time.Time
	// otherMayHaveRun is set when a failed attempt may have run the call.
	otherMayHaveRun bool
}

// startAttempt starts an attempt at a target that has not been tried.
func (r *idempotentCall) startAttempt() error {
	if len(r.tried) >= maxTargets {
		return errNoFurtherAttempt
	}
	chosen, err := r.client.chooseTarget(r.ctx, r.call, r.tried)
	if err != nil {
		return err
	}
	if r.started.IsZero() {
		r.started = time.Now()
	}
	r.tried = append(r.tried, chosen.target.Name)
	r.pending++
	go func() { r.results <- r.client.send(r.ctx, r.call, chosen, r.client.transport.Do) }()
	return nil
}

// answer returns the result for the caller from the deciding attempt. That this
// target did not run the call says nothing about the targets of other attempts.
func (r *idempotentCall) answer(a *attempt) (api.ServiceAnswer, error) {
	othersUncertain := r.otherMayHaveRun || r.pending > 0
	if a.err == nil && !(a.rejected() && othersUncertain) {
		return a.answer, nil
	}
	e := *a.failureProblem()
	evidence := a.evidence()
	evidence.EarlierMayHaveRun = othersUncertain
	e.Ran = execution.Ran(evidence)
	return api.ServiceAnswer{}, &e
}

// newHedgeTimer returns a timer that fires when a GET has taken longer than most calls
// of its route. For other calls, and while too few latencies are known, it never fires.
func (c *Client) newHedgeTimer(call api.ServiceCall) *time.Timer {
	delay, ok := c.latencyHistory(call).p95()
	if call.Method != http.MethodGet || !ok {
		timer := time.NewTimer(time.Hour)
		timer.Stop()
		return timer
	}
	return time.NewTimer(delay)
}

// observeLatency adds a call to the latencies of its route.
func (c *Client) observeLatency(call api.ServiceCall, d time.Duration) {
	c.latencyHistory(call).observe(d)
}

// latencyHistory returns the latencies of a call's route.
func (c *Client) latencyHistory(call api.ServiceCall) *latencyHistory {
	key := call.Service + call.Route.Path
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.latencies[key]
	if l == nil {
		l = &latencyHistory{}
		c.latencies[key] = l
	}
	return l
}
