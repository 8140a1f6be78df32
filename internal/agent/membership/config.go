// Package membership keeps the table of hosts. It is a hint: a wrong entry
// costs efficiency, never correctness.
//
// Every period a member exchanges with a few partners (see Partners). An
// exchange that fails raises a suspicion, which spreads; the suspect refutes it
// by raising its heartbeat as soon as anybody reaches it. A suspicion that is
// not refuted in time turns into a death. Only changes travel, so the cost at
// rest does not grow with the number of members.
//
// Table and Partners are state machines without I/O, clock or goroutine and are
// not safe for concurrent use.
package membership

import "time"

// Config holds the timings of a member. All members should use the same.
type Config struct {
	Period           time.Duration // between two ticks
	SuspicionTimeout time.Duration // from suspicion to death
	ForgetAfter      time.Duration // from death or leave until the row is dropped
}

// DefaultConfig returns the timings of the product: a host that vanished is
// suspected within two periods and dead four seconds later.
func DefaultConfig() Config {
	return Config{
		Period:           time.Second,
		SuspicionTimeout: 4 * time.Second,
		ForgetAfter:      10 * time.Minute,
	}
}

// maxTombstones bounds what is kept of forgotten members, 64 bytes each.
const maxTombstones = 4096

// pausePeriods is the gap between two ticks, in periods, from which on the
// member assumes that it was paused itself.
const pausePeriods = 3

// maxRowsPerExchange bounds the rows of one message, about 100 bytes each.
const maxRowsPerExchange = 128

const (
	// askAgainAfter is the time between two direct questions to a forgotten host
	// that peers believe to live.
	askAgainAfter = 10 * time.Second
	// maxDoubts bounds the direct questions of one round.
	maxDoubts = 5
)
