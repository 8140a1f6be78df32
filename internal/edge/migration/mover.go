package migration

import (
	"context"
	"log/slog"
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
	// roomPause is how often room for a run is looked for while all engines are
	// full: runs end on them many times a second.
	roomPause = 50 * time.Millisecond
	// moveTimeout bounds a copy: the transfer of a whole engine between domains.
	moveTimeout = 2500 * time.Millisecond
	// cutAfter is how long a stopped run's stream may stay open at the source
	// after the final copy.
	cutAfter = 120 * time.Millisecond
	// idleLink is how long the copy of a few tokens takes at most when nothing is
	// ahead of it: calls between domains and some events of other requests.
	idleLink = 60 * time.Millisecond
)

// Outcomes of a move beside those of edge.MoveResult.
const (
	runEnded     = "run_ended"
	runElsewhere = "run_elsewhere"
	tooLate      = "too_late"
	secured      = "secured" // the copy stands; the source ends before the final one
)

// Mover moves the runs of this host.
type Mover struct {
	Log      *slog.Logger
	Host     string
	Engines  edge.EngineClient
	Inflight *inflight.Table
	// Choose finds an engine with room and counts the run's load there.
	Choose func(ctx context.Context, service *policy.Service, need placement.Requirements, own inflight.Load, tried map[string]bool) streaming.Placement
	// Leaves tells whether a target leaves.
	IsLeaving func(target string) bool
	// Observe counts the outcome of each move, for metrics.
	Observe func(outcome string, took time.Duration)
}

// Evacuate moves runs off an engine that leaves since the notice, one after the
// other. It returns when that is done.
func (m *Mover) Evacuate(ctx context.Context, source *targets.Target, noticed bootclock.Instant, runs []*streaming.Run) {
	sequences := make([]PlannedRun, len(runs))
	for i, r := range runs {
		sequences[i] = PlannedRun{Held: r.HeldTokens(), Remaining: r.RemainingTokens(), Replicated: r.Replica() != nil}
	}
	order := EvacuationOrder(sequences)
	if len(order) == 0 || !runs[order[0]].Service().Engine.SupportsMigration {
		return
	}
	others := m.Inflight.LoadByHost(source.Key())
	turn := StartDelay(runs[order[0]].Service().Engine, source.Key(), m.Host, others)
	m.Log.Info("migration: engine leaves", "source", source.ID, "runs", len(order), "other_hosts", len(others), "turn_ms", turn.Milliseconds())
	at := m.Inflight.TotalLoad(source.Key())
	far := OtherDomainPenalty(runs[order[0]].Service().Engine, at.Held, at.Runs)
	wait.For(ctx, noticed.Add(turn).Sub(bootclock.Now()))
	for _, i := range order {
		m.move(ctx, source, noticed, far, runs[i])
	}
}

// move takes one run to another engine.
func (m *Mover) move(ctx context.Context, source *targets.Target, noticed bootclock.Instant, far float64, r *streaming.Run) {
	ctx, span := edge.Tracer.Start(ctx, "move", trace.WithAttributes(attribute.String("request.id", r.ID()), attribute.String("source", source.ID)))
	defer span.End()
	started := bootclock.Now()
	r.CopyLock.Lock()
	defer r.CopyLock.Unlock()
	outcome, tried := m.tryAll(ctx, source, noticed, far, r)
	took := bootclock.Since(started)
	m.Observe(outcome, took)
	r.Log().Info("migration: run moved or not", "outcome", outcome, "source", source.ID, "tried", tried, "held_tokens", r.HeldTokens(),
		"since_notice_ms", bootclock.Since(noticed).Milliseconds(), "took_ms", took.Milliseconds())
}

// tryAll tries destinations until one takes the run.
func (m *Mover) tryAll(ctx context.Context, source *targets.Target, noticed bootclock.Instant, far float64, r *streaming.Run) (outcome string, tries int) {
	service := r.Service()
	tried := map[string]bool{source.Key(): true}
	if c := r.Replica(); c != nil && c.Source.Key() == source.Key() {
		if !m.IsLeaving(c.Dest.Key()) {
			return m.finish(ctx, c, r), 1
		}
		r.DiscardReplica(c)
	}
	for {
		select {
		case <-r.Done():
			return runEnded, tries
		case <-ctx.Done():
			return tooLate, tries
		default:
		}
		held := r.HeldTokens()
		if !FinishesInTime(service.Engine, held, bootclock.Since(noticed)) {
			return tooLate, tries
		}
		load := inflight.Load{Runs: 1, Tokens: max(r.ExpectedTokens(), held), Held: held}
		need := placement.Requirements{Tokens: load.Tokens, Output: load.Tokens - held, Domain: source.Domain, Move: true, Far: far, Affinity: source.Key()}
		dest := m.Choose(ctx, service, need, load, tried).Target
		if dest == nil {
			m.awaitRoom(ctx)
			tried = map[string]bool{source.Key(): true}
			continue
		}
		tried[dest.Key()] = true
		tries++
		if outcome := m.to(ctx, source, dest, load, r); outcome != edge.MoveNoRoom.String() {
			return outcome, tries
		}
	}
}

// awaitRoom waits until runs have ended or other hosts' loads may have changed.
func (m *Mover) awaitRoom(ctx context.Context) {
	timer := time.NewTimer(roomPause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-m.Inflight.Changed():
	case <-ctx.Done():
	}
}

// to copies a run to one destination, for which load is counted already, and
// returns how that ended.
func (m *Mover) to(ctx context.Context, source, dest *targets.Target, load inflight.Load, r *streaming.Run) string {
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	c, first := r.Replicate(ctx, source, dest, load)
	switch {
	case c != nil:
		return m.finish(ctx, c, r)
	case first.Result == edge.MoveCopied:
		return runElsewhere
	}
	m.logCopy(r, source, dest, "first", first)
	return first.Result.String()
}

// finish moves a run to where its copy is.
func (m *Mover) finish(ctx context.Context, c *streaming.Replica, r *streaming.Run) string {
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	source, dest := c.Source, c.Dest
	if !m.awaitLink(ctx, source, dest, r) || !r.BeginFinalCopy(c) {
		return secured
	}
	begun := bootclock.Now()
	last := m.Engines.Move(ctx, source.Address, r.ID(), dest.Address, true)
	r.EndFinalCopy(c, last, cutAfter)
	r.Log().Info("migration: final copy", "result", last.Result.String(), "source", source.ID, "dest", dest.ID,
		"took_ms", bootclock.Since(begun).Milliseconds(), "events", last.Events, "error", last.ErrorText())
	return "final_" + last.Result.String()
}

// logCopy logs a copy that was not made.
func (m *Mover) logCopy(r *streaming.Run, source, dest *targets.Target, which string, moved edge.MoveReply) {
	r.Log().Info("migration: copy not made", "which", which, "result", moved.Result.String(), "source", source.ID, "dest", dest.ID,
		"error", moved.ErrorText())
}

// awaitLink copies what is new until that goes fast, which shows that no other
// run's copy is ahead on the links: a final copy behind one would stall the
// stream. It returns false if the run cannot be copied any more. If the engine
// ends first, the run goes on from what was copied, which pauses it less.
func (m *Mover) awaitLink(ctx context.Context, source, dest *targets.Target, r *streaming.Run) bool {
	for {
		begun := bootclock.Now()
		delta := m.Engines.Move(ctx, source.Address, r.ID(), dest.Address, false)
		if delta.Result != edge.MoveCopied {
			m.logCopy(r, source, dest, "next", delta)
			return false
		}
		if bootclock.Since(begun) < idleLink {
			return true
		}
	}
}
