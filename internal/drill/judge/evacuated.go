package judge

import "fmt"

// sentToEvacuated finds requests that reach a target of a failure domain later than the bound after its
// evacuation was acknowledged, and before it was taken back. An outage of the store is no excuse: hosts
// that can't confirm their state reject requests. A process that was frozen may finish what it was at.
func sentToEvacuated(x *index) []Violation {
	if x.bounds.Evacuate <= 0 {
		return nil
	}
	var all []Violation
	for _, a := range x.run.Arrivals {
		t, q := x.targets[a.Target], x.requests[a.Request]
		if t == nil || q == nil || overlaps(x.contact.of(a.Host).unplanned, a.At.Add(-x.bounds.Contact), a.At) {
			continue
		}
		for _, e := range x.run.Evacuated {
			if e.Domain == t.Domain && a.At.After(e.From.Add(x.bounds.Evacuate)) && a.At.Before(e.To) {
				all = append(all, Violation{Rule: Evac, At: a.At, Host: a.Host, Requests: []string{q.ID},
					Text: fmt.Sprintf("reached %s in %s, evacuated since %s, %v later: %s", t.ID, t.Domain, x.clock(e.From), a.At.Sub(e.From), x.way(q))})
			}
		}
	}
	return all
}
