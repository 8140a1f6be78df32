package draining

import (
	"sync"
	"time"

	"corianderhitch/internal/edge/bootclock"
)

const (
	// minStall is the time without a beat from which a process counts as having been frozen
	// or starved of the processor.
	minStall = 400 * time.Millisecond
	// stallRetention is how long after a stall a signal may still be handled that was sent
	// during it.
	stallRetention = 400 * time.Millisecond
)

// Heartbeat tells how late a process handles its signals. The platform counts the grace
// period from when it sent them, but a process that is frozen or starved of the processor
// learns of them later. It is safe for concurrent use.
type Heartbeat struct {
	mu      sync.Mutex
	last    bootclock.Instant // guarded by mu; of the last beat, 0 before the first
	stalled struct {          // guarded by mu; the last stall, all 0 if there was none
		from, until bootclock.Instant
	}
}

// Beat records that the process runs. It is to be called several times within minStall.
func (h *Heartbeat) Beat(now bootclock.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.last != 0 && now.Sub(h.last) >= minStall {
		h.stalled.from, h.stalled.until = h.last, now
	}
	h.last = now
}

// Earliest returns when a signal that is handled now may have been sent at the earliest.
func (h *Heartbeat) Earliest(now bootclock.Instant) bootclock.Instant {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.last != 0 && now.Sub(h.last) >= minStall:
		return h.last
	case h.stalled.until != 0 && now.Sub(h.stalled.until) < stallRetention:
		return h.stalled.from
	default:
		return now
	}
}
