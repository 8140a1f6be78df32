package judge

import "fmt"

// sentToLeaving finds requests that reach a target too long after its leaving notice.
func sentToLeaving(x *index) []Violation {
	var all []Violation
	for _, a := range x.run.Arrivals {
		t, q := x.targets[a.Target], x.requests[a.Request]
		if t == nil || q == nil || t.Leaving.IsZero() || !a.At.After(t.Leaving.Add(x.bounds.Drain)) || !x.contact.storeStable(t.Leaving) {
			continue
		}
		if !x.contact.inTouch(a.Host, a.At) || !x.contact.inTouch(q.Host, q.Sent) {
			continue
		}
		all = append(all, Violation{Rule: Drain, At: a.At, Host: a.Host, Requests: []string{q.ID},
			Text: fmt.Sprintf("reached %s, leaving since %s, %v later: %s", t.ID, x.clock(t.Leaving), a.At.Sub(t.Leaving), x.way(q))})
	}
	return all
}
