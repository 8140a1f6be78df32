package streaming

import (
	"context"
	"time"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/targets"
)

const (
	// finalCopyTimeout bounds the wait for the outcome of a final copy.
	finalCopyTimeout = 2500 * time.Millisecond
	// releaseTimeout bounds the call that frees a replica.
	releaseTimeout = time.Second
)

// Replica is a copy of a run's KV memory at another engine. With it the run survives
// a crash of its engine: only the tokens that the copy lacks are prefilled again.
type Replica struct {
	Source   *targets.Target
	Dest     *targets.Target
	Handle   string
	Reserved inflight.Load // load that is counted for Dest in the in-flight loads
	// CopiedAt is when the memory was last copied; guarded by the run's CopyLock.
	CopiedAt bootclock.Instant

	state replicaState // guarded by the run's mu
	final *finalCopy   // guarded by the run's mu; the last attempt, nil if there was none
}

// Replicate copies the run's memory to dest while the run continues, and records the
// replica. The caller has already counted reserved as load of dest; Replicate removes
// it if the copy fails. The replica is nil if the copy failed, or if meanwhile the
// run ended, moved or got another replica, in which case the copy is released. The run
// keeps its earlier replica old, nil for none, until the new one is complete.
func (r *Run) Replicate(ctx context.Context, source, dest *targets.Target, reserved inflight.Load, old *Replica) (*Replica, edge.MoveReply) {
	defer r.beginCopy()()
	reply := r.server.Engines.Move(ctx, source, r.ID(), dest, false)
	if reply.Result != edge.MoveCopied {
		r.server.Inflight.Remove(dest.Key(), reserved)
		return nil, reply
	}
	replica := &Replica{Source: source, Dest: dest, Handle: reply.Handle, Reserved: reserved, CopiedAt: bootclock.Now()}
	if !r.setReplica(replica, old) {
		r.releaseReplica(replica)
		return nil, reply
	}
	if old != nil {
		r.releaseReplica(old)
	}
	return replica, reply
}

// beginCopy announces a copy that may become the run's replica, and returns the function
// that ends it. Callers hold CopyLock.
func (r *Run) beginCopy() (end func()) {
	copying := make(chan struct{})
	r.mu.Lock()
	r.copying = copying
	r.mu.Unlock()
	return func() {
		r.mu.Lock()
		r.copying = nil
		r.mu.Unlock()
		close(copying)
	}
}

// awaitCopy waits for the outcome of a copy in progress. An engine that crashes right
// after a copy may have answered already, so that the run can continue from there.
func (r *Run) awaitCopy(ctx context.Context) {
	r.mu.Lock()
	copying := r.copying
	r.mu.Unlock()
	if copying == nil {
		return
	}
	timer := time.NewTimer(stopTimeout)
	defer timer.Stop()
	select {
	case <-copying:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// setReplica records a replica in place of old and reports whether it did: not if the run
// has another one, has ended, has left the replica's source or is about to.
func (r *Run) setReplica(replica, old *Replica) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.replica != old || old != nil && !old.state.canBeReplaced() || r.takeover != nil || r.target == nil || r.target.Key() != replica.Source.Key() {
		return false
	}
	if old != nil {
		old.state.enter(replicaTaken)
	}
	r.replica = replica
	return true
}

// Replica returns the replica of the run that was copied from its current target,
// nil if there is none.
func (r *Run) Replica() *Replica {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replica
}

// SinceLastEvent returns for how long this host has been waiting for an event of the run's
// current engine; 0 before the run's first event.
func (r *Run) SinceLastEvent() time.Duration {
	last := r.lastEventAt.Load()
	if last == 0 {
		return 0
	}
	return bootclock.Since(bootclock.Instant(last))
}

// DiscardReplica releases a replica that is not needed any more. It returns false if
// the run has ended, already continues from the replica or may have been stopped by a
// final copy.
func (r *Run) DiscardReplica(replica *Replica) bool {
	r.mu.Lock()
	current := r.replica == replica && replica.state == replicaKept && replica.state.enter(replicaTaken)
	if current {
		r.replica = nil
	}
	r.mu.Unlock()
	if current {
		r.releaseReplica(replica)
	}
	return current
}

// BeginFinalCopy announces that a final copy is about to stop the run, so that
// the end of its stream is not mistaken for its completion. It returns false if the
// run has ended, already continues from the replica or has been stopped, or if this process drains: it could
// end before the run goes on, and then no engine would be at work when it cuts the stream.
func (r *Run) BeginFinalCopy(replica *Replica) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.replica != replica || r.ProcessDrains() || !replica.state.enter(replicaMoving) {
		return false
	}
	replica.final = &finalCopy{done: make(chan struct{})}
	r.interruption.begin(interruptedByFinalCopy)
	return true
}

// EndFinalCopy passes on the outcome of the final copy that BeginFinalCopy has announced to the goroutine that
// reads the stream. That continues the run once the stream ends. If the source has stopped the run and not closed the
// stream within closeAfter, the stream is canceled. Otherwise the replica may be copied, replaced and moved again.
func (r *Run) EndFinalCopy(replica *Replica, reply edge.MoveReply, closeAfter time.Duration) {
	r.mu.Lock()
	final := replica.final
	if final == nil || final.ended {
		r.mu.Unlock()
		r.Log().Error("stream: outcome of a final copy that is not in flight was dropped", "result", reply.Result.String(), "source", replica.Source.ID)
		return
	}
	final.ended, final.reply = true, reply
	replica.state.enter(stateAfter(reply)) // not if the stream has ended, and the replica was taken
	if replica.state == replicaKept {
		r.interruption = interruption{} // the engine has not stopped the run
	}
	r.stopUnconfirmed = r.stopUnconfirmed || !didNotReach(reply) && (reply.Result == edge.MoveUnknown || reply.Result == edge.MoveRejected)
	close(final.done)
	r.mu.Unlock()
	if stoppedAtSource(reply) {
		time.AfterFunc(closeAfter, func() { r.cancelSegment(replica) })
	}
}

// confirmAtSource notes that an engine has executed the run after the outcome of the last final copy was known.
// Callers hold mu.
func (r *Run) confirmAtSource() {
	if r.replica != nil && r.replica.state == replicaUnconfirmed && r.replica.state.enter(replicaKept) {
		r.interruption = interruption{}
	}
}

// mayHaveBeenStopped reports whether a final copy without a certain outcome may have ended the stream from the current
// engine.
func (r *Run) mayHaveBeenStopped() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopUnconfirmed
}

// NoteCopied records that the run's memory was copied to its replica again. Callers hold CopyLock.
func (r *Run) NoteCopied(replica *Replica) {
	replica.CopiedAt = bootclock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.replica == replica {
		r.confirmAtSource()
	}
}

// HasMoved reports whether a final copy has stopped the run at its engine, or the run has left it.
func (r *Run) HasMoved() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.target == nil || r.replica == nil || r.replica.state == replicaMoved
}

// stoppedAtSource reports whether the run no longer executes at the source.
func stoppedAtSource(reply edge.MoveReply) bool {
	return reply.Result == edge.MoveCopied || (reply.Result == edge.MoveNoRoom && reply.Handle != "")
}

// takeReplica removes the replica from the run, so that it is used only once. stopping reports whether a final copy
// may have ended the stream.
func (r *Run) takeReplica() (replica *Replica, stopping bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	replica = r.replica
	if replica == nil {
		return nil, false
	}
	r.replica, stopping = nil, replica.state.awaitsStop()
	replica.state.enter(replicaTaken)
	return replica, stopping
}

// releaseReplica frees a replica from which no run will continue; until then it
// occupies memory at the destination.
func (r *Run) releaseReplica(replica *Replica) {
	r.server.Inflight.Remove(replica.Dest.Key(), replica.Reserved)
	go r.releaseCopy(replica.Source, replica.Handle)
}

// releaseAfterFinalCopy frees the copies of a run that has completed although its final copy
// was requested.
func (r *Run) releaseAfterFinalCopy(replica *Replica) {
	r.server.Inflight.Remove(replica.Dest.Key(), replica.Reserved)
	go func() {
		<-replica.final.done
		handle := replica.Handle
		if stoppedAtSource(replica.final.reply) {
			handle = replica.final.reply.Handle
		}
		r.releaseCopy(replica.Source, handle)
	}()
}

// releaseCopy frees a copy that source has made and whose load is not counted any more.
func (r *Run) releaseCopy(source *targets.Target, handle string) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := r.server.Engines.Release(ctx, source, handle); err != nil {
		r.Log().Info("stream: unused replica could not be released and is left to expire", "source", source.ID, "copy", handle, "error", err.Error())
	}
}
