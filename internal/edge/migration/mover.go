package migration

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/placement"
	"corianderhitch/internal/edge/policy"
	"corianderhitch/internal/edge/streaming"
	"corianderhitch/internal/edge/targets"
	"corianderhitch/internal/wait"
)

const (
	// reviewInterval is how often runs are looked at again that were expected to end before
	// their engine exits.
	reviewInterval = 200 * time.Millisecond
	// roomRetryInterval is how often a destination is looked for while all engines
	// are full: runs end on them many times a second.
	roomRetryInterval = 50 * time.Millisecond
	// copyTimeout bounds a copy. It allows for the transfer of a whole engine's
	// memory between domains.
	copyTimeout = 2500 * time.Millisecond
	// streamCloseGrace is how long the source may keep the stream of a stopped run
	// open after the final copy.
	streamCloseGrace = 120 * time.Millisecond
	// noticeSpread is within how long after a leaving notice those of engines that are taken away
	// together arrive, such as all of a failure domain. No run is stopped for a destination before.
	noticeSpread = 100 * time.Millisecond
	// maxIdleCopyTime is how long the copy of a few tokens takes at most on an idle
	// link: calls between domains and some events of other requests.
	maxIdleCopyTime = 60 * time.Millisecond
)

// Outcomes of a move in addition to those of edge.MoveResult.
const (
	runEnded          = "run_ended"
	runElsewhere      = "run_elsewhere" // the run has left the source or ended, or may do so since the source is silent
	tooLate           = "too_late"
	destinationLeaves = "destination_leaves" // or its failure domain is evacuated
	destinationPauses = "destination_pauses" // it wants a pause; the run has a replica there
	onlyReplicated    = "secured"            // no final copy; the run continues from its replica when the source exits
	finalCopyFailed   = "final_copy_failed"  // the run stays at the source, or it is not known that it has stopped
)

// Mover moves the runs of this host off leaving engines.
type Mover struct {
	Log      *slog.Logger
	Host     string
	Engines  edge.EngineClient
	Inflight *inflight.Table
	// ReserveEngine chooses an engine with room and counts the run's load there.
	ReserveEngine func(ctx context.Context, service *policy.Service, need placement.Requirements, load inflight.Load, tried map[string]bool) streaming.Placement
	// IsLeaving reports whether a target is leaving.
	IsLeaving func(target string) bool
	// IsEvacuated reports whether the failure domain of a target is evacuated, so that no run may
	// move there.
	IsEvacuated func(target string) bool
	// WantsPause reports whether a target wants a pause from any host.
	WantsPause func(target string) bool
	// Observe records the outcome and duration of each move in the metrics.
	Observe func(outcome string, took time.Duration)
}

// Evacuate moves runs, one after the other, off an engine that gave its leaving notice at
// noticedAt. Runs that are expected to end before the engine exits stay, and are looked at
// again until it does: an estimate may be too low. So are runs whose final copy failed, runs that
// another engine may take over because the source is silent, and those whose destinations want a
// pause. Runs that only have a replica keep it until the engine exits, which may be much later than
// assumed. It returns when all others have been tried or have ended, or when the engine is about to
// exit, and no run has a replica.
func (m *Mover) Evacuate(ctx context.Context, source *targets.Target, noticedAt bootclock.Instant, runs []*streaming.Run) {
	if len(runs) == 0 || !runs[0].Service().Engine.SupportsMigration {
		return
	}
	begun := false
	engine := runs[0].Service().Engine
	var secured []*streaming.Run
	hasLeft := func(r *streaming.Run) bool {
		t := r.Target()
		return t == nil || t.Key() != source.Key()
	}
	for {
		order := EvacuationOrder(describe(runs), bootclock.Since(noticedAt))
		if len(order) > 0 && !begun {
			begun = true
			m.awaitTurn(ctx, source, noticedAt, engine, len(order))
		}
		total := m.Inflight.TotalLoad(source.Key())
		domainPenalty := OtherDomainPenalty(engine, total.Held, total.Runs)
		settled := make(map[*streaming.Run]bool)
		for _, i := range order {
			outcome := m.move(ctx, source, noticedAt, domainPenalty, runs[i])
			hasReplica := runs[i].Replica() != nil
			settled[runs[i]] = isSettled(outcome, hasReplica)
			if hasReplica && needsReplica(outcome) && !slices.Contains(secured, runs[i]) {
				secured = append(secured, runs[i])
			}
		}
		runs = slices.DeleteFunc(runs, func(r *streaming.Run) bool { return settled[r] || hasLeft(r) })
		secured = slices.DeleteFunc(secured, hasLeft)
		for _, r := range secured {
			m.keepReplica(ctx, source, domainPenalty, r)
		}
		if bootclock.Since(noticedAt) > assumedNoticePeriod {
			secured, runs = append(secured, runs...), nil
		}
		if len(runs)+len(secured) == 0 || ctx.Err() != nil {
			return
		}
		wait.For(ctx, reviewInterval)
	}
}

// isSettled reports whether a run need not be moved again after an outcome.
func isSettled(outcome string, hasReplica bool) bool {
	switch outcome {
	case runElsewhere, destinationPauses, finalCopyFailed:
		return false
	case onlyReplicated:
		return hasReplica
	}
	return true
}

// needsReplica reports whether a run with a replica that stays at its engine after an outcome continues from that.
func needsReplica(outcome string) bool {
	switch outcome {
	case onlyReplicated, tooLate, destinationPauses, finalCopyFailed:
		return true
	}
	return false
}

// takesRuns reports whether a run may continue from its replica at an engine.
func (m *Mover) takesRuns(dest *targets.Target) bool {
	return !m.IsLeaving(dest.Key()) && !m.IsEvacuated(dest.Key())
}

// mayStop reports whether a run may still be stopped for its final copy.
func (m *Mover) mayStop(noticedAt bootclock.Instant, r *streaming.Run) bool {
	return !r.ProcessDrains() && MayStop(bootclock.Since(noticedAt))
}

// keepReplica refreshes the replica of a run that stays at its leaving engine, and replaces it
// if the replica's engine leaves as well or does not take the copy.
func (m *Mover) keepReplica(ctx context.Context, source *targets.Target, domainPenalty float64, r *streaming.Run) {
	r.CopyLock.Lock()
	defer r.CopyLock.Unlock()
	replica := r.Replica()
	if replica == nil || replica.Source.Key() != source.Key() {
		return
	}
	if m.takesRuns(replica.Dest) {
		if bootclock.Since(replica.CopiedAt) <= handleLifetime(r.Service().Engine)/2 {
			return
		}
		if refreshReplica(ctx, m.Engines, replica, r).Result != edge.MoveNoRoom {
			return
		}
	}
	load, need := moveNeeds(source, domainPenalty, r)
	dest := m.ReserveEngine(ctx, r.Service(), need, load, map[string]bool{source.Key(): true, replica.Dest.Key(): true}).Target
	if dest == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	next, reply := r.Replicate(ctx, source, dest, load, replica)
	r.Log().Info("migration: replica of a run at a leaving engine copied elsewhere", "result", reply.Result.String(), "replaced", next != nil,
		"source", source.ID, "from", replica.Dest.ID, "dest", dest.ID, "error", reply.ErrorText())
}

// moveNeeds returns the load of a run at an engine that it moves to, and what it needs there.
func moveNeeds(source *targets.Target, domainPenalty float64, r *streaming.Run) (inflight.Load, placement.Requirements) {
	held := r.HeldTokens()
	load := inflight.Load{Runs: 1, Tokens: max(r.ExpectedTokens(), held), Held: held}
	return load, placement.Requirements{Tokens: load.Tokens, Output: load.Tokens - held, Domain: source.Domain, Move: true, Far: domainPenalty, Affinity: source.Key(), Regions: r.Regions()}
}

func describe(runs []*streaming.Run) []PlannedRun {
	planned := make([]PlannedRun, len(runs))
	for i, r := range runs {
		planned[i] = PlannedRun{Held: r.HeldTokens(), Remaining: r.RemainingTokens(), Survives: r.Replica() != nil || r.Resumable()}
	}
	return planned
}

// awaitTurn waits until this host may begin to copy from a leaving engine.
func (m *Mover) awaitTurn(ctx context.Context, source *targets.Target, noticedAt bootclock.Instant, engine *policy.Engine, runs int) {
	loads := m.Inflight.LoadByHost(source.Key())
	delay := StartDelay(engine, source.Key(), m.Host, loads)
	m.Log.Info("migration: moving runs off an engine", "source", source.ID, "runs", runs, "other_hosts", len(loads), "turn_ms", delay.Milliseconds())
	wait.For(ctx, noticedAt.Add(delay).Sub(bootclock.Now()))
}

// move tries to move one run to another engine, and records and returns the outcome.
func (m *Mover) move(ctx context.Context, source *targets.Target, noticedAt bootclock.Instant, domainPenalty float64, r *streaming.Run) string {
	ctx, span := edge.Tracer.Start(ctx, "move", trace.WithAttributes(attribute.String("request.id", r.ID()), attribute.String("source", source.ID)))
	defer span.End()
	started := bootclock.Now()
	r.CopyLock.Lock()
	defer r.CopyLock.Unlock()
	outcome, attempts := m.moveToAny(ctx, source, noticedAt, domainPenalty, r)
	took := bootclock.Since(started)
	m.Observe(outcome, took)
	r.Log().Info("migration: move finished", "outcome", outcome, "source", source.ID, "tried", attempts, "held_tokens", r.HeldTokens(),
		"since_notice_ms", bootclock.Since(noticedAt).Milliseconds(), "took_ms", took.Milliseconds())
	return outcome
}

// moveToAny moves a run to its replica's engine if it has one, and otherwise tries
// destinations until one takes the run.
func (m *Mover) moveToAny(ctx context.Context, source *targets.Target, noticedAt bootclock.Instant, domainPenalty float64, r *streaming.Run) (outcome string, attempts int) {
	service := r.Service()
	tried := map[string]bool{source.Key(): true}
	if r.LeavesSilentEngine() {
		return runElsewhere, 0
	}
	if replica := r.Replica(); replica != nil && replica.Source.Key() == source.Key() && m.takesRuns(replica.Dest) {
		attempts++
		if outcome := m.switchTo(ctx, noticedAt, replica, r); outcome != destinationLeaves && outcome != destinationPauses {
			return outcome, attempts
		}
		tried[replica.Dest.Key()] = true
	}
	for {
		select {
		case <-r.Done():
			return runEnded, attempts
		case <-ctx.Done():
			return tooLate, attempts
		default:
		}
		if !FinishesInTime(service.Engine, r.HeldTokens(), bootclock.Since(noticedAt)) {
			return tooLate, attempts
		}
		load, need := moveNeeds(source, domainPenalty, r)
		dest := m.ReserveEngine(ctx, service, need, load, tried).Target
		if m.awaitsPause(source, r) && (dest == nil || m.WantsPause(dest.Key())) {
			if dest != nil {
				m.Inflight.Remove(dest.Key(), load)
			}
			return destinationPauses, attempts
		}
		if dest == nil {
			m.awaitRoom(ctx)
			tried = map[string]bool{source.Key(): true}
			continue
		}
		tried[dest.Key()] = true
		attempts++
		switch outcome := m.moveTo(ctx, source, noticedAt, dest, load, r); outcome {
		case edge.MoveNoRoom.String(), destinationLeaves, destinationPauses:
		default:
			return outcome, attempts
		}
	}
}

// awaitsPause reports whether a run has a replica of the source at an engine that wants a pause.
func (m *Mover) awaitsPause(source *targets.Target, r *streaming.Run) bool {
	replica := r.Replica()
	return replica != nil && replica.Source.Key() == source.Key() && m.takesRuns(replica.Dest) && m.WantsPause(replica.Dest.Key())
}

// awaitRoom waits until runs have ended or the loads of other hosts may have
// changed.
func (m *Mover) awaitRoom(ctx context.Context) {
	timer := time.NewTimer(roomRetryInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-m.Inflight.Changed():
	case <-ctx.Done():
	}
}

// moveTo moves a run to one destination, where load is already counted, and returns
// the outcome.
func (m *Mover) moveTo(ctx context.Context, source *targets.Target, noticedAt bootclock.Instant, dest *targets.Target, load inflight.Load, r *streaming.Run) string {
	copying, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	replica, first := r.Replicate(copying, source, dest, load, r.Replica())
	switch {
	case replica != nil:
		return m.switchTo(ctx, noticedAt, replica, r)
	case first.Result == edge.MoveCopied:
		return runElsewhere
	}
	m.logFailedCopy(r, source, dest, "first", first)
	return first.Result.String()
}

// switchTo makes the final copy, after which the run continues at its replica's
// engine, and returns the outcome. No final copy is made while this process drains, see
// BeginFinalCopy, nor shortly before the engine may exit: the run then continues from its
// replica when that happens.
func (m *Mover) switchTo(ctx context.Context, noticedAt bootclock.Instant, replica *streaming.Replica, r *streaming.Run) string {
	source, dest := replica.Source, replica.Dest
	wait.For(ctx, noticedAt.Add(noticeSpread).Sub(bootclock.Now()))
	if m.WantsPause(dest.Key()) {
		return destinationPauses
	}
	idle := m.mayStop(noticedAt, r) && m.awaitIdleLink(ctx, replica, r)
	if m.IsEvacuated(dest.Key()) {
		return destinationLeaves
	}
	if !idle {
		return onlyReplicated
	}
	if m.IsLeaving(dest.Key()) {
		return destinationLeaves
	}
	if m.WantsPause(dest.Key()) {
		return destinationPauses
	}
	if !m.mayStop(noticedAt, r) || !r.BeginFinalCopy(replica) {
		return onlyReplicated
	}
	started, remaining := bootclock.Now(), r.RemainingTokens()
	copying, cancel := context.WithTimeout(ctx, copyTimeout) // of its own: the outcome says which engines hold the memory
	defer cancel()
	final := m.Engines.Move(copying, source, r.ID(), dest, true)
	r.EndFinalCopy(replica, final, streamCloseGrace)
	r.Log().Info("migration: final copy", "result", final.Result.String(), "source", source.ID, "dest", dest.ID,
		"took_ms", bootclock.Since(started).Milliseconds(), "events", final.Events, "remaining_tokens", remaining,
		"error", final.ErrorText())
	if !r.HasMoved() {
		return finalCopyFailed
	}
	return "final_" + final.Result.String()
}

func (m *Mover) logFailedCopy(r *streaming.Run, source, dest *targets.Target, which string, reply edge.MoveReply) {
	r.Log().Info("migration: copy failed", "which", which, "result", reply.Result.String(), "source", source.ID, "dest", dest.ID,
		"error", reply.ErrorText())
}

// awaitIdleLink repeatedly copies what the run has added since the last copy, until
// such a copy is fast. That shows that no other run's copy is ahead of it on the
// links: a final copy that waits behind another would stall the stream. It returns
// false if the run cannot be copied any more. If the engine exits first, the run
// continues from its replica, which pauses the stream for less time than such a wait.
func (m *Mover) awaitIdleLink(ctx context.Context, replica *streaming.Replica, r *streaming.Run) bool {
	source, dest := replica.Source, replica.Dest
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	for {
		started := bootclock.Now()
		reply := m.Engines.Refresh(ctx, source, r.ID(), dest, replica.Handle)
		if reply.Result != edge.MoveCopied {
			m.logFailedCopy(r, source, dest, "next", reply)
			return false
		}
		r.NoteCopied(replica)
		if bootclock.Since(started) < maxIdleCopyTime {
			return true
		}
	}
}
