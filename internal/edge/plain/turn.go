package plain

import (
	"context"
	"time"

	"corianderhitch/internal/edge/targets"
)

const (
	// turnWaitShare of the time left, at most maxTurnWait, is how long a call waits for a target
	// whose limit is used up or that may have no room: a caller that is rejected gives up its
	// turn and returns later.
	turnWaitShare = 0.25
	maxTurnWait   = time.Second
)

// awaitTurn waits until a target that names a limit, is brittle or is cold takes one more call of this
// host, and returns it. More urgent calls go first. It returns nil at once if there is no such
// target, or if too many calls wait already.
func (r *run) awaitTurn() *targets.Target {
	s, service := r.server, r.call.Service.Name
	if !r.view().TakesTurns(service) {
		return nil
	}
	within := min(maxTurnWait, time.Duration(turnWaitShare*float64(r.call.TimeLeft())))
	if !r.view().AcceptsWithin(service, s.Queue.LenOf(r.queue()), within) {
		return nil
	}
	ctx, cancel := context.WithTimeout(r.ctx, within)
	defer cancel()
	return s.Queue.Acquire(ctx, r.queue(), r.call.Urgency, r.chooseTarget)
}
