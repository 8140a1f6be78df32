// Package plain serves calls with a single response. A call that is not idempotent is
// sent again only if it certainly did not run; an idempotent one is also retried after
// a failure or hedged if the response is slow, within the fleet's retry budget.
package plain

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/admission"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/draining"
	"corianderhitch/internal/edge/ejection"
	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/memquota"
	"corianderhitch/internal/edge/placement"
	"corianderhitch/internal/edge/policy"
	"corianderhitch/internal/edge/region"
	"corianderhitch/internal/edge/retrybudget"
	"corianderhitch/internal/edge/stall"
	"corianderhitch/internal/edge/targetconn"
	"corianderhitch/internal/edge/targets"
	"corianderhitch/internal/edge/targetspeed"
)

const (
	// hedgeDelayFactor times the route's latency objective is how long an idempotent
	// call may wait for a response before it is also sent to a second target.
	hedgeDelayFactor = 1.5
	// minHedgeDelay keeps short objectives from doubling the load.
	minHedgeDelay = 120 * time.Millisecond
	// maxUnsent bounds the targets that are tried while no byte of the request has
	// been sent.
	maxUnsent = 4
	// fullRetryAfter is when a caller may retry a call that no target accepted:
	// capacity becomes free within the duration of a few calls.
	fullRetryAfter = 150 * time.Millisecond
	// noTargetRetryAfter is the same while the service has no target; a replacement
	// registers within seconds.
	noTargetRetryAfter = 700 * time.Millisecond
	// serverErrorSeverity is how much a server error counts as a failure, compared
	// with a broken connection: some requests fail on healthy targets as well.
	serverErrorSeverity = 0.5
	// slowTargetSeverity is the same for a target that had not answered within the
	// minimum hedge delay: it may have been busy with a long call.
	slowTargetSeverity = 0.5
	// writeSlack is how long after the deadline writes to the caller may still succeed.
	writeSlack = time.Second
)

// Server serves plain calls.
type Server struct {
	Sender      *edge.Sender
	Targets     *targets.Registry
	Inflight    *inflight.Table
	Health      *ejection.Tracker
	Speeds      *targetspeed.Tracker // nil if targets are all alike
	Queue       *admission.Queue     // of calls that wait for their turn at targets with limits and brittle ones
	RetryBudget func(service string) *retrybudget.Budget
	Domain      string // failure domain of this host
	Regions     region.Map
	Stalls      *stall.Detector
	Drain       *draining.Drain // the end of the process, before which a call must have ended
	// LargeBodies is the memory for responses that exceed smallBodyBytes. Beyond it, the rest of
	// such a response waits unread.
	LargeBodies *memquota.Quota
	// Memory counts the smaller responses; nil for no count.
	Memory *memquota.Budget

	awaitingTrial waiters
}

// Serve answers the call and returns its outcome.
func (s *Server) Serve(ctx context.Context, w http.ResponseWriter, a *edge.AuthorizedCall) string {
	ctx, cancel := context.WithTimeout(ctx, a.TimeLeft())
	defer cancel()
	served, end := context.WithCancel(context.Background())
	defer end()
	if err := http.NewResponseController(w).SetWriteDeadline(time.Now().Add(a.TimeLeft() + writeSlack)); err != nil {
		a.Log.Warn("plain: write deadline could not be set", "error", err.Error())
	}
	r := &run{server: s, call: a, ctx: ctx, served: served, outcomes: make(chan outcome, maxUnsent+a.Route.MaxAttempts), tried: make(map[string]bool)}
	best := outcome{result: held}
	if r.crashSuspect() == nil {
		best = r.serve()
	}
	if best.target != nil {
		a.Log = a.Log.With("target", best.target.ID, "sends", r.sends)
	}
	if best.result == answered || best.result == failed {
		edge.CopyHeader(w.Header(), best.header)
		w.Header().Set("Content-Length", strconv.Itoa(len(best.body)))
		w.WriteHeader(best.status)
		_, _ = w.Write(best.body) // ignored: the caller may have disconnected
		return best.result.String()
	}
	rejection := r.rejection(best)
	a.Log.Warn("plain: request rejected", "status", rejection.Status, "reason", rejection.Reason,
		"age_ms", a.Age().Milliseconds(), "retry_after_ms", rejection.RetryAfter.Milliseconds())
	rejection.Write(w, s.Sender.Wire)
	return rejection.Reason
}

// run is the execution of one call with all its sends.
type run struct {
	server     *Server
	call       *edge.AuthorizedCall
	ctx        context.Context
	served     context.Context // ends once the caller has been answered
	outcomes   chan outcome
	tried      map[string]bool
	sends      int             // sends that may have reached a target
	unsent     int             // sends that failed before any byte was sent
	pending    int             // sends without an outcome yet
	mayHaveRun bool            // a target may have run the call
	retries    int             // taken from the retry budget
	evacuated  bool            // a send was refused because the target's failure domain is evacuated
	last       *targets.Target // that the call was last sent to
}

// serve sends the call until a target answers it or no further send is allowed, and
// returns the most informative outcome.
func (r *run) serve() outcome {
	defer r.returnUnusedRetries()
	best := outcome{result: unsent}
	if !r.send() {
		return best
	}
	hedge := time.NewTimer(r.server.hedgeDelay(r.call.Route, r.last))
	defer hedge.Stop()
	delayed := false // the hedge was put off once
	for r.pending > 0 {
		select {
		case o := <-r.outcomes:
			r.pending--
			if o.result == answered {
				return o
			}
			best = r.mergeOutcome(best, o)
			r.retry(o)
		case <-hedge.C:
			if now := bootclock.Now(); r.server.Stalls.Affected(r.call.Received, now) && !delayed {
				delayed = true
				hedge.Reset(minHedgeDelay) // the response may wait unread
				continue
			}
			r.hedge()
		case <-r.ctx.Done():
			r.mayHaveRun = r.mayHaveRun || r.sends > 0
			return best
		}
	}
	return best
}

// mergeOutcome returns the outcome that is more informative to the caller and notes
// whether a target may have run the call.
func (r *run) mergeOutcome(best, o outcome) outcome {
	if o.result == failed || o.result == broken {
		r.mayHaveRun = true
	}
	if best.result == failed {
		return best
	}
	return o
}

// retry sends the call again if its outcome, the route's kind and the budgets
// allow.
func (r *run) retry(o outcome) {
	if o.result == unsent || o.result == held {
		r.sends--
	}
	if r.ctx.Err() != nil {
		return // the caller left, its deadline passed or the host aborts the call
	}
	switch o.result {
	case unsent:
		if errors.Is(o.err, targetconn.ErrNotYet) {
			delete(r.tried, o.target.Key()) // it may accept the call soon
		}
		r.evacuated = r.evacuated || errors.Is(o.err, targetconn.ErrEvacuated)
		if r.unsent++; r.unsent < maxUnsent {
			r.send()
		}
	case failed, broken:
		if r.call.Route.Kind == policy.Idempotent {
			r.sendAgain("after_" + o.result.String())
		}
	case rejected:
		r.sendAgain("after_rejected")
	}
}

// hedge sends a call that has no response yet to a second target.
func (r *run) hedge() {
	if r.call.Route.Kind == policy.Idempotent && r.pending > 0 {
		r.sendAgain("hedge")
	}
}

// sendAgain sends the call to one more target if the retry budget allows.
func (r *run) sendAgain(reason string) {
	if r.sends >= r.call.Route.MaxAttempts || !r.server.Drain.Fits(r.call) {
		return
	}
	budget := r.server.RetryBudget(r.call.Service.Name).TakeRetry()
	if !budget.Granted {
		r.call.Log.Warn("plain: not sent again", "reason", reason, "bound", "retry_budget", "budget", budget)
		return
	}
	r.retries++
	r.call.Log.Info("plain: sent again", "reason", reason, "sends", r.sends+1, "budget", budget)
	r.send()
}

// send starts one send in the background. It returns false if there is no target
// for it.
func (r *run) send() bool {
	t := r.chooseTarget()
	if t == nil && r.pending == 0 {
		r.awaitTrial()
		if t = r.chooseTarget(); t == nil {
			t = r.awaitTurn()
		}
	}
	if t == nil {
		return false
	}
	r.tried[t.Key()], r.last = true, t
	r.sends++
	r.pending++
	log := r.call.Log // Serve changes the logger of the call, which a send may outlast
	go func() { r.outcomes <- r.server.send(r.ctx, r.served, r.call, t, log) }()
	return true
}

// view returns the targets with those of the service on which the call may run.
func (r *run) view() *targets.View {
	view := r.server.Targets.View()
	if !r.call.Regions.Restricted {
		return view
	}
	return view.Only(r.call.Service.Name, func(domain string) bool { return r.server.Regions.Allows(r.call.Regions, domain) })
}

// queue returns the name of the queue in which the call waits for its turn. Calls with other regions
// wait for other targets.
func (r *run) queue() string { return r.call.Service.Name + r.call.Regions.Key() }

// chooseTarget returns the best target that was not tried yet, nil if there is none.
func (r *run) chooseTarget() *targets.Target {
	s := r.server
	available := r.view().Available(r.call.Service.Name)
	candidates := make([]placement.Candidate, len(available))
	for i, t := range available {
		key := t.Key()
		candidates[i] = placement.Candidate{Target: t, Load: s.Inflight.TotalLoad(key), FailureCost: s.Health.FailureCost(key), Latency: s.Health.Latency(key).Seconds(), Slowness: s.Speeds.Slowness(key)}
	}
	i := s.choose(candidates, r.tried)
	if i < 0 {
		return nil
	}
	return available[i]
}

// rejection returns the rejection of a call without a response. Only a call that
// certainly did not run gets status 503.
func (r *run) rejection(best outcome) *edge.Rejection {
	timedOut := errors.Is(r.ctx.Err(), context.DeadlineExceeded)
	switch {
	case timedOut:
		return &edge.Rejection{Status: http.StatusGatewayTimeout, Reason: edge.ReasonTimeout}
	case r.mayHaveRun || r.pending > 0:
		return &edge.Rejection{Status: http.StatusBadGateway, Reason: edge.ReasonMayHaveRun}
	case edge.CanceledReason(r.ctx) == edge.ReasonStopping:
		return edge.Stopping()
	case best.result == held:
		if rejection := r.crashSuspect(); rejection != nil {
			return rejection
		}
		return edge.Unavailable(edge.ReasonCrashSuspect, noTargetRetryAfter) // released meanwhile
	case best.result == keyUnconfirmed:
		return edge.Unavailable(edge.ReasonUnconfirmed, noTargetRetryAfter)
	}
	if refusal, refused := r.view().Refusal(r.call.Service.Name); refused {
		return edge.AllRefuse(refusal)
	}
	switch best.result {
	case rejected:
		return edge.Unavailable(edge.ReasonTargetFull, fullRetryAfter)
	default:
		return edge.Unavailable(edge.ReasonNoTarget, noTargetRetryAfter)
	}
}

// send sends the call to one target and waits for the complete response.
func (s *Server) send(ctx, served context.Context, a *edge.AuthorizedCall, t *targets.Target, log *slog.Logger) outcome {
	if !a.StillAuthorized(ctx) {
		return outcome{result: keyUnconfirmed, target: t}
	}
	key := t.Key()
	load := inflight.Load{Runs: 1}
	before := s.Inflight.TotalLoad(key)
	s.Inflight.Add(key, load)
	defer s.Inflight.Remove(key, load)
	started, sentAt := time.Now(), bootclock.Now()
	response, err := s.Sender.Send(ctx, a, t, edge.Dispatch{Account: a.Account, Urgency: a.Urgency})
	var o outcome
	switch {
	case errors.Is(err, edge.ErrHeld):
		o = outcome{result: held, err: err}
	case errors.Is(err, targetconn.ErrNotSent):
		o = outcome{result: unsent, err: err}
	case err != nil:
		o = outcome{result: broken, err: err}
	default:
		s.recordAnswer(key)
		o = s.readResponse(ctx, served, a.Account, response)
	}
	o.target, o.took = t, time.Since(started)
	s.recordHealth(ctx, &o)
	s.recordSpeed(&o, before.Runs)
	o.crashEvidence = s.recordEvidence(ctx, a, sentAt, &o)
	logOutcome(log, &o)
	return o
}

// recordHealth records what the outcome of a send shows about the target's health.
func (s *Server) recordHealth(ctx context.Context, o *outcome) {
	key := o.target.Key()
	if o.result != answered && s.ownFault(ctx, o) {
		return
	}
	switch o.result {
	case answered:
		s.Health.RecordSuccess(key, s.latency(o))
	case failed:
		s.Health.RecordFailure(key, serverErrorSeverity)
	case unsent:
		s.Health.RecordFailure(key, 1)
	case broken:
		switch {
		case !errors.Is(ctx.Err(), context.Canceled):
			s.Health.RecordFailure(key, 1)
		case o.took >= minHedgeDelay: // the caller disconnected or another target was faster
			s.Health.RecordFailure(key, slowTargetSeverity)
		}
	}
}

// latency returns how long a target took to answer, 0 if the answer may have waited unread
// because this host was stalled.
func (s *Server) latency(o *outcome) time.Duration {
	if now := bootclock.Now(); s.Stalls.Affected(now.Add(-o.took), now) {
		return 0
	}
	return o.took
}

// ownFault reports whether a send failed for a reason that says nothing about its target:
// it was not sent for the host's own reasons, the host had no memory for a large response, the
// host's process ends, or it was stalled while the send lasted.
func (s *Server) ownFault(ctx context.Context, o *outcome) bool {
	if o.result == unsent && (ctx.Err() != nil || errors.Is(o.err, targetconn.ErrRefused)) {
		return true
	}
	if errors.Is(o.err, errNoMemory) {
		return true
	}
	now := bootclock.Now()
	return errors.Is(context.Cause(ctx), edge.ErrStopping) || (o.result != failed && s.Stalls.Affected(now.Add(-o.took), now))
}

// logOutcome logs a send that got no successful response.
func logOutcome(log *slog.Logger, o *outcome) {
	if o.result == answered {
		return // logged when the request ends
	}
	errText := ""
	if o.err != nil {
		errText = o.err.Error()
	}
	log.Warn("plain: send without a good answer", "target", o.target.ID, "address", o.target.Address,
		"result", o.result.String(), "status", o.status, "took_ms", o.took.Milliseconds(), "crash_evidence", o.crashEvidence, "error", errText)
}
