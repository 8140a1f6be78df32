package memstore

import "time"

// Defaults of Options.
const (
	// defaultPollLimit ends a watch without events, so that a caller notices a
	// dead connection.
	defaultPollLimit = 30 * time.Second
	// defaultHistoryEvents and defaultHistoryBytes bound the events kept for
	// watches. An older watch gets platform.ErrCompacted.
	defaultHistoryEvents = 10_000
	defaultHistoryBytes  = 64 << 20
	// maxListEntries is the store's own maximum for one List.
	maxListEntries = 1000
	// minTTL is the shortest lease, so that a lease outlives a round trip.
	minTTL = 10 * time.Millisecond
)

// Options configure a Store. The zero value is a store without rate limits on
// the wall clock (or the virtual clock of testing/synctest).
type Options struct {
	// Now is the clock of leases, rate limits and the host list. Nil means
	// time.Now. With another clock, call Expire after moving it, so that waiting
	// watches learn of ended leases.
	Now func() time.Time
	// PollLimit ends a Watch without events. Zero means 30 s.
	PollLimit time.Duration
	// HistoryEvents and HistoryBytes bound the events kept for watches. Zero
	// means 10,000 events and 64 MiB.
	HistoryEvents int
	HistoryBytes  int
	// ReadsPerSecond and WritesPerSecond limit the rates of calls, with a burst
	// of one second. Zero means no limit.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// Seed drives the random faults.
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
