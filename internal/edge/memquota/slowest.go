package memquota

import (
	"sync/atomic"
	"time"

	"corianderhitch/internal/edge/bootclock"
)

const (
	// stallTime is how long a body must have stood still before its request is rejected for others. A
	// client's link and its own pauses are faster than that.
	stallTime = 500 * time.Millisecond
	// slowTime is how long a body must have been coming in before its mean rate counts, and slowRate the rate,
	// in bytes a second, below which it is slow. The largest body would need 64 s then, more than callers wait.
	slowTime = time.Second
	slowRate = 64 << 10
)

// tracked is a request that is known by itself.
type tracked struct {
	account string // guarded by Budget.mu
	bytes   int64  // guarded by Budget.mu
	evicted atomic.Bool
	// started and abort are set before the request is put among those that are received.
	started    bootclock.Instant
	abort      func()
	received   atomic.Int64 // bytes of the body
	progressed atomic.Int64 // bootclock.Instant of the last of them
}

// slowest returns the request, of the account unless that is "", that is to be rejected first: the one
// whose body has stood still the longest, otherwise the one with the lowest mean rate. It returns nil if
// all bodies are fast or new.
func slowest(receiving map[*tracked]struct{}, except *tracked, account string, now bootclock.Instant) *tracked {
	var still, slow *tracked
	longest, lowest := stallTime, float64(slowRate)
	for t := range receiving {
		if t == except || t.bytes == 0 || account != "" && t.account != account {
			continue
		}
		if stood := now.Sub(bootclock.Instant(t.progressed.Load())); stood >= longest {
			still, longest = t, stood
		}
		if age := now.Sub(t.started); age >= slowTime {
			if rate := float64(t.received.Load()) / age.Seconds(); rate < lowest {
				slow, lowest = t, rate
			}
		}
	}
	if still != nil {
		return still
	}
	return slow
}
