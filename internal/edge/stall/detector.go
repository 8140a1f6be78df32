// Package stall notices when this process was frozen or starved of the processor. What it
// has not done or read meanwhile says nothing about targets, callers or peers.
package stall

import (
	"sync"
	"time"

	"corianderhitch/internal/edge/bootclock"
)

const (
	// minStall is the time without a beat from which a process counts as having been stalled.
	minStall = 400 * time.Millisecond
	// backlogTime is how long after a stall signals, events and timers of that time may
	// still be handled.
	backlogTime = 400 * time.Millisecond
)

// Detector detects stalls by beats that fail to come. It is safe for concurrent use; the zero
// value has seen no stall.
type Detector struct {
	mu      sync.Mutex
	last    bootclock.Instant // guarded by mu; of the last beat, 0 before the first
	stalled struct {          // guarded by mu; the last stall, all 0 if there was none
		from, until bootclock.Instant
	}
}

// Beat records that the process runs. It is to be called several times within minStall.
func (d *Detector) Beat(now bootclock.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.last != 0 && now.Sub(d.last) >= minStall {
		d.stalled.from, d.stalled.until = d.last, now
	}
	d.last = now
}

// Earliest returns when a signal that is handled now may have been sent at the earliest. The
// sender counts from then, while a stalled process learns of it late.
func (d *Detector) Earliest(now bootclock.Instant) bootclock.Instant {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.last != 0 && now.Sub(d.last) >= minStall:
		return d.last
	case d.stalled.until != 0 && now.Sub(d.stalled.until) < backlogTime:
		return d.stalled.from
	default:
		return now
	}
}

// Affected reports whether this process was stalled at any time from the given one on, or
// until shortly before it.
func (d *Detector) Affected(from, now bootclock.Instant) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return (d.last != 0 && now.Sub(d.last) >= minStall) || (d.stalled.until != 0 && from.Sub(d.stalled.until) < backlogTime)
}
