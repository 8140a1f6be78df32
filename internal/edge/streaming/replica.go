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
	// stopPatience bounds the wait for the outcome of a final copy.
	finalCopyTimeout = 2500 * time.Millisecond
	// haltPatience bounds the call that stops a run whose stream broke off. An engine
	// that does not answer within it is dead or out of reach.
	stopTimeout = 400 * time.Millisecond
	// releaseTimeout bounds the call that frees a copy.
	releaseTimeout = time.Second
)

// Copy is a copy of a run's memory at another engine. Once it exists the run
// survives the end of its engine: what the copy lacks is read again.
type Replica struct {
	Source   *targets.Target
	Dest     *targets.Target
	Handle   string
	Reserved inflight.Load // counted in the load book for Dest
	// At is when the copy was made or brought up to date last; guarded by the run's
	// Copying.
	CopiedAt bootclock.Instant

	stopping  bool           // guarded by the run's mu; a final copy was asked for
	finalCopy edge.MoveReply // outcome of the final copy, set before done is closed
	done      chan struct{}
}

// Secure copies the run's memory to an engine while it goes on, for which reserved
// is counted already, and records the copy. Without a copy it takes the load back.
// It returns a nil Copy if none was made, or if the run is elsewhere or over by
// then, in which case the copy is freed.
func (r *Run) Replicate(ctx context.Context, source, dest *targets.Target, reserved inflight.Load) (*Replica, edge.MoveReply) {
	reply := r.server.Engines.Move(ctx, source.Address, r.ID(), dest.Address, false)
	if reply.Result != edge.MoveCopied {
		r.server.Inflight.Remove(dest.Key(), reserved)
		return nil, reply
	}
	c := &Replica{Source: source, Dest: dest, Handle: reply.Handle, Reserved: reserved, CopiedAt: bootclock.Now(), done: make(chan struct{})}
	if !r.setReplica(c) {
		r.releaseReplica(c)
		return nil, reply
	}
	return c, reply
}

// record keeps a copy unless the run is elsewhere or over, or has one.
func (r *Run) setReplica(c *Replica) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.replica != nil || r.target == nil || r.target.Key() != c.Source.Key() {
		return false
	}
	r.replica = c
	return true
}

// Standing returns the copy of the run that was made at its present target, nil
// if there is none.
func (r *Run) Replica() *Replica {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replica
}

// Silent returns how long the run's engine has sent no events, 0 before the first.
func (r *Run) SinceLastEvent() time.Duration {
	last := r.lastEventAt.Load()
	if last == 0 {
		return 0
	}
	return bootclock.Since(bootclock.Instant(last))
}

// Abandon ends the stream from an engine that has fallen silent, so that the run
// goes on at its copy.
func (r *Run) FailOver(c *Replica) {
	r.Log().Warn("stream: engine has fallen silent; the run goes on at its copy", "source", c.Source.ID, "dest", c.Dest.ID, "silent_ms", r.SinceLastEvent().Milliseconds())
	r.cancelSegment(c)
}

// Discard frees a copy that will not be used. It returns false if the run has gone
// on from it, or ended, already.
func (r *Run) DiscardReplica(c *Replica) bool {
	r.mu.Lock()
	current := r.replica == c && !c.stopping
	if current {
		r.replica = nil
	}
	r.mu.Unlock()
	if current {
		r.releaseReplica(c)
	}
	return current
}

// Stop announces that the run is about to be stopped for its final copy, so that
// the end of its stream is not taken for its completion. It returns false if the
// run has gone on from the copy, or ended, already.
func (r *Run) BeginFinalCopy(c *Replica) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.replica != c {
		return false
	}
	c.stopping = true
	return true
}

// Stopped reports the outcome of the final copy. The reader continues the run;
// a source that has not closed the stream by itself after a while is cut off.
func (r *Run) EndFinalCopy(c *Replica, reply edge.MoveReply, closeAfter time.Duration) {
	c.finalCopy = reply
	close(c.done)
	if stoppedAtSource(reply) {
		time.AfterFunc(closeAfter, func() { r.cancelSegment(c) })
	}
}

// halted tells whether the run does not run at the source any more.
func stoppedAtSource(reply edge.MoveReply) bool {
	return reply.Result == edge.MoveCopied || (reply.Result == edge.MoveNoRoom && reply.Handle != "")
}

// takeCopy takes the copy away from the run, for its one use.
func (r *Run) takeReplica() (c *Replica, stopping bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c = r.replica
	r.replica = nil
	return c, c != nil && c.stopping
}

// dropCopy frees a copy that nothing will continue from: it holds memory at the
// destination.
func (r *Run) releaseReplica(c *Replica) {
	r.server.Inflight.Remove(c.Dest.Key(), c.Reserved)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		if err := r.server.Engines.Release(ctx, c.Source.Address, c.Handle); err != nil {
			r.Log().Info("stream: unused copy is left to expire", "source", c.Source.ID, "copy", c.Handle, "error", err.Error())
		}
	}()
}
