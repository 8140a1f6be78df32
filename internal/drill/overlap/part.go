// Package overlap measures how long several engines work on the same run, by what the stand-ins
// of the engines see.
package overlap

import (
	"slices"
	"time"

	"corianderhitch/internal/drill/record"
)

// Part is the work of one engine on a run.
type Part struct {
	Run    string // id of its request
	Engine string
	record.Span
	// FirstEvent is when the engine had sent its first event of the run, zero if it sent none.
	// Before that nobody knows that it has begun.
	FirstEvent time.Time
	GaveUp     bool          // it ended before the last event of the run
	Idle       []record.Span // its silences
}

// Overlap is a time in which an engine works on a run that has gone on at another one.
type Overlap struct {
	At    time.Time // when it has lasted too long
	Since time.Time // when the run went on at the other engine
	Other string    // that engine
}

// WorksBeside finds a time of more than most in which the engine of p works on a run that has gone
// on at the engines of later, in the order of their beginnings. The silences of p don't count, nor
// the times in which its host doesn't reach it. While the host is out of touch, that time counts but
// is not reported: it is once the host is in touch again, if the engine still works on the run.
//
// What follows the end of a part that was given up doesn't count: the run may be at the engine
// before. The silence of a later engine counts once that engine has sent an event.
func (p Part) WorksBeside(later []Part, most time.Duration, unreached, outOfTouch []record.Span) (Overlap, bool) {
	excused := slices.Concat(p.Idle, unreached)
	find := func(from, to time.Time, excused []record.Span) (time.Time, bool) {
		at, found := timeOutside(excused, from, to, most)
		if !found {
			return time.Time{}, false
		}
		return timeOutside(slices.Concat(excused, outOfTouch), at, to, 0)
	}
	for _, l := range later {
		if at, found := find(l.From, p.endBeside(l), slices.Concat(excused, l.Idle)); found {
			return Overlap{at, l.From, l.Engine}, true
		}
	}
	var sent []Part
	for _, l := range later {
		if !l.FirstEvent.IsZero() {
			sent = append(sent, l)
		}
	}
	slices.SortStableFunc(sent, func(a, b Part) int { return a.FirstEvent.Compare(b.FirstEvent) })
	for i := 0; i < len(sent); {
		first, end := sent[i], p.endBeside(sent[i])
		// A run that moves on is at no engine for a moment.
		for i++; i < len(sent) && sent[i].FirstEvent.Sub(end) <= most; i++ {
			end = latest(end, p.endBeside(sent[i]))
		}
		if at, found := find(first.FirstEvent, end, excused); found {
			return Overlap{at, first.FirstEvent, first.Engine}, true
		}
	}
	return Overlap{}, false
}

// endBeside returns until when the work of p counts beside a later part.
func (p Part) endBeside(l Part) time.Time {
	if l.GaveUp && l.To.Before(p.To) {
		return l.To
	}
	return p.To
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// timeOutside returns when more than d has passed since from, without the given spans, if that is
// before to.
func timeOutside(spans []record.Span, from, to time.Time, d time.Duration) (at time.Time, reached bool) {
	spans = slices.Clone(spans)
	slices.SortFunc(spans, func(a, b record.Span) int { return a.From.Compare(b.From) })
	at = from.Add(d)
	for _, s := range spans {
		if s.From.Before(from) {
			s.From = from
		}
		if s.From.After(at) {
			break
		}
		if s.To.After(s.From) {
			at = at.Add(s.To.Sub(s.From))
			from = s.To // of a span that overlaps only what follows counts
		}
	}
	return at, to.After(at)
}
