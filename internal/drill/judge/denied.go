package judge

import (
	"fmt"
	"net/http"
	"time"

	"corianderhitch/internal/drill/record"
)

const (
	// maxDenied and deniedPer bound denials by hosts in touch: some, and one in so many
	// requests.
	maxDenied = 5
	deniedPer = 500
	// maxDeniedElsewhere bounds 401, 403 and 404 by hosts that are not in touch.
	maxDeniedElsewhere = 10
)

// deniedProper finds proper requests that hosts denied although each configuration that may
// be in force allows them.
func deniedProper(x *index) []Violation {
	var inTouch, elsewhere []string
	var latest time.Time
	for i := range x.run.Requests {
		q := &x.run.Requests[i]
		if !denied(q) {
			continue
		}
		switch {
		case x.contact.inTouchDuring(q.Host, q.Sent, q.Ended) && x.alwaysAllowed(q, x.mayBeInForce):
			inTouch = append(inTouch, q.ID)
		case unknownRouteOrKey(q.Status) && x.alwaysAllowed(q, func(int, *record.Request) bool { return true }):
			elsewhere = append(elsewhere, q.ID)
		default:
			continue
		}
		latest = q.Ended
	}
	var all []Violation
	if len(inTouch) > maxDenied+len(x.run.Requests)/deniedPer {
		all = append(all, Violation{Rule: Denied, At: latest, Requests: inTouch, Text: fmt.Sprintf("%d proper requests denied:\n  %s", len(inTouch), x.ways(inTouch))})
	}
	if len(elsewhere) > maxDeniedElsewhere {
		all = append(all, Violation{Rule: Denied, At: latest, Requests: elsewhere,
			Text: fmt.Sprintf("%d requests that all configurations allow denied by hosts out of touch:\n  %s", len(elsewhere), x.ways(elsewhere))})
	}
	return all
}

// denied reports whether a host ended a request with a 3xx or 4xx of its own.
func denied(q *record.Request) bool {
	return q.Status >= 300 && q.Status < 500 && !q.Signed && !promisesNotRun(q.Status)
}

// unknownRouteOrKey reports whether a status says that route or key are unknown.
func unknownRouteOrKey(status int) bool {
	return status == http.StatusUnauthorized || status == http.StatusForbidden || status == http.StatusNotFound
}

// alwaysAllowed reports whether all the configurations that count have the request's route.
func (x *index) alwaysAllowed(q *record.Request, counts func(int, *record.Request) bool) bool {
	for i, v := range x.run.Versions {
		if counts(i, q) && v.Services[q.Route] == "" {
			return false
		}
	}
	return true
}

// mayBeInForce reports whether a host may use a configuration while a request is open.
func (x *index) mayBeInForce(i int, q *record.Request) bool {
	if x.run.Versions[i].Sent.After(q.Ended) {
		return false
	}
	for _, newer := range x.run.Versions[i+1:] {
		if !newer.Acked.IsZero() && q.Sent.After(newer.Acked.Add(x.bounds.Apply)) {
			return false
		}
	}
	return true
}
