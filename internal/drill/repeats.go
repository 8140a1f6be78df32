package drill

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"corianderhitch/internal/drill/record"
)

// printRepeats prints for each service the window that came closest to the retry budget.
func printRepeats(w io.Writer, run *record.Run) {
	services := make(map[string]bool)
	for i := range run.Arrivals {
		services[run.Arrivals[i].Service] = true
	}
	for _, service := range slices.Sorted(maps.Keys(services)) {
		repeats, requests := countRepeats(run, service)
		b := run.Deployment.Bounds
		most, allowed := 0, 0.0
		for i, at := range repeats {
			n := 0
			for j := i; j < len(repeats) && repeats[j].Sub(at) <= b.RetryWindow; j++ {
				n++
			}
			limit := b.RetryRatio*float64(requestsAround(requests, at, b.RetryWindow)) + float64(b.RetrySlack)
			if most == 0 || float64(n)-limit > float64(most)-allowed {
				most, allowed = n, limit
			}
		}
		fmt.Fprintf(w, "repeats at %s: %d in %v at most, %.1f allowed then\n", service, most, b.RetryWindow, allowed)
	}
}

// countRepeats returns the times of the arrivals beyond the first of each request, and those
// of the requests for a service.
func countRepeats(run *record.Run, service string) (repeats, requests []time.Time) {
	first := make(map[string]bool)
	for i := range run.Arrivals {
		a := &run.Arrivals[i]
		if first[a.Request] && a.Service == service && !a.Continues {
			repeats = append(repeats, a.At)
		}
		first[a.Request] = true
	}
	for i := range run.Requests {
		r := &run.Requests[i]
		if serviceAt(run, r) == service {
			requests = append(requests, r.Sent)
		}
	}
	return repeats, requests
}

// serviceAt returns the service of the newest configuration when a request was sent.
func serviceAt(run *record.Run, r *record.Request) string {
	service := run.Deployment.Routes[r.Route].Service
	for _, v := range run.Versions {
		if v.Acked.Before(r.Sent) && v.Services[r.Route] != "" {
			service = v.Services[r.Route]
		}
	}
	return service
}

// requestsAround returns the most requests of a window, the one before it and the one half a
// window before it.
func requestsAround(requests []time.Time, from time.Time, window time.Duration) int {
	most := 0
	for _, start := range []time.Time{from, from.Add(-window), from.Add(-window / 2)} {
		n := 0
		for _, at := range requests {
			if !at.Before(start) && at.Before(start.Add(window)) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
