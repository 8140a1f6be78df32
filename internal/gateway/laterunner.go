package gateway

import (
	"context"
	"net/http"
	"time"

	"corianderhitch/api/completion"
	"corianderhitch/api/engine"
	"corianderhitch/api/problem"
	"corianderhitch/internal/delivery"
	"corianderhitch/internal/gateway/api"
	"corianderhitch/internal/gateway/fleet"
	"corianderhitch/internal/gateway/runner"
	"corianderhitch/internal/scheduling/suspicion"
)

// defaultRetention applies where the document sets no retention.
const defaultRetention = 72 * time.Hour

// lateRunner runs late requests under the document in force when each run starts. It
// also reads the settings of late delivery and of the ledger from that document.
type lateRunner struct {
	fleet  *fleet.Fleet
	runner *runner.Runner
}

// run implements delivery.RunFunc. It attaches to the generation if an earlier run of the
// request, perhaps by another gateway, has started one.
func (l *lateRunner) run(ctx context.Context, account, id string, request completion.Request, _ uint64) delivery.Outcome {
	index := l.fleet.View().Index
	if index == nil {
		return delivery.Outcome{Err: retryLater("no environment document has arrived yet")}
	}
	a, ok := index.Account(account)
	if !ok {
		return delivery.Outcome{Err: problem.New(problem.KindForbidden, http.StatusForbidden, problem.RanNo,
			"ask the operator", "the account is not in the environment document any more")}
	}
	job, err := api.NewJob(index, a, request, id, time.Now())
	if err != nil {
		return delivery.Outcome{Err: problem.From(err)}
	}
	job.NonStreaming = true
	job.Admit.Fingerprint = suspicion.Fingerprint(job.Admit.Fingerprint, true)
	job.Admit.Deadline = time.Time{}
	if entry, found := l.fleet.Lookup(ctx, account, id); found && entry.BodyHash == job.BodyHash {
		job.Admit.Version, job.Admit.Adapter = entry.Version, entry.Adapter
		job.Resume = &runner.Resume{Target: entry.Target, Generation: entry.Generation, StartIfUnknown: true}
	}
	result := l.runner.Run(ctx, job, nil)
	if result.Err != nil {
		return delivery.Outcome{Err: result.Err}
	}
	if result.FinishReason == engine.FinishCanceled {
		return delivery.Outcome{Err: retryLater("the generation was canceled")}
	}
	response := api.NewResponse(job, result)
	return delivery.Outcome{Response: &response}
}

// retryLater returns a problem after which the delivery service tries again. An earlier
// run may have reached an engine, so it says "unknown".
func retryLater(detail string) *problem.Error {
	return problem.New(problem.KindOverloaded, http.StatusServiceUnavailable, problem.RanUnknown,
		"wait for another attempt", "%s", detail)
}

// pendingLimit returns an account's limit of pending late requests, 0 for none.
func (l *lateRunner) pendingLimit(account string) int {
	index := l.fleet.View().Index
	if index == nil {
		return 0
	}
	a, ok := index.Account(account)
	if !ok {
		return 0
	}
	return a.Limits.PendingLate
}

// lateRetention returns how long late answers are kept.
func (l *lateRunner) lateRetention() time.Duration {
	if index := l.fleet.View().Index; index != nil && index.Accepted().Document.Retention.LateAnswerHours > 0 {
		return time.Duration(index.Accepted().Document.Retention.LateAnswerHours) * time.Hour
	}
	return defaultRetention
}

// callRetention returns how long the outcomes of non-idempotent calls are kept.
func (l *lateRunner) callRetention() time.Duration {
	if index := l.fleet.View().Index; index != nil && index.Accepted().Document.Retention.CallOutcomeHours > 0 {
		return time.Duration(index.Accepted().Document.Retention.CallOutcomeHours) * time.Hour
	}
	return defaultRetention
}
