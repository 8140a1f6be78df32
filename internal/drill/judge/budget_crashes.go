package judge

import (
	"fmt"
	"slices"
	"time"

	"corianderhitch/internal/drill/record"
)

// crashesKnown is the number of targets after which a host must know what crashes them.
const crashesKnown = 3

// crashRetries finds requests that crash targets, and requests with a part that does, that
// are sent on after their third crash.
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
		if x.requests[arrivals[0].Request].Part == "" && !crashing[key] {
			continue
		}
		if v, broken := x.retriedAfterCrashes(key, arrivals); broken {
			all = append(all, v)
		}
	}
	return all
}

// retriedAfterCrashes judges the arrivals of one crashing request or part.
func (x *index) retriedAfterCrashes(key string, arrivals []record.Arrival) (Violation, bool) {
	third, known := thirdCrash(arrivals)
	if !known {
		return Violation{}, false
	}
	var late []string
	var latest time.Time
	for _, a := range arrivals {
		if a.At.After(third.Add(x.bounds.Contact)) && x.contact.inTouch(a.Host, a.At) {
			late = append(late, a.Request)
			latest = a.At
		}
	}
	if len(late) <= x.bounds.MaxCrashRetries {
		return Violation{}, false
	}
	return Violation{Rule: Budget, At: latest, Requests: late,
		Text: fmt.Sprintf("%s crashed its third target at %s and was sent %d times later than %v after that:\n  %s",
			key, x.clock(third), len(late), x.bounds.Contact, x.ways(late))}, true
}

// thirdCrash returns when the third target crashed that ran one of the arrivals.
func thirdCrash(arrivals []record.Arrival) (time.Time, bool) {
	first := make(map[string]time.Time) // by target
	for _, a := range arrivals {
		if a.Ran && a.Outcome == record.Crashed {
			if at, seen := first[a.Target]; !seen || a.Ended.Before(at) {
				first[a.Target] = a.Ended
			}
		}
	}
	if len(first) < crashesKnown {
		return time.Time{}, false
	}
	times := make([]time.Time, 0, len(first))
	for _, at := range first {
		times = append(times, at)
	}
	slices.SortFunc(times, time.Time.Compare)
	return times[crashesKnown-1], true
}
