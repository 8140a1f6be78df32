package judge

import (
	"fmt"
	"slices"
	"time"

	"corianderhitch/internal/drill/overlap"
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
		parts := x.parts(q.ID)
		for n, before := range parts {
			o, both := x.worksBeside(q, before, parts[n+1:])
			if both {
				all = append(all, Violation{Rule: Twice, At: o.At, Host: q.Host, Requests: []string{q.ID},
					Text: fmt.Sprintf("%s still works on it at %s, %v after it went on at %s: %s", before.Engine, x.clock(o.At), o.At.Sub(o.Since), o.Other, x.way(q))})
			}
		}
	}
	return all
}

// parts returns the work of all targets on a request, in the order of their arrivals. One that read
// its prompt and sent no event has worked as well, unless it says that it didn't run the request.
func (x *index) parts(id string) []overlap.Part {
	var out []overlap.Part
	for _, a := range x.arrivals[id] {
		p := overlap.Part{Run: id, Engine: a.Target, Span: a.Work, FirstEvent: a.FirstEvent, GaveUp: gaveUp(a.Outcome), Idle: x.silences(a.Target)}
		switch {
		case a.Ran && a.Ended.IsZero(): // at work at the end of the record
			p.Span = record.Span{From: a.At, To: x.run.Ended}
		case a.Ran:
			p.Span = record.Span{From: a.At, To: a.Ended}
		case p.From.IsZero() || a.Outcome == record.Rejected:
			continue
		}
		out = append(out, p)
	}
	return out
}

// worksBeside reports when a target has worked on a request for too long that has gone on at another
// one, although the host that sent it is in touch.
func (x *index) worksBeside(q *record.Request, before overlap.Part, later []overlap.Part) (overlap.Overlap, bool) {
	later = slices.DeleteFunc(slices.Clone(later), func(l overlap.Part) bool { return l.Engine == before.Engine })
	return before.WorksBeside(later, maxOverlap, nil, x.contact.outOfTouch(q.Host))
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

// TimeAtTwo sums up the time in which two engines worked on a request, whatever the reason.
func TimeAtTwo(run *record.Run) overlap.Summary {
	x := newIndex(run)
	var parts []overlap.Part
	for _, a := range run.Arrivals {
		if !a.Work.From.IsZero() {
			parts = append(parts, overlap.Part{Run: a.Request, Engine: a.Target, Span: a.Work, Idle: x.silences(a.Target)})
		}
	}
	return overlap.Summarize(parts)
}
