package policy

import "time"

// Kind tells what may be repeated on a route.
type RouteKind int

// The kinds of routes.
const (
	NonIdempotent RouteKind = iota // runs at most once for each request id
	Idempotent                     // may run more than once
	Streaming                      // a series of events; runs at most once
)

// String returns the kind for log lines.
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

// Backend is one service of a route with its share of the requests.
type Backend struct {
	Service string
	Weight  int
}

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name         string
	Host         string
	Prefix       string // begins and ends with a slash
	Kind         RouteKind
	Timeout      time.Duration // longest time until the final answer
	Objective    time.Duration // latency objective, to the first event of a stream
	GapObjective time.Duration // longest pause between events that is on time
	Priority     int           // 0 is the most urgent
	Backends     []Backend
	MaxAttempts  int  // servers that one request may be sent to
	Public       bool // needs no API key
}

// Pick returns the service for a request by a number in [0, 1).
func (r *Route) PickService(draw float64) string {
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	point := draw * float64(total)
	for _, b := range r.Backends {
		if point -= float64(b.Weight); point < 0 {
			return b.Service
		}
	}
	if len(r.Backends) == 0 {
		return ""
	}
	return r.Backends[len(r.Backends)-1].Service
}
