package judge

import (
	"slices"

	"corianderhitch/internal/drill/record"
)

// mixedUp finds requests that went on from the memory of others, and successes that no target gave.
func mixedUp(x *index) []Violation {
	var all []Violation
	for i := range x.run.Requests {
		q := &x.run.Requests[i]
		arrivals := x.arrivals[q.ID]
		for _, a := range arrivals {
			if a.Memory != "" && a.Memory != q.ID {
				all = append(all, Violation{Rule: Mixed, At: a.At, Host: a.Host, Requests: []string{q.ID, a.Memory}, Text: "went on from the memory of " + a.Memory + ": " + x.way(q)})
			}
		}
		if !succeeded(q.Status) {
			continue
		}
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
