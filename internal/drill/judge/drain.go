package judge

import (
	"fmt"
	"time"
)

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

// sentAfterNotice finds requests that reach a target from a host too long after this host had
// passed on an answer in which the target states that it leaves.
func sentAfterNotice(x *index) []Violation {
	type pair struct{ host, target string }
	told := make(map[pair]time.Time) // when the first such answer was passed on
	for _, a := range x.run.Arrivals {
		q := x.requests[a.Request]
		if !a.Leaving || q == nil || q.HeadAt.IsZero() || len(x.arrivals[a.Request]) > 1 {
			continue // with several arrivals it is unknown whose answer the host passed on
		}
		key := pair{a.Host, a.Target}
		if first, ok := told[key]; !ok || q.HeadAt.Before(first) {
			told[key] = q.HeadAt
		}
	}
	var all []Violation
	for _, a := range x.run.Arrivals {
		q, first := x.requests[a.Request], told[pair{a.Host, a.Target}]
		if q == nil || first.IsZero() || !q.Sent.After(first.Add(x.bounds.Drain)) || !x.contact.runsUndisturbed(a.Host, first, a.At) {
			continue
		}
		all = append(all, Violation{Rule: Drain, At: a.At, Host: a.Host, Requests: []string{q.ID},
			Text: fmt.Sprintf("reached %s, sent %v after its host had passed on that the target leaves: %s", a.Target, q.Sent.Sub(first), x.way(q))})
	}
	return all
}
