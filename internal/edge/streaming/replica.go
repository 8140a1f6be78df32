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

	stopping  bool           // guarded by the run's mu; a final copy has been requested
	finalCopy edge.MoveReply // outcome of the final copy; set before done is closed
	done      chan struct{}
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
	replica := &Replica{Source: source, Dest: dest, Handle: reply.Handle, Reserved: reserved, CopiedAt: bootclock.Now(), done: make(chan struct{})}
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
	if r.replica != old || old != nil && old.stopping || r.takeover != nil || r.target == nil || r.target.Key() != replica.Source.Key() {
		return false
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
// the run has ended, already continues from the replica or is being stopped for its
// final copy.
func (r *Run) DiscardReplica(replica *Replica) bool {
	r.mu.Lock()
	current := r.replica == replica && !replica.stopping
	if current {
		r.replica = nil
	}
	r.mu.Unlock()
	if current {
		r.releaseReplica(replica)
	}
	return current
}

// BeginFinalCopy announces that the final copy is about to stop the run, so that
// the end of its stream is not mistaken for its completion. It returns false if the
// run has ended or already continues from the replica, or if this process drains: it could
// end before the run goes on, and then no engine would be at work when it cuts the stream.
func (r *Run) BeginFinalCopy(replica *Replica) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.replica != replica || r.ProcessDrains() {
		return false
	}
	replica.stopping = true
	r.interruption.begin(interruptedByFinalCopy)
	return true
}

// EndFinalCopy passes on the outcome of the final copy to the goroutine that reads
// the stream, which continues the run. If the source has not closed the stream
// within closeAfter, the stream is canceled.
func (r *Run) EndFinalCopy(replica *Replica, reply edge.MoveReply, closeAfter time.Duration) {
	replica.finalCopy = reply
	if reply.Answered() && !hasStopped(reply) {
		r.endInterruption() // the engine has not stopped the run
	}
	close(replica.done)
	if stoppedAtSource(reply) {
		time.AfterFunc(closeAfter, func() { r.cancelSegment(replica) })
	}
}

// stoppedAtSource reports whether the run no longer executes at the source.
func stoppedAtSource(reply edge.MoveReply) bool {
	return reply.Result == edge.MoveCopied || (reply.Result == edge.MoveNoRoom && reply.Handle != "")
}

// takeReplica removes the replica from the run, so that it is used only once.
func (r *Run) takeReplica() (replica *Replica, stopping bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	replica = r.replica
	r.replica = nil
	return replica, replica != nil && replica.stopping
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
		<-replica.done
		handle := replica.Handle
		if stoppedAtSource(replica.finalCopy) {
			handle = replica.finalCopy.Handle
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
