package draining

import (
	"sync"
	"time"
)

const (
	// recentRequests is the number of a route's last requests whose durations are kept.
	recentRequests = 32
	// maxRoutes bounds the routes that durations are kept of.
	maxRoutes = 1024
)

// Duration is how long a complete request took.
type Duration struct {
	Start    time.Duration // from when the whole request was read to the first event; of plain calls to the response
	PerToken time.Duration // from then on, for each output token; 0 for plain calls
}

// durations keeps how long the last complete requests of each route took. It is safe for
// concurrent use.
type durations struct {
	mu      sync.Mutex
	byRoute map[string]*recentDurations // guarded by mu; by the route's name
}

type recentDurations struct {
	took  [recentRequests]Duration
	count int // of all requests
}

// record adds a complete request of a route.
func (d *durations) record(route string, took Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.byRoute[route]
	if r == nil {
		if len(d.byRoute) >= maxRoutes {
			clear(d.byRoute) // routes that are no longer configured make room
		}
		r = &recentDurations{}
		d.byRoute[route] = r
	}
	r.took[r.count%recentRequests] = took
	r.count++
}

// longest returns the longest start and the slowest pace of a route's last requests, and
// false if none is known.
func (d *durations) longest(route string) (Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.byRoute[route]
	if r == nil {
		return Duration{}, false
	}
	longest := Duration{}
	for _, took := range r.took {
		longest.Start, longest.PerToken = max(longest.Start, took.Start), max(longest.PerToken, took.PerToken)
	}
	return longest, true
}
