package services

import (
	"slices"
	"sync"
	"time"
)

const (
	// latencyWindow is the number of calls that the quantile is taken from.
	latencyWindow = 128
	// minObservations is needed before the quantile means anything.
	minObservations = 20
	// minHedgeDelay keeps hedges from following their calls at once.
	minHedgeDelay = 2 * time.Millisecond
)

// latency holds the last latencies of a route. It is safe for concurrent use.
type latency struct {
	mu     sync.Mutex
	window []time.Duration // guarded by mu; a ring once it is full
	next   int             // guarded by mu
}

func (l *latency) observe(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.window) < latencyWindow {
		l.window = append(l.window, d)
		return
	}
	l.window[l.next] = d
	l.next = (l.next + 1) % latencyWindow
}

// p95 returns the latency that 95 in 100 calls do not exceed.
func (l *latency) p95() (time.Duration, bool) {
	l.mu.Lock()
	sorted := slices.Clone(l.window)
	l.mu.Unlock()
	if len(sorted) < minObservations {
		return 0, false
	}
	slices.Sort(sorted)
	return max(sorted[len(sorted)*95/100], minHedgeDelay), true
}
