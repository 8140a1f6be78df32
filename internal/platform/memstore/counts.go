package memstore

import (
	"time"

	"golang.org/x/time/rate"
)

// Counts holds the number of calls since the start, as the platform would bill them,
// and the current size of the store.
type Counts struct {
	Reads       int64 `json:"reads"`  // Get, List, Watch, Targets
	Writes      int64 `json:"writes"` // Put, Delete and all calls on leases
	RateLimited int64 `json:"rate_limited"`
	LostAnswers int64 `json:"lost_answers"`
	// WaitingWatches is the number of watches that are blocked now; PeakWatches is
	// its highest value so far.
	WaitingWatches int      `json:"waiting_watches"`
	PeakWatches    int      `json:"peak_watches"`
	Keys           int      `json:"keys"`
	Leases         int      `json:"leases"`
	Revision       Revision `json:"revision"`
}

// Counts returns the current counts.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	c := s.counts
	c.Keys = len(s.keys)
	c.Leases = len(s.leases)
	c.Revision = s.revision
	return c
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

func allowCall(l *rate.Limiter, now time.Time) bool {
	return l == nil || l.AllowN(now, 1)
}
