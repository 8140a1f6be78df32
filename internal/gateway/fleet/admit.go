package fleet

import (
	"context"
	"errors"
	"net/http"
	"time"

	"corianderhitch/api/control"
	"corianderhitch/api/problem"
	"corianderhitch/internal/platform"
	"corianderhitch/internal/rpcconn"
	"corianderhitch/internal/telemetry"
)

const (
	// maxOwnersAsked is the number of owners asked before the gateway chooses a target
	// locally.
	maxOwnersAsked = 3
	// ownerCheckInterval is how often a gateway that waits for an owner's answer checks
	// that the owner is still alive.
	ownerCheckInterval = 250 * time.Millisecond
	// noTargetRetryAfter is when a caller should retry if no engine serves its model.
	noTargetRetryAfter = 2 * time.Second
)

// errOwnerNotAlive ends the wait for an owner that the member list no longer shows as alive.
var errOwnerNotAlive = errors.New("fleet: owner of the pool is no longer alive; the next host in rank is asked")

// Slot is the right to run one request on a target. Fleet.Release gives it back.
type Slot struct {
	Target      platform.Target
	Reason      string           // why the owner or the gateway chose the target
	finished    control.Finished // report to the owner when the slot is released
	owner       string           // address of the agent that granted it; empty if none did
	endInFlight func()
}

// Admit requests a slot on an engine of the gateway's region from the owner of the
// pool. If no owner answers, the gateway chooses the engine locally. A rejection is
// returned as a *problem.Error with ran=no. Release the slot with Release.
func (f *Fleet) Admit(ctx context.Context, args control.AdmitArgs) (*Slot, error) {
	args.Host, args.Region = f.options.Host, f.options.Region
	args.Incarnation = f.started.UnixNano()
	args.TraceParent = telemetry.TraceParent(ctx)
	args.Avoid = append(args.Avoid, f.avoided.names(time.Now())...)
	view := f.View()
	owners := view.rankedHosts(args.Model + "/" + args.Region)
	for _, host := range owners[:min(len(owners), maxOwnersAsked)] {
		address := view.agentAddress(host)
		if address == "" || f.isUnresponsive(purposeAdmission, address) {
			continue
		}
		reply, err := f.callOwner(ctx, host, address, args)
		if ctx.Err() != nil {
			return nil, callerLeft(ctx)
		}
		if err != nil {
			f.recordAdmitFailure(address, host, err)
			continue
		}
		return f.slotFromReply(args, address, reply)
	}
	return f.chooseLocally(args)
}

// recordAdmitFailure logs why the next host in rank is asked, and marks the agent
// unresponsive unless it answered. A host that answered that it does not own the
// pool is asked again next time: its member list was older or newer than ours.
func (f *Fleet) recordAdmitFailure(address, host string, err error) {
	f.options.Log.Debug("admission at the owner of the pool failed", "owner", host, "error", err)
	var remote *rpcconn.RemoteError
	if !errors.As(err, &remote) {
		f.markUnresponsive(purposeAdmission, address)
	}
}

// callOwner waits for the owner's answer as long as the member list shows the owner as
// alive.
func (f *Fleet) callOwner(ctx context.Context, host, address string, args control.AdmitArgs) (*control.AdmitReply, error) {
	callCtx, cancel := context.WithDeadlineCause(ctx, args.Deadline.Add(rpcGrace), rpcconn.ErrBroken)
	defer cancel()
	reply := new(control.AdmitReply)
	answered := make(chan error, 1)
	go func() { answered <- f.pool.Call(callCtx, address, "Scheduler.Admit", args, reply) }()
	check := time.NewTicker(ownerCheckInterval)
	defer check.Stop()
	for {
		select {
		case err := <-answered:
			if err != nil {
				f.releaseUnusedGrant(address, args)
				return nil, err
			}
			return reply, nil
		case <-check.C:
			if f.View().agentAddress(host) != address {
				cancel()
				<-answered
				f.releaseUnusedGrant(address, args)
				return nil, errOwnerNotAlive
			}
		}
	}
}

// releaseUnusedGrant releases the slot that an owner may grant after this gateway has
// stopped waiting for its answer.
func (f *Fleet) releaseUnusedGrant(owner string, args control.AdmitArgs) {
	f.queueFinished(owner, control.Finished{Ticket: args.Ticket, Account: args.Account, Model: args.Model, Class: args.Class})
}

func (f *Fleet) slotFromReply(args control.AdmitArgs, owner string, reply *control.AdmitReply) (*Slot, error) {
	if !reply.Granted {
		return nil, rejection(reply)
	}
	return f.newSlot(args, owner, reply.Target, reply.Reason), nil
}

func (f *Fleet) newSlot(args control.AdmitArgs, owner string, target platform.Target, reason string) *Slot {
	return &Slot{
		Target:      target,
		Reason:      reason,
		owner:       owner,
		endInFlight: f.inFlight.Add(target.Name, args.Fingerprint),
		finished: control.Finished{
			Ticket: args.Ticket, Target: target.Name, Account: args.Account, Model: args.Model, Class: args.Class,
		},
	}
}

// chooseLocally chooses a target without asking an owner, by the gateway's own
// requests in flight.
func (f *Fleet) chooseLocally(args control.AdmitArgs) (*Slot, error) {
	engines := f.View().Engines(args.Region, args.Model, args.Version, args.Adapter)
	target, ok := f.inFlight.PowerOfTwoChoices(Exclude(engines, args.Avoid))
	if !ok {
		return nil, problem.New(problem.KindNoTarget, http.StatusServiceUnavailable, problem.RanNo,
			"come back later; if it stays so, ask the operator which engines serve the model",
			"no engine serves model %s version %s now", args.Model, args.Version).WithRetryAfter(noTargetRetryAfter)
	}
	return f.newSlot(args, "", target, "own choice of the gateway"), nil
}

// AttachedSlot returns a slot on a target that already runs the generation. Neither
// this nor its release involves an owner.
func (f *Fleet) AttachedSlot(target platform.Target, fingerprint uint64) *Slot {
	return &Slot{Target: target, endInFlight: f.inFlight.Add(target.Name, fingerprint)}
}

// Ticket returns the slot's ticket; it is empty for an attached generation.
func (s *Slot) Ticket() string { return s.finished.Ticket }

// ChosenLocally reports whether no owner granted the slot.
func (s *Slot) ChosenLocally() bool { return s.owner == "" }

// Release gives a slot back. produced is the number of tokens generated; complete is
// false if the generation did not reach its end.
func (f *Fleet) Release(s *Slot, produced int, complete bool) {
	s.endInFlight()
	if s.owner == "" {
		return
	}
	s.finished.Produced, s.finished.Complete = produced, complete
	f.queueFinished(s.owner, s.finished)
}

// rejection returns the error for a reply that grants no slot.
func rejection(reply *control.AdmitReply) *problem.Error {
	kind := problem.Kind(reply.Kind)
	status, remedy := http.StatusServiceUnavailable, "come back after the named time with the same Idempotency-Key"
	switch kind {
	case problem.KindAccountLimited:
		status, remedy = http.StatusTooManyRequests, "slow down, or ask the operator for a higher limit"
	case problem.KindCrashSuspect:
		status, remedy = http.StatusUnprocessableEntity, "don't send this request again; report it to the operator"
	case problem.KindDeadline:
		status, remedy = http.StatusGatewayTimeout, "come back after the named time, or allow a later first token"
	case "":
		kind = problem.KindOverloaded
	}
	return problem.New(kind, status, problem.RanNo, remedy, "%s", reply.Detail).WithRetryAfter(reply.RetryAfter)
}

// callerLeft returns the error for a request whose caller left while it waited.
func callerLeft(ctx context.Context) *problem.Error {
	return problem.New(problem.KindDeadline, http.StatusGatewayTimeout, problem.RanNo,
		"send the request again", "the caller left before a target was found").WithCause(ctx.Err())
}
