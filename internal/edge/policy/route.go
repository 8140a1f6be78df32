package policy

import "time"

// RouteKind says how the requests of a route are answered and whether they may run
// more than once.
type RouteKind int

// Kinds of routes.
const (
	NonIdempotent RouteKind = iota // runs at most once for each request id
	Idempotent                     // may run more than once
	Streaming                      // a series of events; runs at most once unless the route is resumable
)

// String returns the name of the kind for logs and metrics.
func (k RouteKind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Streaming:
		return "streaming"
	default:
		return "non_idempotent"
	}
}

// Backend is one service of a route with its share of the requests, which is its
// weight in proportion to the sum of all weights.
type Backend struct {
	Service string
	Weight  int
}

// Route sends the requests for an HTTP host and a path prefix to services.
type Route struct {
	Name         string
	Host         string // of the URL
	Prefix       string // of the path; begins and ends with a slash
	Kind         RouteKind
	Timeout      time.Duration // maximum time until the final answer
	Objective    time.Duration // latency objective; for streams, of the first event
	GapObjective time.Duration // longest acceptable pause between two events
	Priority     int           // 0 is the most urgent
	Backends     []Backend
	MaxAttempts  int  // maximum number of targets that a request is sent to
	Public       bool // needs no API key
	// Resumable allows streams to be resumed after an event, which may run a request
	// more than once; for Streaming only.
	Resumable bool
	// AllowedRegions are the regions in which requests may run; empty for all.
	AllowedRegions []string
}

// minCallerPatience is how long callers of a stream wait for the next event at least, whatever
// the objectives of their route.
const minCallerPatience = 2 * time.Second

// MinCallerPatience returns how long callers of a streaming route wait for the next event, the
// first one included, before they give up.
func (r *Route) MinCallerPatience() time.Duration {
	return max(minCallerPatience, 4*r.Objective, 8*r.GapObjective)
}

// PickService returns the service for a request, selected by a random number in
// [0, 1), or "" if the route has none. A service with weight 0 gets no requests, also if it is the last.
func (r *Route) PickService(draw float64) string {
	total := 0
	for _, b := range r.Backends {
		total += max(0, b.Weight)
	}
	remaining, picked := draw*float64(total), ""
	for _, b := range r.Backends {
		if b.Weight <= 0 {
			continue
		}
		picked = b.Service
		if remaining -= float64(b.Weight); remaining < 0 {
			break
		}
	}
	return picked
}
