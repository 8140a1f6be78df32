package judge

import (
	"fmt"
	"time"

	"corianderhitch/internal/drill/record"
)

const (
	// deadlineSlack is how much longer than the caller's a deadline handed on may be.
	deadlineSlack = 500 * time.Millisecond
	// lateRepeat is how long after its first arrival a repeat states less time.
	lateRepeat = 500 * time.Millisecond
	// maxTimeExcess is how many arrivals may state too much time.
	maxTimeExcess = 20
	// timeExcessShare is the share of late repeats that may.
	timeExcessShare = 0.2
)

// excessTime finds deadlines beyond the caller's that were handed on. Streams are judged by
// themselves, so that neither they nor calls dilute the share of the others.
func excessTime(x *index) []Violation {
	var calls, streams timeExcess
	for i := range x.run.Requests {
		q := &x.run.Requests[i]
		if x.route(q).Kind == record.Streaming {
			streams.add(x, q)
		} else {
			calls.add(x, q)
		}
	}
	return append(calls.judge(x), streams.judge(x)...)
}

// timeExcess counts arrivals that state too much time.
type timeExcess struct {
	ids        []string
	latest     time.Time
	population int // these and late repeats
}

// add counts the arrivals of a request that hosts in touch sent.
func (e *timeExcess) add(x *index, q *record.Request) {
	if q.Deadline <= 0 {
		return
	}
	arrivals := x.arrivals[q.ID]
	for n, a := range arrivals {
		if !x.contact.inTouch(a.Host, a.At) {
			continue
		}
		late := n > 0 && a.At.Sub(arrivals[0].At) > lateRepeat
		tooLong := a.Deadline < 0 || a.Deadline > q.Deadline+deadlineSlack || late && endsLater(q, arrivals[0], a)
		if late || tooLong {
			e.population++
		}
		if tooLong {
			e.ids = append(e.ids, q.ID)
			e.latest = a.At
		}
	}
}

// judge returns a violation if too many arrivals were counted.
func (e *timeExcess) judge(x *index) []Violation {
	if len(e.ids) <= maxTimeExcess || float64(len(e.ids)) <= timeExcessShare*float64(e.population) {
		return nil
	}
	return []Violation{{Rule: Budget, At: e.latest, Requests: e.ids,
		Text: fmt.Sprintf("%d arrivals state more time than is left, of %d such and late repeats:\n  %s", len(e.ids), e.population, x.ways(e.ids))}}
}

// endsLater reports whether the deadline of a repeat ends after the first arrival's and the
// caller's.
func endsLater(q *record.Request, first, repeat record.Arrival) bool {
	end := q.Sent.Add(q.Deadline)
	if f := first.At.Add(first.Deadline); first.Deadline >= 0 && f.After(end) {
		end = f
	}
	return repeat.At.Add(repeat.Deadline).Sub(end) > deadlineSlack
}
