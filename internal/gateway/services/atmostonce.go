package services

import (
	"context"
	"net/http"
	"time"

	"corianderhitch/api/problem"
	"corianderhitch/internal/gateway/api"
	"corianderhitch/internal/ledger"
)

// callAtMostOnce runs a call that may run only once. It continues when the caller
// leaves: the outcome is stored for a retry with the same key.
func (c *Client) callAtMostOnce(ctx context.Context, call api.ServiceCall, timeout time.Duration) (api.ServiceAnswer, error) {
	decision, err := c.ledger.Claim(ctx, ledger.Call{
		Account:  call.Account,
		Key:      ledgerKey(call.Service, call.Key),
		BodyHash: ledger.BodyHash(call.Method, call.Path+"?"+call.Query, call.Body),
	})
	if err != nil {
		c.metrics.RecordLedgerDecision(string(problem.From(err).Kind))
		return api.ServiceAnswer{}, err
	}
	if decision.Replay != nil {
		c.metrics.RecordLedgerDecision("replayed")
		return replayAnswer(*decision.Replay)
	}
	c.metrics.RecordLedgerDecision("claimed")
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	return c.dispatch(ctx, call, decision.Claim)
}

// dispatch sends a claimed call. It tries another target only if all earlier ones
// certainly did not run the call.
func (c *Client) dispatch(ctx context.Context, call api.ServiceCall, claim *ledger.Claim) (api.ServiceAnswer, error) {
	var tried []string
	var last *attempt
	for len(tried) < maxTargets && claim.MayDispatch() && ctx.Err() == nil {
		chosen, err := c.chooseTarget(ctx, call, tried)
		if err != nil {
			if last != nil {
				break
			}
			claim.Release()
			return api.ServiceAnswer{}, err
		}
		tried = append(tried, chosen.target.Name)
		last = c.send(ctx, call, chosen, c.transport.DoOnce)
		if !last.notExecuted() {
			return c.recordOutcome(claim, last)
		}
		c.metrics.RecordRetry("not-run")
	}
	claim.Release()
	if last == nil {
		return api.ServiceAnswer{}, pausedProblem()
	}
	if last.err == nil {
		return last.answer, nil // the target's own rejection
	}
	return api.ServiceAnswer{}, last.failureProblem()
}

// recordOutcome ends the claim of a call that a target may have run.
func (c *Client) recordOutcome(claim *ledger.Claim, a *attempt) (api.ServiceAnswer, error) {
	if a.err != nil {
		claim.Abandon()
		c.metrics.RecordLedgerDecision("outcome-unknown")
		return api.ServiceAnswer{}, unknownOutcomeProblem(a)
	}
	claim.Complete(ledger.Outcome{
		Status:      a.answer.Status,
		ContentType: a.answer.Header.Get("Content-Type"),
		Body:        a.answer.Body,
		BodyBytes:   len(a.answer.Body),
	})
	return a.answer, nil
}

// unknownOutcomeProblem returns the error for a dispatched call without a complete
// answer.
func unknownOutcomeProblem(a *attempt) *problem.Error {
	e := a.failureProblem()
	if e.Ran != problem.RanUnknown {
		return e
	}
	return problem.New(problem.KindOutcomeUnknown, http.StatusBadGateway, e.Ran,
		"check at the service whether the call took effect before sending it with a new Idempotency-Key",
		"the target gave no whole answer after the call was sent").WithCause(a.err)
}

// pausedProblem returns the error for a claimed call that was not sent within its time.
func pausedProblem() *problem.Error {
	return problem.New(problem.KindOverloaded, http.StatusServiceUnavailable, problem.RanNo,
		"come back after the named time with the same Idempotency-Key",
		"the gateway was paused before the call was sent").WithRetryAfter(noTargetRetryAfter)
}

// replayAnswer returns the stored outcome of an earlier request with the same key.
func replayAnswer(outcome ledger.Outcome) (api.ServiceAnswer, error) {
	if !outcome.HasFullBody() {
		return api.ServiceAnswer{}, problem.New(problem.KindTooLarge, http.StatusGone, problem.RanYes,
			"ask the service for the result",
			"an earlier sending ran with status %d and its answer of %d bytes was too large to keep",
			outcome.Status, outcome.BodyBytes)
	}
	answer := api.ServiceAnswer{Status: outcome.Status, Header: make(http.Header), Body: outcome.Body, Replayed: true}
	if outcome.ContentType != "" {
		answer.Header.Set("Content-Type", outcome.ContentType)
	}
	return answer, nil
}

// ledgerKey makes the Idempotency-Keys of different services distinct.
func ledgerKey(service, key string) string { return service + "/" + key }

// MayHaveRun implements api.ServiceCaller.
func (c *Client) MayHaveRun(ctx context.Context, account, service, key string) bool {
	return c.ledger.MayHaveRun(ctx, ledger.Call{Account: account, Key: ledgerKey(service, key)})
}
