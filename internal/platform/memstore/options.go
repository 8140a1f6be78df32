package memstore

import "time"

// Defaults of Options.
const (
	// defaultPollLimit ends a watch without events, so that callers detect broken
	// connections.
	defaultPollLimit = 30 * time.Second
	// defaultHistoryEvents and defaultHistoryBytes limit the events kept for
	// watches. A watch from an older revision returns platform.ErrCompacted.
	defaultHistoryEvents = 10_000
	defaultHistoryBytes  = 64 << 20
	// maxListEntries is the largest number of entries that List returns.
	maxListEntries = 1000
	// minTTL is the shortest lease. A lease must outlive a round trip.
	minTTL = 10 * time.Millisecond
)

// Options configure a Store. The zero value is a store without rate limits that
// uses the system clock (or the fake clock of testing/synctest).
type Options struct {
	// Now is the clock of leases, rate limits and the host list. Nil means
	// time.Now. With another clock, call ExpireLeases after advancing it, so that
	// blocked watches see ended leases.
	Now func() time.Time
	// PollLimit ends a Watch without events. Zero means 30 s.
	PollLimit time.Duration
	// HistoryEvents and HistoryBytes limit the events kept for watches. Zero
	// means 10,000 events and 64 MiB.
	HistoryEvents int
	HistoryBytes  int
	// ReadsPerSecond and WritesPerSecond limit the rates of calls, with a burst
	// of one second. Zero means no limit.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// Seed is the seed of random faults.
	Seed uint64
}

func (o Options) withDefaults() Options {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.PollLimit == 0 {
		o.PollLimit = defaultPollLimit
	}
	if o.HistoryEvents == 0 {
		o.HistoryEvents = defaultHistoryEvents
	}
	if o.HistoryBytes == 0 {
		o.HistoryBytes = defaultHistoryBytes
	}
	return o
}
