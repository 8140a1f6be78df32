package judge

import (
	"fmt"
	"time"

	"corianderhitch/internal/drill/record"
)

const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5 // of what the limit allows in a window
	limitSlack  = 5   // requests beyond that
	// limitNotice is how long before a request its host must have passed on an answer that
	// names the limit.
	limitNotice = 500 * time.Millisecond
)

// overLimits finds targets that got more requests than the limits that they had named.
func overLimits(x *index) []Violation {
	var all []Violation
	for i := range x.run.Targets {
		t := &x.run.Targets[i]
		for _, l := range t.Limits {
			if v := x.overLimit(t, l); v != nil {
				all = append(all, *v)
			}
		}
	}
	return all
}

// overLimit returns the fullest window of a target with a limit, if it is over the limit.
func (x *index) overLimit(t *record.Target, l record.Limit) *Violation {
	until := l.To
	if until.IsZero() {
		until = forever
	}
	counted := x.sendsWithNotice(t, l.From, until)
	allowed := limitFactor*l.PerSecond*limitWindow.Seconds() + limitSlack
	var worst []record.Arrival
	for first, last := 0, 0; last < len(counted); last++ {
		for counted[last].At.Sub(counted[first].At) >= limitWindow {
			first++
		}
		if window := counted[first : last+1]; !counted[last].At.Before(l.From.Add(x.bounds.Contact)) && len(window) > len(worst) {
			worst = window
		}
	}
	if float64(len(worst)) <= allowed {
		return nil
	}
	ids := make([]string, 0, len(worst))
	for _, a := range worst {
		ids = append(ids, a.Request)
	}
	return &Violation{Rule: Limit, At: worst[len(worst)-1].At, Requests: ids,
		Text: fmt.Sprintf("%s names a limit of %.1f a second and got %d requests in %v from hosts that it had told; %.0f are allowed", t.ID, l.PerSecond, len(worst), limitWindow, allowed)}
}

// sendsWithNotice returns the arrivals at a target from hosts that had passed on an answer with
// its limit limitNotice before, and whose processes ran undisturbed since.
func (x *index) sendsWithNotice(t *record.Target, from, until time.Time) []record.Arrival {
	told := make(map[string]time.Time) // first such answer, by host
	for _, a := range x.run.Arrivals {
		q := x.requests[a.Request]
		if a.Target != t.ID || !a.Limited || a.At.Before(from) || q == nil || q.HeadAt.IsZero() {
			continue
		}
		if first, ok := told[a.Host]; !ok || q.HeadAt.Before(first) {
			told[a.Host] = q.HeadAt
		}
	}
	var out []record.Arrival
	for _, a := range x.run.Arrivals {
		first, ok := told[a.Host]
		if a.Target == t.ID && ok && a.At.Sub(first) >= limitNotice && a.At.Before(until) && x.contact.runsUndisturbed(a.Host, first, a.At) {
			out = append(out, a)
		}
	}
	return out
}

const (
	// maxFalls, and one in fallsPer of a service's targets, may fall over in one time in which
	// they are brittle.
	maxFalls = 2
	fallsPer = 10
)

// fallenTooOften finds services whose brittle targets were made to fall over too often.
func fallenTooOften(x *index) []Violation {
	var all []Violation
	for _, b := range x.run.Brittle {
		falls := 0
		for i := range x.run.Targets {
			t := &x.run.Targets[i]
			if t.Fell && t.Service == b.Service && !t.Ended.Before(b.From.Add(x.bounds.Contact)) && !t.Ended.After(b.To) {
				falls++
			}
		}
		if allowed := maxFalls + float64(b.Targets)/fallsPer; float64(falls) > allowed {
			all = append(all, Violation{Rule: Limit, At: b.To, Text: fmt.Sprintf("brittle targets of %s fell over %d times since %s; %.1f are allowed", b.Service, falls, x.clock(b.From), allowed)})
		}
	}
	return all
}
