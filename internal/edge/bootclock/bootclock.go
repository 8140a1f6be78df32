// Package bootclock reads CLOCK_BOOTTIME, which keeps running while the host is
// suspended. The ages of leases and confirmations are measured with it, because the
// monotonic clock of time.Now stops during a suspend.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a time since the host booted, including suspends. 0 is the boot itself and
// often stands for "never".
type Instant time.Duration

// Now returns the current instant.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("bootclock: CLOCK_BOOTTIME is not available: " + err.Error()) // available since Linux 2.6.39
	}
	return Instant(ts.Nano())
}

// Since returns the time elapsed since i.
func Since(i Instant) time.Duration { return time.Duration(Now() - i) }

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from other to i. It is negative if other is later.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }
