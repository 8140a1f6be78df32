package judge

import (
	"fmt"
	"slices"
	"time"

	"corianderhitch/internal/drill/record"
)

// How many targets must have crashed before hosts must know by what: by a repeated request, or
// by a part of prompts.
const (
	crashesOfRequest = 3
	crashesOfPart    = 5
)

// crashRetries finds requests that crash targets, and requests with a part that does, that
// are sent on when hosts must know.
func crashRetries(x *index) []Violation {
	groups := make(map[string][]record.Arrival)
	crashing := make(map[string]bool) // fingerprints of which each run ended in a crash
	for _, a := range x.run.Arrivals {
		q := x.requests[a.Request]
		if q == nil {
			continue
		}
		if q.Part != "" {
			groups["part "+q.Part] = append(groups["part "+q.Part], a)
			continue
		}
		if q.Fingerprint == "" {
			continue
		}
		key := "request " + q.Fingerprint
		groups[key] = append(groups[key], a)
		if seen, known := crashing[key]; a.Ran && (!known || seen) {
			crashing[key] = a.Outcome == record.Crashed
		}
	}
	var all []Violation
	for key, arrivals := range groups {
		crashes := crashesOfPart
		if x.requests[arrivals[0].Request].Part == "" {
			if crashes = crashesOfRequest; !crashing[key] {
				continue
			}
		}
		if v, broken := x.retriedAfterCrashes(key, crashes, arrivals); broken {
			all = append(all, v)
		}
	}
	return all
}

// retriedAfterCrashes judges the arrivals of one crashing request or part.
func (x *index) retriedAfterCrashes(key string, crashes int, arrivals []record.Arrival) (Violation, bool) {
	known, ok := crashNumber(crashes, arrivals)
	if !ok {
		return Violation{}, false
	}
	var late []string
	var latest time.Time
	for _, a := range arrivals {
		if a.At.After(known.Add(x.bounds.Contact)) && x.contact.inTouch(a.Host, a.At) {
			late = append(late, a.Request)
			latest = a.At
		}
	}
	if len(late) <= x.bounds.MaxCrashRetries {
		return Violation{}, false
	}
	return Violation{Rule: Budget, At: latest, Requests: late,
		Text: fmt.Sprintf("%s crashed %d targets until %s and was sent %d times later than %v after that:\n  %s",
			key, crashes, x.clock(known), len(late), x.bounds.Contact, x.ways(late))}, true
}

// crashNumber returns when the n-th target crashed that ran one of the arrivals.
func crashNumber(n int, arrivals []record.Arrival) (time.Time, bool) {
	first := make(map[string]time.Time) // by target
	for _, a := range arrivals {
		if a.Ran && a.Outcome == record.Crashed {
			if at, seen := first[a.Target]; !seen || a.Ended.Before(at) {
				first[a.Target] = a.Ended
			}
		}
	}
	if len(first) < n {
		return time.Time{}, false
	}
	times := make([]time.Time, 0, len(first))
	for _, at := range first {
		times = append(times, at)
	}
	slices.SortFunc(times, time.Time.Compare)
	return times[n-1], true
}
