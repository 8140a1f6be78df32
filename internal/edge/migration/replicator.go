package migration

import (
	"context"
	"time"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/placement"
	"corianderhitch/internal/edge/policy"
	"corianderhitch/internal/edge/streaming"
	"corianderhitch/internal/wait"
)

const (
	// keepPeriod is how often runs without a copy are looked at. A run that its
	// engine takes down within it is lost; a shorter one costs questions to the hub.
	keepPeriod = time.Second
	// watchPeriod is how often silent engines are looked for.
	watchPeriod = 250 * time.Millisecond
	// maxSilence is after how long without events a run with a copy is continued
	// there. Events come several times within the usual objective of 180 ms; callers
	// stay for 2 s or more.
	maxSilence = time.Second
	// usualHandleLifetime is how long an engine keeps a copy if it does not say.
	usualHandleLifetime = 5 * time.Second
	// keepRemaining is the output that must be expected for a copy to be worth its
	// transfer, in tokens: about two seconds.
	keepRemaining = 200
	// fullAgain is how much fuller than the limit an engine may become before it
	// loses the copies that it holds, as a share of its memory.
	fullAgain = 0.15
)

// Keeper keeps copies of runs at other engines while there is memory to spare: an
// engine that ends without notice takes the others with it, and one that leaves
// has less to copy.
type Replicator struct {
	Engines  edge.EngineClient
	Inflight *inflight.Table
	Runs     func() []*streaming.Run
	// Choose finds an engine with room and counts the copy's load there.
	Choose func(ctx context.Context, service *policy.Service, need placement.Requirements, own inflight.Load, tried map[string]bool) streaming.Placement
	// Leaves tells whether a target leaves.
	IsLeaving func(target string) bool
	// Observe counts the outcome of each copy, for metrics.
	Observe func(outcome string)
	// Limit is the part of an engine's memory that may be expected in use with a
	// copy; 0 keeps none.
	MaxMemoryShare float64
}

// Run keeps copies until ctx ends.
func (k *Replicator) Run(ctx context.Context) {
	if k.MaxMemoryShare <= 0 {
		return
	}
	go k.watch(ctx)
	for ctx.Err() == nil {
		wait.For(ctx, keepPeriod)
		k.round(ctx)
	}
}

// watch looks for runs whose engine has fallen silent.
func (k *Replicator) watch(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, watchPeriod)
		for _, r := range k.Runs() {
			if c := r.Replica(); c != nil && r.SinceLastEvent() > maxSilence {
				r.FailOver(c)
			}
		}
	}
}

// round looks after each run once, one after the other, so that copies do not
// crowd the links. It ends when no engine has memory to spare.
func (k *Replicator) round(ctx context.Context) {
	for _, r := range k.Runs() {
		if ctx.Err() != nil || !r.CopyLock.TryLock() {
			continue // it is being moved
		}
		more := k.keep(ctx, r)
		r.CopyLock.Unlock()
		if !more {
			return
		}
	}
}

// keep makes, renews or gives up the copy of a run. It returns false if no engine
// had memory to spare.
func (k *Replicator) keep(ctx context.Context, r *streaming.Run) bool {
	engine := r.Service().Engine
	c := r.Replica()
	switch {
	case c == nil && engine.SupportsMigration && r.RemainingTokens() >= keepRemaining && r.HeldTokens() > 0:
		return k.begin(ctx, r)
	case c == nil:
	case k.spent(c, engine):
		k.Observe("given_up")
		r.Log().Info("backup: copy is given up", "dest", c.Dest.ID, "load_tokens", k.Inflight.TotalLoad(c.Dest.Key()).Tokens, "leaves", k.IsLeaving(c.Dest.Key()))
		r.DiscardReplica(c)
	case bootclock.Since(c.CopiedAt) > lifetime(engine)/2:
		k.renew(ctx, c, r)
	}
	return true
}

// spent tells whether the copy is of no use, or its memory is needed.
func (k *Replicator) spent(c *streaming.Replica, engine *policy.Engine) bool {
	full := (k.MaxMemoryShare + fullAgain) * float64(engine.MemoryTokens)
	return k.IsLeaving(c.Dest.Key()) || float64(k.Inflight.TotalLoad(c.Dest.Key()).Tokens) > full
}

func lifetime(engine *policy.Engine) time.Duration {
	if engine.HandleLifetime > 0 {
		return engine.HandleLifetime
	}
	return usualHandleLifetime
}

// begin makes the first copy of a run.
func (k *Replicator) begin(ctx context.Context, r *streaming.Run) bool {
	source := r.Target()
	if source == nil || k.IsLeaving(source.Key()) {
		return true
	}
	held := r.HeldTokens()
	load := inflight.Load{Runs: 1, Tokens: held, Held: held}
	need := placement.Requirements{Tokens: held, Domain: source.Domain, Limit: k.MaxMemoryShare, Affinity: source.Key()}
	dest := k.Choose(ctx, r.Service(), need, load, map[string]bool{source.Key(): true}).Target
	if dest == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	_, first := r.Replicate(ctx, source, dest, load)
	k.Observe(first.Result.String())
	r.Log().Info("backup: memory copied", "result", first.Result.String(), "source", source.ID, "dest", dest.ID, "held_tokens", held, "error", first.ErrorText())
	return true
}

// renew copies what is new, before the engine drops the copy for its age.
func (k *Replicator) renew(ctx context.Context, c *streaming.Replica, r *streaming.Run) {
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	next := k.Engines.Move(ctx, c.Source.Address, r.ID(), c.Dest.Address, false)
	switch next.Result {
	case edge.MoveCopied:
		c.CopiedAt = bootclock.Now()
		return
	case edge.MoveUnknown, edge.MoveBusy:
		return // the engine may be dying: the copy is what the run will need
	}
	k.Observe("renewal_" + next.Result.String())
	r.Log().Info("backup: copy cannot be renewed", "result", next.Result.String(), "dest", c.Dest.ID, "error", next.ErrorText())
	r.DiscardReplica(c)
}
