package judge

import (
	"slices"

	"corianderhitch/internal/drill/record"
)

// mixedUp finds successes that no target gave.
func mixedUp(x *index) []Violation {
	var all []Violation
	for i := range x.run.Requests {
		q := &x.run.Requests[i]
		if !succeeded(q.Status) {
			continue
		}
		arrivals := x.arrivals[q.ID]
		text := ""
		switch {
		case !q.Signed:
			text = "a success without a target's signature: "
		case last(arrivals) == nil:
			text = "a success that no target gave: "
		case !slices.ContainsFunc(arrivals, func(a record.Arrival) bool { return a.Ran && a.Outcome != record.Failed }):
			text = "a success where the target failed: "
		default:
			continue
		}
		all = append(all, Violation{Rule: Mixed, At: q.Ended, Host: q.Host, Requests: []string{q.ID}, Text: text + x.way(q)})
	}
	return all
}
