package streaming

import (
	"context"
	"time"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/targets"
)

// leftMemory is memory of a run that an engine has stopped after the run had gone on without waiting for it.
type leftMemory struct {
	engine *targets.Target
	other  *targets.Target // to which the engine has copied it if the result is edge.MoveCopied
	reply  edge.MoveReply
}

// holders returns the engines at which the run can go on from the memory. A run that executes at source as well does
// not go on at the destination of the copy, which may be that source.
func (m leftMemory) holders(r *Run, source *targets.Target) (all []*memoryHolder) {
	load := r.server.runLoad(r.call, r.deliveredEvents())
	from := edge.ReplicaRef{Address: m.engine.Address, Handle: m.reply.Handle}
	if m.reply.Result == edge.MoveCopied && source == nil {
		all = append(all, &memoryHolder{target: m.other, load: load, from: from})
	}
	return append(all, &memoryHolder{target: m.engine, load: load, from: from})
}

// takeLeftMemory removes and returns the memory that engines have named too late.
func (r *Run) takeLeftMemory() []leftMemory {
	r.mu.Lock()
	defer r.mu.Unlock()
	left := r.leftMemory
	r.leftMemory = nil
	return left
}

// awaitLeftMemory waits for the calls in flight that may have stopped the run, for as long as they may take, and returns
// the memory that they have named.
func (r *Run) awaitLeftMemory(ctx context.Context, patience time.Duration) []leftMemory {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	r.mu.Lock()
	var ending []*engineStop
	for _, s := range r.stops {
		if s.hasStoppedByOpenCall() {
			ending = append(ending, s)
		}
	}
	r.mu.Unlock()
	for _, s := range ending {
		select {
		case <-s.done:
		case <-ctx.Done():
		}
	}
	return r.takeLeftMemory()
}

// hasStoppedByOpenCall reports whether the engine does not execute the run any more, and a call in flight may have
// stopped it.
func (s *engineStop) hasStoppedByOpenCall() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopped && s.open > 0
}

// awaitTarget waits until the run does not look for an engine to continue at. Until then it may need memory that it has
// left, and a later copy may have the handle of the one from which it is about to continue.
func (r *Run) awaitTarget() {
	for r.Target() == nil {
		select {
		case <-r.done:
			return
		case <-time.After(stopCheckInterval):
		}
	}
}
