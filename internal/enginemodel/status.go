package enginemodel

import "time"

// Status is the lifecycle state of an engine.
type Status uint8

// The statuses of an engine.
const (
	StatusServing Status = iota
	StatusLeaving        // rejects new generations, continues the existing ones
	StatusStopped        // stopped at the end of the notice of a reclaim
	StatusCrashed
)

func (s Status) ended() bool { return s == StatusStopped || s == StatusCrashed }

// SetLeaving makes the engine reject new generations, or accept them again. It has no
// effect on an engine that has stopped or crashed.
func (e *Engine) SetLeaving(now time.Time, leaving bool) {
	e.applyDue(now)
	if e.status.ended() {
		return
	}
	e.status = StatusServing
	if leaving {
		e.status = StatusLeaving
	}
}

// Reclaim marks the engine as leaving and stops it after the notice period, as a cloud
// provider does with a spot instance.
func (e *Engine) Reclaim(now time.Time, notice time.Duration) {
	e.SetLeaving(now, true)
	e.stopAt = now.Add(notice)
}

// Pause makes the engine reject new generations until end, with the time that is left as
// their Retry-After. Existing generations continue. An end in the past ends the pause.
func (e *Engine) Pause(end time.Time) { e.pauseEnd = end }

// Silence lets no step end before the given time. The engine keeps all generations, accepts
// new ones, and then goes on. An end in the past ends the silence.
func (e *Engine) Silence(end time.Time) { e.silentTo = end }

// SetTotalBlocks changes the size of the KV memory to blocks, at least 1. Sequences that
// no longer fit are preempted.
func (e *Engine) SetTotalBlocks(now time.Time, blocks int) {
	e.applyDue(now)
	e.pool.resize(max(1, blocks), now)
	for e.pool.free() < 0 {
		victim := e.preemptionVictim()
		if victim == nil {
			return
		}
		e.preempt(victim, now)
		e.pool.evict(0, now)
	}
}

// SetSlowdown multiplies the duration of the following steps by factor. Values below 1
// count as 1.
func (e *Engine) SetSlowdown(factor float64) { e.slowdown = max(1, factor) }

// stop stops the engine, drops all generations and records the last event.
func (e *Engine) stop(status Status, last Event) {
	e.status = status
	e.stepping = false
	e.running = nil
	e.waiting = waitingQueue{}
	clear(e.sequences)
	e.events = append(e.events, last)
}
