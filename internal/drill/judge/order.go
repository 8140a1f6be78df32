package judge

import (
	"fmt"

	"corianderhitch/internal/drill/record"
)

// outOfOrder finds streams that ended as complete with another number of events than theirs.
func outOfOrder(x *index) []Violation {
	var all []Violation
	for i := range x.run.Requests {
		q := &x.run.Requests[i]
		if x.route(q).Kind != record.Streaming || !succeeded(q.Status) || q.Expected == 0 {
			continue
		}
		if q.Events > q.Expected || q.Complete && q.Events < q.Expected {
			all = append(all, Violation{Rule: Order, At: q.Ended, Host: q.Host, Requests: []string{q.ID},
				Text: fmt.Sprintf("%d events of %d: %s", q.Events, q.Expected, x.way(q))})
		}
	}
	return all
}

// succeeded reports whether a status is a success.
func succeeded(status int) bool { return status >= 200 && status < 300 }
