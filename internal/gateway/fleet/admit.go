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
	// ownersAsked bounds the owners that are asked before the gateway chooses alone.
	ownersAsked = 3
	// ownerCheck is how often the owner's state is looked at while it holds a request.
	ownerCheck = 250 * time.Millisecond
	// noTargetRetry is when a caller should come back if no engine serves its model.
	noTargetRetry = 2 * time.Second
)

// errOwnerGone ends the wait for an owner that the member list no longer has.
var errOwnerGone = errors.New("fleet: owner of the pool is gone; ask the next")

// Place is a place on a target.
type Slot struct {
	Target platform.Target
	Reason string
	ticket control.Finished
	agent  string // owner that granted it; empty for an own choice
	end    func()
}

// Admit asks for a place on an engine of the gateway's region. It returns a
// *problem.Error with ran=no when it is refused. The place is given back by End.
func (f *Fleet) Admit(ctx context.Context, args control.AdmitArgs) (*Slot, error) {
	args.Host, args.Region = f.options.Host, f.options.Region
	args.Incarnation = f.started.UnixNano()
	args.TraceParent = telemetry.TraceParent(ctx)
	args.Avoid = append(args.Avoid, f.avoid.names(time.Now())...)
	view := f.View()
	owners := view.rankedHosts(args.Model + "/" + args.Region)
	for _, host := range owners[:min(len(owners), ownersAsked)] {
		address := view.agentAddress(host)
		if address == "" || f.isCut(forAdmission, address) {
			continue
		}
		reply, err := f.ask(ctx, host, address, args)
		if ctx.Err() != nil {
			return nil, callerGone(ctx)
		}
		if err != nil {
			f.passedOver(address, host, err)
			continue
		}
		return f.granted(args, address, reply)
	}
	return f.choose(args)
}

// passedOver notes why the next host in rank is asked. One that answered that it
// does not own the pool is asked again next time: its view was older or newer.
func (f *Fleet) passedOver(address, host string, err error) {
	f.options.Log.Debug("owner of the pool gave no place", "owner", host, "error", err)
	var answered *rpcconn.RemoteError
	if !errors.As(err, &answered) {
		f.cut(forAdmission, address)
	}
}

// ask waits for the owner's answer while the member list has it alive.
func (f *Fleet) ask(ctx context.Context, host, address string, args control.AdmitArgs) (*control.AdmitReply, error) {
	callCtx, cancel := context.WithDeadlineCause(ctx, args.Deadline.Add(pollGrace), rpcconn.ErrBroken)
	defer cancel()
	reply := new(control.AdmitReply)
	answered := make(chan error, 1)
	go func() { answered <- f.pool.Call(callCtx, address, "Scheduler.Admit", args, reply) }()
	check := time.NewTicker(ownerCheck)
	defer check.Stop()
	for {
		select {
		case err := <-answered:
			if err != nil {
				f.giveBack(address, args)
				return nil, err
			}
			return reply, nil
		case <-check.C:
			if f.View().agentAddress(host) != address {
				cancel()
				<-answered
				f.giveBack(address, args)
				return nil, errOwnerGone
			}
		}
	}
}

// giveBack frees a place that an owner may grant although nobody waits for it.
func (f *Fleet) giveBack(agent string, args control.AdmitArgs) {
	f.finish(agent, control.Finished{Ticket: args.Ticket, Account: args.Account, Model: args.Model, Class: args.Class})
}

func (f *Fleet) granted(args control.AdmitArgs, agent string, reply *control.AdmitReply) (*Slot, error) {
	if !reply.Granted {
		return nil, refusal(reply)
	}
	return f.place(args, agent, reply.Target, reply.Reason), nil
}

func (f *Fleet) place(args control.AdmitArgs, agent string, target platform.Target, reason string) *Slot {
	return &Slot{
		Target: target,
		Reason: reason,
		agent:  agent,
		end:    f.inFlight.Add(target.Name, args.Fingerprint),
		ticket: control.Finished{
			Ticket: args.Ticket, Target: target.Name, Account: args.Account, Model: args.Model, Class: args.Class,
		},
	}
}

// choose picks a target without an owner.
func (f *Fleet) choose(args control.AdmitArgs) (*Slot, error) {
	engines := f.View().Engines(args.Region, args.Model, args.Version, args.Adapter)
	target, ok := f.inFlight.PowerOfTwoChoices(Exclude(engines, args.Avoid))
	if !ok {
		return nil, problem.New(problem.KindNoTarget, http.StatusServiceUnavailable, problem.RanNo,
			"come back later; if it stays so, ask the operator which engines serve the model",
			"no engine serves model %s version %s now", args.Model, args.Version).WithRetryAfter(noTargetRetry)
	}
	return f.place(args, "", target, "own choice of the gateway"), nil
}

// Attached returns a place on a target that runs the generation already. No
// owner is asked or told.
func (f *Fleet) AttachedSlot(target platform.Target, fingerprint uint64) *Slot {
	return &Slot{Target: target, end: f.inFlight.Add(target.Name, fingerprint)}
}

// Ticket returns the place's ticket; it is empty for an attached generation.
func (p *Slot) Ticket() string { return p.ticket.Ticket }

// OwnChoice tells whether the gateway chose the target without an owner.
func (p *Slot) ChosenLocally() bool { return p.agent == "" }

// End gives a place back. Complete is false if the generation was cut.
func (f *Fleet) Release(p *Slot, produced int, complete bool) {
	p.end()
	if p.agent == "" {
		return
	}
	p.ticket.Produced, p.ticket.Complete = produced, complete
	f.finish(p.agent, p.ticket)
}

func refusal(reply *control.AdmitReply) *problem.Error {
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

func callerGone(ctx context.Context) *problem.Error {
	return problem.New(problem.KindDeadline, http.StatusGatewayTimeout, problem.RanNo,
		"send the request again", "the caller left before a target was found").WithCause(ctx.Err())
}
