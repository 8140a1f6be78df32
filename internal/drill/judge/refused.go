package judge

import "net/http"

// rejectedAndRan finds requests that may run only once, were rejected with a status that says
// that they did not run, and ran.
func rejectedAndRan(x *index) []Violation {
	var all []Violation
	for i := range x.run.Requests {
		q := &x.run.Requests[i]
		if !unsafe(x.route(q)) || !promisesNotRun(q.Status) {
			continue
		}
		for _, a := range x.arrivals[q.ID] {
			if a.Ran {
				all = append(all, Violation{Rule: Refused, At: a.At, Host: a.Host, Requests: []string{q.ID}, Text: "rejected and has run: " + x.way(q)})
				break
			}
		}
	}
	return all
}

// promisesNotRun reports whether a status promises that a request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
