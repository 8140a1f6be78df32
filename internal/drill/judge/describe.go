package judge

import (
	"fmt"
	"strings"
	"time"

	"corianderhitch/internal/drill/record"
)

// clock prints a time as seconds since the run began.
func (x *index) clock(at time.Time) string {
	if at.IsZero() {
		return "-"
	}
	return fmt.Sprintf("%.3f", at.Sub(x.run.Began).Seconds())
}

// way describes the way of a request over host and targets.
func (x *index) way(q *record.Request) string {
	var b strings.Builder
	fmt.Fprintf(&b, "id %s %s at host %s sent %s..%s end %s ", q.ID, q.Route, q.Host, x.clock(q.Sent), x.clock(q.SentWhole), x.clock(q.Ended))
	if !q.Complete {
		b.WriteString("closed ")
	}
	fmt.Fprintf(&b, "status %d", q.Status)
	if q.Expected > 0 {
		fmt.Fprintf(&b, " events %d/%d last byte %s", q.Events, q.Expected, x.clock(q.LastByte))
	}
	for _, a := range x.arrivals[q.ID] {
		b.WriteString(" " + x.arrival(a))
	}
	return b.String()
}

// arrival describes what a target saw.
func (x *index) arrival(a record.Arrival) string {
	domain := ""
	if t := x.targets[a.Target]; t != nil {
		domain = t.Domain
	}
	text := fmt.Sprintf("[%s %s %s from %s at %s", a.Target, a.Service, domain, a.Host, x.clock(a.At))
	if a.Continues {
		text += " continues"
	}
	if a.Ran {
		text += " ran"
	}
	text += " " + string(a.Outcome)
	if !a.Ended.IsZero() {
		text += " at " + x.clock(a.Ended)
	}
	return text + "]"
}

// maxWays bounds the requests that a text describes.
const maxWays = 40

// ways describes several requests, one a line.
func (x *index) ways(ids []string) string {
	lines := make([]string, 0, len(ids))
	for n, id := range ids {
		if n == maxWays {
			lines = append(lines, fmt.Sprintf("and %d more", len(ids)-n))
			break
		}
		if q := x.requests[id]; q != nil {
			lines = append(lines, x.way(q))
		}
	}
	return strings.Join(lines, "\n  ")
}
