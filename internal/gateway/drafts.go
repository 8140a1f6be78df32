package gateway

import (
	"context"
	"net/http"
	"time"

	"corianderhitch/api/completion"
	"corianderhitch/api/control"
	"corianderhitch/api/engine"
	"corianderhitch/api/problem"
	"corianderhitch/internal/delivery"
	"corianderhitch/internal/gateway/api"
	"corianderhitch/internal/gateway/fleet"
	"corianderhitch/internal/gateway/runner"
	"corianderhitch/internal/scheduling/suspicion"
)

// Retention where the document states none.
const defaultRetention = 72 * time.Hour

// draftRunner runs late drafts under the document in force at their start.
type draftRunner struct {
	fleet  *fleet.Fleet
	runner *runner.Runner
}

// run implements delivery.Run.
func (d *draftRunner) run(ctx context.Context, account, id string, request completion.Request, _ uint64) delivery.Outcome {
	index := d.fleet.View().Index
	if index == nil {
		return delivery.Outcome{Err: notRun("no environment document has arrived yet")}
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
	if entry, found := d.fleet.Lookup(ctx, account, id); found && entry.BodyHash == job.BodyHash {
		job.Admit.Version, job.Admit.Adapter = entry.Version, entry.Adapter
		job.Resume = &runner.Resume{Target: entry.Target, Generation: entry.Generation, StartIfUnknown: true}
	}
	result := d.runner.Run(ctx, job, nil)
	if result.Err != nil {
		return delivery.Outcome{Err: result.Err}
	}
	if result.FinishReason == engine.FinishCanceled {
		return delivery.Outcome{Err: notRun("the generation was canceled")}
	}
	response := api.NewResponse(job, result)
	return delivery.Outcome{Response: &response}
}

func notRun(detail string) *problem.Error {
	return problem.New(problem.KindOverloaded, http.StatusServiceUnavailable, problem.RanUnknown,
		"wait for another attempt", "%s", detail)
}

// liveGateways returns the hosts whose gateways run drafts.
func (d *draftRunner) liveGateways() []string {
	var hosts []string
	for _, m := range d.fleet.View().Members {
		if m.State == control.MemberAlive && m.GatewayAddr != "" {
			hosts = append(hosts, m.Host)
		}
	}
	return hosts
}

// pendingLimit returns an account's limit of pending drafts.
func (d *draftRunner) pendingLimit(account string) int {
	index := d.fleet.View().Index
	if index == nil {
		return 0
	}
	a, ok := index.Account(account)
	if !ok {
		return 0
	}
	return a.Limits.PendingLate
}

func (d *draftRunner) lateRetention() time.Duration {
	if index := d.fleet.View().Index; index != nil && index.Accepted().Document.Retention.LateAnswerHours > 0 {
		return time.Duration(index.Accepted().Document.Retention.LateAnswerHours) * time.Hour
	}
	return defaultRetention
}

func (d *draftRunner) callRetention() time.Duration {
	if index := d.fleet.View().Index; index != nil && index.Accepted().Document.Retention.CallOutcomeHours > 0 {
		return time.Duration(index.Accepted().Document.Retention.CallOutcomeHours) * time.Hour
	}
	return defaultRetention
}
