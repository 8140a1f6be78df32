package judge

import (
	"fmt"
	"slices"
	"time"

	"corianderhitch/internal/drill/record"
)

// maxOverlap is how long a target may still work on a request that went on at another one.
const maxOverlap = 400 * time.Millisecond

// ranTwice finds requests that ran more than once although they may not.
func ranTwice(x *index) []Violation {
	var all []Violation
	for i := range x.run.Requests {
		q := &x.run.Requests[i]
		if !unsafe(x.route(q)) {
			continue
		}
		runs := 0
		for _, a := range x.arrivals[q.ID] {
			if !a.Ran || a.Continues {
				continue
			}
			if runs++; runs == 2 {
				all = append(all, Violation{Rule: Twice, At: a.At, Host: a.Host, Requests: []string{q.ID}, Text: "ran more than once: " + x.way(q)})
			}
		}
	}
	return all
}

// ranAtTwo finds requests that went on at another target while the one before still worked.
func ranAtTwo(x *index) []Violation {
	var all []Violation
	for i := range x.run.Requests {
		q := &x.run.Requests[i]
		if x.route(q).Kind != record.Streaming {
			continue
		}
		var before []record.Arrival
		for _, a := range x.arrivals[q.ID] {
			if !a.Ran {
				continue
			}
			for _, b := range before {
				if at, both := x.worksBeside(b, a); both {
					all = append(all, Violation{Rule: Twice, At: at, Host: b.Host, Requests: []string{q.ID},
						Text: fmt.Sprintf("%s still works on it at %s, %v after it went on at %s: %s", b.Target, x.clock(at), at.Sub(a.At), a.Target, x.way(q))})
				}
			}
			before = append(before, a)
		}
	}
	return all
}

// worksBeside reports when two targets have worked on a request at the same time for too
// long, without their silences, although the host of the first one was in touch. What that
// one does after the other has given up its part doesn't count.
func (x *index) worksBeside(before, after record.Arrival) (time.Time, bool) {
	end := before.Ended
	if gaveUp(after.Outcome) && after.Ended.Before(end) {
		end = after.Ended
	}
	if before.Target == after.Target {
		return time.Time{}, false
	}
	at, both := timeOutside(append(x.silences(before.Target), x.silences(after.Target)...), after.At, end, maxOverlap)
	return at, both && x.contact.inTouch(before.Host, at)
}

// gaveUp reports whether a target ended a run before its last event.
func gaveUp(o record.Outcome) bool {
	return o == record.Canceled || o == record.BrokeOff || o == record.Crashed
}

// silences returns the silences of a target in the order of their beginnings.
func (x *index) silences(target string) []record.Span {
	t := x.targets[target]
	if t == nil {
		return nil
	}
	return slices.Clone(t.Silences)
}

// timeOutside returns when more than d has passed since from, without the given silences, if
// that is before to.
func timeOutside(silences []record.Span, from, to time.Time, d time.Duration) (at time.Time, reached bool) {
	slices.SortFunc(silences, func(a, b record.Span) int { return a.From.Compare(b.From) })
	at = from.Add(d)
	for _, s := range silences {
		if s.From.Before(from) {
			s.From = from
		}
		if s.From.After(at) {
			break
		}
		if s.To.After(s.From) {
			at = at.Add(s.To.Sub(s.From))
			from = s.To // of a silence that overlaps only what follows counts
		}
	}
	return at, to.After(at)
}
