package migration

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/loadbook"
	"corianderhitch/internal/edge/placing"
	"corianderhitch/internal/edge/policy"
	"corianderhitch/internal/edge/streaming"
	"corianderhitch/internal/edge/targets"
)

const (
	// maxDestinations bounds the engines that are tried for one run.
	maxDestinations = 3
	// moveTimeout bounds a copy: the transfer of a whole engine between domains.
	moveTimeout = 2500 * time.Millisecond
	// cutAfter is how long a stopped run's stream may stay open at the source
	// after the final copy.
	cutAfter = 120 * time.Millisecond
)

// Mover moves the runs of this host.
type Mover struct {
	Log     *slog.Logger
	Engines edge.Engines
	Book    *loadbook.Book
	// Choose returns an engine with room, or nil.
	Choose func(service *policy.Service, need placing.Need, tried map[string]bool) *targets.Target
	// Notice is how long a leaving engine serves on; 0 for the usual.
	Notice time.Duration
	// Observe counts the outcome of each move, for metrics.
	Observe func(outcome string, took time.Duration)

	mu         sync.Mutex
	departures map[string]*departure // guarded by mu; by incarnation of the source
}

// departure is an engine that leaves, as all its runs share it.
type departure struct {
	noticed bootclock.Instant
	finalAt bootclock.Instant
}

// Evacuate moves runs off an engine that leaves. It returns at once.
func (m *Mover) Evacuate(ctx context.Context, source *targets.Target, runs []*streaming.Run) {
	sequences := make([]Sequence, len(runs))
	for i, r := range runs {
		sequences[i] = Sequence{Held: r.Held(), Remaining: r.Remaining()}
	}
	for _, i := range Order(sequences) {
		go m.move(ctx, source, runs[i])
	}
}

// move takes one run to another engine.
func (m *Mover) move(ctx context.Context, source *targets.Target, r *streaming.Run) {
	service := r.Service()
	if !service.Engine.CanMove {
		return
	}
	started := bootclock.Now()
	d := m.departure(source, service.Engine)
	tried := map[string]bool{source.Key(): true}
	for range maxDestinations {
		need := placing.Need{Tokens: max(r.Expected(), r.Held()), Domain: source.Zone, Move: true}
		dest := m.Choose(service, need, tried)
		if dest == nil {
			break
		}
		tried[dest.Key()] = true
		m.Book.Add(dest.Key(), 1, need.Tokens)
		outcome := m.to(ctx, source, dest, need.Tokens, r, d)
		if outcome != "copied" {
			m.Book.Add(dest.Key(), -1, -need.Tokens)
		}
		took := bootclock.Since(started)
		m.Observe(outcome, took)
		r.Log().Info("migration: run moved or not", "outcome", outcome, "source", source.ID, "dest", dest.ID,
			"held_tokens", r.Held(), "since_notice_ms", bootclock.Since(d.noticed).Milliseconds(), "took_ms", took.Milliseconds())
		if outcome != edge.MoveNoRoom.String() {
			return
		}
	}
	r.Log().Warn("migration: run stays on a leaving engine", "source", source.ID, "tried", len(tried)-1)
}

// to copies a run to one destination and returns how that ended.
func (m *Mover) to(ctx context.Context, source, dest *targets.Target, reserved int, r *streaming.Run, d *departure) string {
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	first := m.Engines.Move(ctx, source.Address, r.ID(), dest.Address, false)
	if first.Result != edge.MoveCopied {
		return first.Result.String()
	}
	if !m.waitForFinal(ctx, r, d) {
		m.release(source, r, first.Handle)
		return "run_ended"
	}
	f := r.BeginFinal(source, dest, reserved)
	if f == nil {
		m.release(source, r, first.Handle)
		return "run_elsewhere"
	}
	last := m.Engines.Move(ctx, source.Address, r.ID(), dest.Address, true)
	r.EndFinal(f, last)
	if last.Result == edge.MoveCopied {
		r.CutSource(f, cutAfter)
	} else if last.Result == edge.MoveNoRun {
		m.release(source, r, first.Handle)
	}
	return last.Result.String()
}

func (m *Mover) waitForFinal(ctx context.Context, r *streaming.Run, d *departure) bool {
	timer := time.NewTimer(max(0, d.finalAt.Sub(bootclock.Now())))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Ended():
		return false
	case <-ctx.Done():
		return false
	}
}

// release frees a copy that is not used; it holds memory at the destination.
func (m *Mover) release(source *targets.Target, r *streaming.Run, handle string) {
	ctx, cancel := context.WithTimeout(context.Background(), moveTimeout)
	defer cancel()
	if err := m.Engines.Release(ctx, source.Address, handle); err != nil {
		r.Log().Warn("migration: unused copy is left to expire", "source", source.ID, "copy", handle, "error", err.Error())
	}
}

// departure returns the engine's departure, which begins with its first run.
func (m *Mover) departure(source *targets.Target, engine *policy.Engine) *departure {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.departures == nil {
		m.departures = make(map[string]*departure)
	}
	key := source.Key()
	if d := m.departures[key]; d != nil {
		return d
	}
	for old, d := range m.departures {
		if bootclock.Since(d.noticed) > time.Minute {
			delete(m.departures, old)
		}
	}
	d := &departure{noticed: bootclock.Now()}
	m.departures[key] = d
	held := m.Book.Load(key).Tokens
	wait := FinalAt(engine, held, m.Notice)
	d.finalAt = d.noticed.Add(wait)
	m.Log.Info("migration: engine leaves", "source", source.ID, "held_tokens", held, "final_in_ms", wait.Milliseconds())
	return d
}
