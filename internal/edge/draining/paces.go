package draining

import (
	"sync"
	"time"
)

const (
	// recentRequests is the number of a route's last requests whose pace is kept.
	recentRequests = 32
	// maxRoutes bounds the routes that paces are kept of.
	maxRoutes = 1024
)

// Pace is how fast a complete request was served.
type Pace struct {
	Start    time.Duration // from when the request had been read to the first event; of plain calls to the response
	PerToken time.Duration // from then on, for each output token; 0 for plain calls
}

// paces keeps the pace of the last complete requests of each route. It is safe for
// concurrent use.
type paces struct {
	mu      sync.Mutex
	byRoute map[string]*recentPaces // guarded by mu; by the route's name
}

type recentPaces struct {
	took  [recentRequests]Pace
	count int // of all requests
}

// record adds a complete request of a route.
func (p *paces) record(route string, took Pace) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.byRoute[route]
	if r == nil {
		if len(p.byRoute) >= maxRoutes {
			clear(p.byRoute) // routes that are no longer configured make room
		}
		r = &recentPaces{}
		p.byRoute[route] = r
	}
	r.took[r.count%recentRequests] = took
	r.count++
}

// longest returns the longest start and the slowest pace of a route's last requests, and
// false if none is known.
func (p *paces) longest(route string) (Pace, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.byRoute[route]
	if r == nil {
		return Pace{}, false
	}
	longest := Pace{}
	for _, took := range r.took {
		longest.Start, longest.PerToken = max(longest.Start, took.Start), max(longest.PerToken, took.PerToken)
	}
	return longest, true
}
