package judge

import (
	"fmt"
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

// worksBeside reports when a target still works although a request has gone on at another
// one, and its host can reach it.
func (x *index) worksBeside(before, after record.Arrival) (time.Time, bool) {
	from := after.At
	for {
		at := from.Add(maxOverlap)
		if before.Target == after.Target || !before.Ended.After(at) {
			return time.Time{}, false
		}
		if silence, silent := x.silence(before.Target, from, at); silent {
			from = silence.To
			continue
		}
		return at, x.contact.inTouch(before.Host, at)
	}
}

// silence returns a silence of a target that overlaps a time.
func (x *index) silence(target string, from, to time.Time) (record.Span, bool) {
	t := x.targets[target]
	if t == nil {
		return record.Span{}, false
	}
	for _, s := range t.Silences {
		if overlaps([]record.Span{s}, from, to) {
			return s, true
		}
	}
	return record.Span{}, false
}
