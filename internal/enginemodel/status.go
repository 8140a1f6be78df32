package enginemodel

import "time"

// Status is the life stage of an engine.
type Status uint8

// The statuses of an engine.
const (
	StatusServing Status = iota
	StatusLeaving        // refuses new generations, ends those it has
	StatusStopped        // reclaimed
	StatusCrashed
)

func (s Status) ended() bool { return s == StatusStopped || s == StatusCrashed }

// SetLeaving makes the engine refuse new generations, or accept them again.
func (e *Engine) SetLeaving(now time.Time, leaving bool) {
	e.advance(now)
	if e.status.ended() {
		return
	}
	e.status = StatusServing
	if leaving {
		e.status = StatusLeaving
	}
}

// Reclaim makes the engine leave at once and stop after the notice.
func (e *Engine) Reclaim(now time.Time, notice time.Duration) {
	e.SetLeaving(now, true)
	e.stopAt = now.Add(notice)
}

// SetTotalBlocks changes the KV memory. Sequences that no longer fit are
// preempted.
func (e *Engine) SetTotalBlocks(now time.Time, blocks int) {
	e.advance(now)
	e.pool.resize(max(1, blocks), now)
	for e.pool.free() < 0 {
		victim := e.victim()
		if victim == nil {
			return
		}
		e.preempt(victim, now)
		e.pool.evict(0, now)
	}
}

// SetSlowdown multiplies the time of the following steps. Values below 1 count
// as 1.
func (e *Engine) SetSlowdown(factor float64) { e.slowdown = max(1, factor) }

// stop ends the engine with its last event.
func (e *Engine) stop(status Status, last Event) {
	e.status = status
	e.stepping = false
	e.running = nil
	e.waiting = waitingQueue{}
	clear(e.sequences)
	e.events = append(e.events, last)
}
