package judge

import (
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"

	"corianderhitch/internal/drill/record"
)

const (
	// afterGrace is how long after the grace period a stop still counts as planned work.
	afterGrace = time.Second
	// afterApply is the same for a configuration that is in force.
	afterApply = time.Second
	// lateAfterTerm is how long after SIGTERM a request may be sent that ends with the
	// grace period.
	lateAfterTerm = 3 * time.Second
	// cutsBeside is by how much more often a host must cut requests beside configurations.
	cutsBeside = 3
	// usedShare is the share of its time after which a request cut beside a configuration
	// doesn't count.
	usedShare = 0.7
)

// lostAroundPlannedWork finds requests that planned work of a host or of the operator cost a
// complete answer.
func lostAroundPlannedWork(x *index) []Violation {
	var (
		all    []Violation
		beside = make(map[string][]*record.Request) // by host, cut beside a configuration
		other  = make(map[string]int)               // by host, cut at other times
	)
	for i := range x.run.Requests {
		q := &x.run.Requests[i]
		if !x.cut(q) {
			continue
		}
		stop, hup := x.stopAround(q), x.hupBefore(q)
		switch {
		case !stop.IsZero() && x.workedToEnd(q, stop):
		case !stop.IsZero():
			all = append(all, x.lost(q, "SIGTERM to "+q.Host, stop))
		case !hup.IsZero():
			all = append(all, x.lost(q, "SIGHUP to "+q.Host, hup))
		case !x.versionAround(q).IsZero():
			beside[q.Host] = append(beside[q.Host], q)
		default:
			other[q.Host]++
		}
	}
	spans := x.configurationSpans()
	within := total(spans)
	outside := x.run.Ended.Sub(x.run.Began) - within
	for host, cuts := range beside {
		if float64(len(cuts))*outside.Seconds() <= cutsBeside*float64(other[host])*within.Seconds() {
			continue
		}
		for _, q := range cuts {
			if allowed := x.allowed(q); allowed > 0 && q.Ended.Sub(q.Sent).Seconds() >= usedShare*allowed.Seconds() {
				continue
			}
			all = append(all, x.lost(q, "configuration", x.versionAround(q)))
		}
	}
	return all
}

// cut reports whether a host that nothing disrupted has read a whole request and closed its
// connection without a complete answer, although target and time would have allowed one.
func (x *index) cut(q *record.Request) bool {
	if q.Complete || q.GaveUp || q.Ended.IsZero() || q.SentWhole.IsZero() {
		return false
	}
	arrivals := x.arrivals[q.ID]
	if len(arrivals) == 0 && (q.Ended.Sub(q.SentWhole) <= x.bounds.Lost || maybeUnread(q)) {
		return false
	}
	return x.endedInTime(q) && !brokeOff(arrivals) && x.contact.undisrupted(q.Host, q.Sent, q.Ended)
}

// maybeUnread reports whether a host may have closed a connection without having read the
// request: closing one with unread bytes resets it.
func maybeUnread(q *record.Request) bool {
	return q.HeadAt.IsZero() && strings.Contains(q.Error, syscall.ECONNRESET.Error())
}

// brokeOff reports whether the target from which the answer was due broke it off.
func brokeOff(arrivals []record.Arrival) bool {
	a := last(arrivals)
	if a == nil {
		return false
	}
	// A run that was stopped for its move is due from its destination, even before it begins there.
	if final := &arrivals[len(arrivals)-1]; a.Outcome == record.Stopped && final.Continues {
		a = final
	}
	return a.Outcome == record.Crashed || a.Outcome == record.BrokeOff
}

// stopAround returns the SIGTERM whose planned work covers the end of a request; zero if
// there is none.
func (x *index) stopAround(q *record.Request) time.Time {
	var at time.Time
	for _, term := range x.contact.of(q.Host).stops {
		if !q.Ended.Before(term) && !q.Ended.After(term.Add(x.bounds.Grace+afterGrace)) {
			at = term
		}
	}
	return at
}

// workedToEnd reports whether the target was at work in the last sixth of the grace period on
// a request that was sent in time.
func (x *index) workedToEnd(q *record.Request, term time.Time) bool {
	a := last(x.arrivals[q.ID])
	return a != nil && !q.SentWhole.After(term.Add(lateAfterTerm)) && !a.Ended.Before(term.Add(x.bounds.Grace*5/6))
}

// hupBefore returns the last SIGHUP of the host around which a request was cut; zero if there
// is none.
func (x *index) hupBefore(q *record.Request) time.Time {
	var at time.Time
	for _, hup := range x.contact.of(q.Host).hups {
		if q.Ended.After(hup) && !q.Sent.After(hup.Add(x.bounds.Apply)) {
			at = hup
		}
	}
	return at
}

// versionAround returns when the configuration was sent beside which a request ended; zero if
// there is none.
func (x *index) versionAround(q *record.Request) time.Time {
	for i, v := range slices.Backward(x.run.Versions) {
		if s := x.versionSpan(i); !q.Ended.Before(s.From) && !q.Ended.After(s.To) {
			return v.Sent
		}
	}
	return time.Time{}
}

// versionSpan returns when the planned work of a configuration lasts.
func (x *index) versionSpan(i int) record.Span {
	v := x.run.Versions[i]
	if v.Acked.IsZero() {
		return record.Span{From: v.Sent, To: x.run.Ended}
	}
	return record.Span{From: v.Sent, To: v.Acked.Add(x.bounds.Apply + afterApply)}
}

// configurationSpans returns when planned work of configurations lasts within the run, without
// overlaps.
func (x *index) configurationSpans() []record.Span {
	var out []record.Span
	for i := range x.run.Versions {
		s := x.versionSpan(i)
		if s.To.After(x.run.Ended) {
			s.To = x.run.Ended
		}
		if s.From.Before(x.run.Began) {
			s.From = x.run.Began
		}
		if n := len(out); n > 0 && out[n-1].To.After(s.From) {
			s.From = out[n-1].To
		}
		if s.To.After(s.From) {
			out = append(out, s)
		}
	}
	return out
}

// total returns how long spans last together.
func total(spans []record.Span) time.Duration {
	var sum time.Duration
	for _, s := range spans {
		sum += s.To.Sub(s.From)
	}
	return sum
}

// lost describes a request that was lost around planned work. Disruption of the store is
// named, since it excuses nothing.
func (x *index) lost(q *record.Request, work string, at time.Time) Violation {
	if overlaps(x.run.Outages, q.Sent.Add(-x.bounds.Contact), q.Ended) {
		work += " beside disruption of the store"
	}
	return Violation{Rule: Lost, At: q.Ended, Host: q.Host, Requests: []string{q.ID},
		Text: fmt.Sprintf("no whole answer around %s at %s (its time %.3f s): %s", work, x.clock(at), x.allowed(q).Seconds(), x.way(q))}
}
