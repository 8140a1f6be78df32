package migration

import (
	"context"
	"time"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/placement"
	"corianderhitch/internal/edge/policy"
	"corianderhitch/internal/edge/stall"
	"corianderhitch/internal/edge/streaming"
	"corianderhitch/internal/wait"
)

const (
	// replicationInterval is how often runs without a replica are considered. A run
	// whose engine crashes before that is lost; a shorter interval costs more placement
	// calls to the hub.
	replicationInterval = time.Second
	// silenceCheckInterval is how often runs at silent engines are looked for.
	silenceCheckInterval = 250 * time.Millisecond
	// silenceTimeout is how long a run may go without events before its engine
	// counts as silent and the run continues from its replica. Events normally arrive several times
	// within the usual pause objective of 180 ms; callers wait for at least 2 s.
	silenceTimeout = time.Second
	// defaultHandleLifetime is how long an engine is assumed to keep an unused
	// replica if the configuration does not say.
	defaultHandleLifetime = 5 * time.Second
	// minRemainingForReplica is the expected remaining output, in tokens, below which
	// a replica is not worth its copy: about two seconds of output.
	minRemainingForReplica = 200
	// discardMargin is by how much the expected memory use of an engine may exceed
	// MaxMemoryShare before its replicas are discarded, as a share of its memory.
	discardMargin = 0.15
)

// Replicator keeps replicas of runs at other engines while there is memory to
// spare. A run with a replica survives the crash of its engine, and takes less to
// copy when its engine leaves.
type Replicator struct {
	Engines  edge.EngineClient
	Inflight *inflight.Table
	Runs     func() []*streaming.Run
	// ReserveEngine chooses an engine with room and counts the replica's load there.
	ReserveEngine func(ctx context.Context, service *policy.Service, need placement.Requirements, load inflight.Load, tried map[string]bool) streaming.Placement
	// IsLeaving reports whether a target is leaving.
	IsLeaving func(target string) bool
	// IsEvacuated reports whether the failure domain of a target is evacuated, so that no run may
	// continue there.
	IsEvacuated func(target string) bool
	// Stalls tells when this process was stalled, so that engines only seem silent.
	Stalls *stall.Detector
	// Observe counts the outcome of each replication in the metrics.
	Observe func(outcome string)
	// MaxMemoryShare is the share of an engine's memory that may be expected in use
	// with a replica; 0 disables replication.
	MaxMemoryShare float64
}

// Run maintains replicas and continues the runs of silent engines until ctx ends.
func (r *Replicator) Run(ctx context.Context) {
	go r.leaveSilentEngines(ctx)
	if r.MaxMemoryShare <= 0 {
		return
	}
	for ctx.Err() == nil {
		wait.For(ctx, replicationInterval)
		r.maintainAll(ctx)
	}
}

// leaveSilentEngines continues the runs whose engine sends no events, from their replicas or,
// if they are resumable, from their prompts, until ctx ends.
func (r *Replicator) leaveSilentEngines(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, silenceCheckInterval)
		if now := bootclock.Now(); r.Stalls.Affected(now.Add(-silenceTimeout), now) {
			continue // events may wait unread
		}
		for _, run := range r.Runs() {
			if run.SinceLastEvent() <= silenceTimeout {
				continue
			}
			run.LeaveSilentEngine()
		}
	}
}

// maintainAll maintains the replica of each run once, one after the other, so that
// copies do not compete for the links. It stops early when no engine has memory to spare.
func (r *Replicator) maintainAll(ctx context.Context) {
	for _, run := range r.Runs() {
		if ctx.Err() != nil || !run.CopyLock.TryLock() {
			continue // it is being moved
		}
		more := r.maintain(ctx, run)
		run.CopyLock.Unlock()
		if !more {
			return
		}
	}
}

// maintain creates, refreshes or discards the replica of a run. A resumable run gets
// none: after a crash its prompt is read again, which costs a fraction of a second of one
// engine, while a replica occupies memory of a second engine as long as the run lasts. It
// returns false if no engine had memory to spare. Callers hold run.CopyLock.
func (r *Replicator) maintain(ctx context.Context, run *streaming.Run) bool {
	engine := run.Service().Engine
	replica := run.Replica()
	switch {
	case replica == nil && engine.SupportsMigration && worthReplica(run):
		return r.create(ctx, run)
	case replica == nil:
	case r.IsLeaving(replica.Source.Key()): // the Mover keeps it
	case r.isObsolete(replica, engine):
		r.Observe("given_up")
		run.Log().Info("backup: replica discarded", "dest", replica.Dest.ID, "load_tokens", r.Inflight.TotalLoad(replica.Dest.Key()).Tokens, "leaves", r.IsLeaving(replica.Dest.Key()), "evacuated", r.IsEvacuated(replica.Dest.Key()))
		discarded := run.DiscardReplica(replica)
		if discarded && r.IsEvacuated(replica.Dest.Key()) && worthReplica(run) {
			return r.create(ctx, run)
		}
	case bootclock.Since(replica.CopiedAt) > handleLifetime(engine)/2:
		r.refresh(ctx, replica, run)
	}
	return true
}

// worthReplica reports whether a run is to get a replica. One that the end of this process
// will abort has no use for it.
func worthReplica(run *streaming.Run) bool {
	return !run.Resumable() && run.RemainingTokens() >= minRemainingForReplica && run.HeldTokens() > 0 && !run.OutlastsProcess()
}

// isObsolete reports whether the replica's engine is leaving, is in an evacuated failure domain or
// needs its memory for runs.
func (r *Replicator) isObsolete(replica *streaming.Replica, engine *policy.Engine) bool {
	maxTokens := (r.MaxMemoryShare + discardMargin) * float64(engine.MemoryTokens)
	return r.IsLeaving(replica.Dest.Key()) || r.IsEvacuated(replica.Dest.Key()) || float64(r.Inflight.TotalLoad(replica.Dest.Key()).Tokens) > maxTokens
}

func handleLifetime(engine *policy.Engine) time.Duration {
	if engine.HandleLifetime > 0 {
		return engine.HandleLifetime
	}
	return defaultHandleLifetime
}

// create makes the first copy of a run. It returns false if no engine had memory to
// spare.
func (r *Replicator) create(ctx context.Context, run *streaming.Run) bool {
	source := run.Target()
	if source == nil || r.IsLeaving(source.Key()) {
		return true
	}
	held := run.HeldTokens()
	load := inflight.Load{Runs: 1, Tokens: held, Held: held}
	need := placement.Requirements{Tokens: held, Domain: source.Domain, Limit: r.MaxMemoryShare, Affinity: source.Key(), Regions: run.Regions()}
	dest := r.ReserveEngine(ctx, run.Service(), need, load, map[string]bool{source.Key(): true}).Target
	if dest == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	_, reply := run.Replicate(ctx, source, dest, load, nil)
	r.Observe(reply.Result.String())
	run.Log().Info("backup: replication finished", "result", reply.Result.String(), "source", source.ID, "dest", dest.ID, "copy", reply.Handle, "held_tokens", held, "error", reply.ErrorText())
	return true
}

// refresh copies what the run has added, before the engine drops the replica for its
// age.
func (r *Replicator) refresh(ctx context.Context, replica *streaming.Replica, run *streaming.Run) {
	reply := refreshReplica(ctx, r.Engines, replica, run)
	switch reply.Result {
	case edge.MoveCopied, edge.MoveUnknown, edge.MoveBusy, edge.MoveRejected:
		return // an engine that does not answer may be failing, and then the run needs its replica
	}
	r.Observe("renewal_" + reply.Result.String())
	run.Log().Info("backup: replica cannot be refreshed", "result", reply.Result.String(), "dest", replica.Dest.ID, "error", reply.ErrorText())
	run.DiscardReplica(replica)
}

// refreshReplica copies what the run has added to its replica. Callers hold run.CopyLock.
func refreshReplica(ctx context.Context, engines edge.EngineClient, replica *streaming.Replica, run *streaming.Run) edge.MoveReply {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	reply := engines.Refresh(ctx, replica.Source, run.ID(), replica.Dest, replica.Handle)
	if reply.Result == edge.MoveCopied {
		run.NoteCopied(replica)
	}
	return reply
}
