package streaming

import (
	"context"
	"io"
	"time"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/targets"
)

const (
	// takeoverInterval is the minimum time from a failed takeover of a run to its next.
	takeoverInterval = time.Second
)

// takeover is an attempt to continue a run at another engine while its own sends nothing. A
// silent engine may be sound, so the run leaves it only when the other one has answered.
type takeover struct {
	source    *segment
	replica   *Replica        // nil if the run starts again from its prompt
	ctx       context.Context // of the request to the other engine, and of its stream
	cancel    context.CancelFunc
	committed bool          // guarded by the run's mu; the stream of source was canceled
	done      chan struct{} // closed when next is set
	next      *segment      // nil if the run stays at its engine
}

// cancelUncommitted ends a takeover, if there is one, because the silent engine goes on.
// Callers hold the run's mu.
func (t *takeover) cancelUncommitted() {
	if t != nil && !t.committed {
		t.cancel()
	}
}

// LeaveSilentEngine begins to continue the run at another engine, from its replica or, if it
// is resumable, from its prompt. It does nothing if the run can do neither or is about to
// leave its engine.
func (r *Run) LeaveSilentEngine() {
	r.mu.Lock()
	defer r.mu.Unlock()
	replica := r.replica
	if r.segment == nil || r.takeover != nil || bootclock.Now() < r.nextTakeover {
		return
	}
	if replica == nil && !r.MayRestart() || replica != nil && !replica.state.canBeReplaced() {
		return
	}
	if replica != nil {
		replica.state.enter(replicaTaken)
	}
	t := &takeover{source: r.segment, replica: replica, done: make(chan struct{})}
	t.ctx, t.cancel = context.WithCancel(r.ctx)
	r.takeover, r.replica = t, nil
	go r.runTakeover(t)
}

// LeavesSilentEngine reports whether another engine may be about to take over the run.
func (r *Run) LeavesSilentEngine() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.takeover != nil
}

// runTakeover opens the stream of the other engine and then cancels that of the silent one.
func (r *Run) runTakeover(t *takeover) {
	silent := r.SinceLastEvent()
	source := t.source.target
	r.Log().Warn("stream: engine is silent; the run is also sent to another", "source", source.ID, "replica", t.replica != nil, "silent_ms", silent.Milliseconds())
	var next *segment
	if t.replica != nil {
		next = r.resumeBeside(t.ctx, source, replicaHolder(t.replica, t.replica.Handle))
	} else {
		next = r.startBeside(t.ctx, source)
	}
	r.mu.Lock()
	t.committed = next != nil && t.ctx.Err() == nil
	if t.committed {
		t.source.cancel()
	} else {
		r.takeover, r.nextTakeover = nil, bootclock.Now().Add(takeoverInterval)
	}
	r.mu.Unlock()
	switch {
	case t.committed:
		t.next = next
		r.server.recordFailure(source, bootclock.Now().Add(-silent))
	case next != nil:
		r.abandon(next)
	default:
		r.Log().Info("stream: the run stays at its silent engine", "target", source.ID, "engine_went_on", t.ctx.Err() != nil, "silent_ms", silent.Milliseconds())
	}
	// The reading goroutine may send the run to these engines again once done is closed.
	if t.committed && (t.replica != nil || r.call.Service.Engine.SupportsMigration) {
		r.stopAt(source, next.target, stopAfterTakeover, false)
	}
	if !t.committed {
		t.cancel()
		r.stopAtOthers(source)
	}
	close(t.done)
	if t.committed {
		return
	}
	if t.replica != nil {
		r.releaseCopy(t.replica.Source, t.replica.Handle)
	}
}

// startBeside starts a resumable run at another engine while source may still execute it. The
// send to source counts as an attempt meanwhile, and for good if the other engine takes the run.
func (r *Run) startBeside(ctx context.Context, source *targets.Target) *segment {
	defer func(before bool) { r.attempts.beside = before }(r.attempts.beside)
	r.attempts.beside = true
	r.attempts.tried[source.Key()] = true
	tried := len(r.attempts.tried)
	r.attempts.sends.Add(1)
	next := r.startElsewhere(ctx, source, "silent_ms", r.SinceLastEvent().Milliseconds())
	switch {
	case next != nil:
		r.attempts.mayHaveRun = true
	case ctx.Err() == nil || len(r.attempts.tried) == tried: // otherwise the other send was canceled
		r.attempts.sends.Add(-1)
	}
	return next
}

// endTakeover waits for the outcome of a takeover in progress after the stream of the run's
// engine ended with err. It returns the stream of the other engine, nil if the run does not
// continue there.
func (r *Run) endTakeover(err error) *segment {
	r.mu.Lock()
	t := r.takeover
	if t != nil && (err == io.EOF || err == errCallerGone) {
		t.cancelUncommitted()
	}
	r.segment = nil // no takeover begins any more
	r.mu.Unlock()
	if t == nil {
		return nil
	}
	<-t.done
	r.mu.Lock()
	if r.takeover == t {
		r.takeover = nil
	}
	r.mu.Unlock()
	if t.next != nil && (err == io.EOF || err == errCallerGone) {
		r.abandon(t.next)
		r.stopAtOthers(t.source.target)
		return nil
	}
	return t.next
}
