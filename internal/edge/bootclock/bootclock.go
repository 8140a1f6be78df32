// Package bootclock reads the clock that goes on while the host is suspended.
// Leases and confirmations are aged by it: the monotonic clock of time.Now
// stands still during a suspend.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a time since the host's boot, suspends included.
type Instant time.Duration

// Now returns the current instant.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("bootclock: CLOCK_BOOTTIME is not available: " + err.Error()) // every Linux since 2.6.39 has it
	}
	return Instant(ts.Nano())
}

// Since returns the time that has passed since the instant.
func Since(i Instant) time.Duration { return time.Duration(Now() - i) }

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from the other instant to this one.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }
