// Package membership implements gossip-based group membership with failure
// detection, similar to SWIM. A wrong entry in the table of members costs efficiency,
// never correctness.
//
// In every period a member exchanges messages with a few partners (see
// PartnerSelector). A failed exchange marks the peer as suspect, and the suspicion
// spreads. The suspect refutes it by raising its heartbeat as soon as any member
// reaches it; otherwise it is declared dead after a timeout. Only changes are sent,
// so the cost of an idle fleet does not grow with the number of members.
//
// Table and PartnerSelector are state machines without I/O, clocks or goroutines,
// and are not safe for concurrent use.
package membership

import "time"

// Config holds the timings of a member. All members should use the same values.
type Config struct {
	Period           time.Duration // between two ticks
	SuspicionTimeout time.Duration // from the suspicion until a member is declared dead
	RemoveAfter      time.Duration // from a member's death or leave until its row is removed
}

// DefaultConfig returns the default timings: a host that disappears is suspected
// within two periods and declared dead four seconds later.
func DefaultConfig() Config {
	return Config{
		Period:           time.Second,
		SuspicionTimeout: 4 * time.Second,
		RemoveAfter:      10 * time.Minute,
	}
}

// maxTombstones bounds the tombstones, of 64 bytes each.
const maxTombstones = 4096

// pausePeriods is the gap between two ticks, in periods, above which a member assumes
// that its own process was paused.
const pausePeriods = 3

// maxRowsPerExchange bounds the rows of one message, about 100 bytes each.
const maxRowsPerExchange = 128

const (
	// probeInterval is the time between two direct probes of a removed host that
	// peers report as live.
	probeInterval = 10 * time.Second
	// maxProbes bounds the direct probes of one period.
	maxProbes = 5
)
