package judge

import (
	"time"

	"corianderhitch/internal/drill/record"
)

// index finds the parts of a record that belong together.
type index struct {
	run      *record.Run
	bounds   record.Bounds
	requests map[string]*record.Request  // by id
	arrivals map[string][]record.Arrival // by request id, in the order of At
	targets  map[string]*record.Target   // by id
	contact  *contact
}

func newIndex(run *record.Run) *index {
	x := &index{
		run:      run,
		bounds:   run.Deployment.Bounds,
		requests: make(map[string]*record.Request, len(run.Requests)),
		arrivals: make(map[string][]record.Arrival, len(run.Requests)),
		targets:  make(map[string]*record.Target, len(run.Targets)),
		contact:  newContact(run),
	}
	for i := range run.Requests {
		x.requests[run.Requests[i].ID] = &run.Requests[i]
	}
	for _, a := range run.Arrivals {
		x.arrivals[a.Request] = append(x.arrivals[a.Request], a)
	}
	for i := range run.Targets {
		x.targets[run.Targets[i].ID] = &run.Targets[i]
	}
	return x
}

// route returns the route of a request.
func (x *index) route(q *record.Request) record.Route { return x.run.Deployment.Routes[q.Route] }

// allowed returns how long a request may take: its deadline or its route's timeout.
func (x *index) allowed(q *record.Request) time.Duration {
	timeout := x.route(q).Timeout
	if q.Deadline > 0 && (timeout <= 0 || q.Deadline < timeout) {
		return q.Deadline
	}
	return timeout
}

// endedInTime reports whether a request ended before its deadline and its route's timeout.
func (x *index) endedInTime(q *record.Request) bool {
	allowed := x.allowed(q)
	return allowed <= 0 || q.Ended.Sub(q.Sent) < allowed
}

// serviceAt returns the service to which a route is sent at the given time.
func (x *index) serviceAt(route string, at time.Time) string {
	service := x.run.Deployment.Routes[route].Service
	for _, v := range x.run.Versions {
		if !v.Acked.IsZero() && !v.Acked.After(at) {
			service = v.Services[route]
		}
	}
	return service
}

// last returns the arrival from which a request's answer was due, nil if none ran. A host may
// give up a target before it sent an event, and stay at the one before.
func last(arrivals []record.Arrival) *record.Arrival {
	var due *record.Arrival
	for i := range arrivals {
		a := &arrivals[i]
		gaveUp := a.Outcome == record.Canceled && a.Events == 0
		if !a.Ran || due != nil && gaveUp && due.Ended.After(a.Ended) {
			continue
		}
		due = a
	}
	return due
}

// unsafe reports whether a request of the route may run only once.
func unsafe(route record.Route) bool {
	return route.Kind != record.Idempotent && !route.Resumable
}
