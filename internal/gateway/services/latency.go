package services

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxLatencySamples is the number of latest calls from which the quantile is taken.
	maxLatencySamples = 128
	// minLatencySamples is the number of calls below which there is no quantile.
	minLatencySamples = 20
	// minHedgeDelay keeps calls of very fast routes from being hedged almost immediately.
	minHedgeDelay = 2 * time.Millisecond
)

// latencyHistory holds the latest latencies of a route. It is safe for concurrent use.
type latencyHistory struct {
	mu      sync.Mutex
	samples []time.Duration // guarded by mu; a ring buffer once it is full
	next    int             // guarded by mu
}

func (l *latencyHistory) observe(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.samples) < maxLatencySamples {
		l.samples = append(l.samples, d)
		return
	}
	l.samples[l.next] = d
	l.next = (l.next + 1) % maxLatencySamples
}

// p95 returns the 95th percentile of the latencies, at least minHedgeDelay. It returns
// false while there are too few.
func (l *latencyHistory) p95() (time.Duration, bool) {
	l.mu.Lock()
	sorted := slices.Clone(l.samples)
	l.mu.Unlock()
	if len(sorted) < minLatencySamples {
		return 0, false
	}
	slices.Sort(sorted)
	return max(sorted[len(sorted)*95/100], minHedgeDelay), true
}
