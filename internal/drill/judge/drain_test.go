package judge

import (
	"testing"
	"time"

	"corianderhitch/internal/drill/record"
)

func TestSentAfterNotice(t *testing.T) {
	send := func(run *record.Run, id, host string, sent float64) {
		q, a := request(id, "check", sent, sent+0.1), arrival(id, "t-1", sent, sent+0.1)
		q.Host, a.Host = host, host
		run.Requests, run.Arrivals = append(run.Requests, q), append(run.Arrivals, a)
	}
	prepare := func() *record.Run {
		run := newRun()
		send(run, "r-1", "host-1", 20)
		run.Requests[0].HeadAt, run.Arrivals[0].Leaving = at(20.1), true
		return run
	}
	requireCases(t, sentAfterNotice, prepare, map[string]violationCase{
		"sent later":                 {func(r *record.Run) { send(r, "r-2", "host-1", 22.2) }, true},
		"sent in time":               {func(r *record.Run) { send(r, "r-2", "host-1", 22) }, false},
		"sent in time, arrived late": {func(r *record.Run) { send(r, "r-2", "host-1", 22); r.Arrivals[1].At = at(24) }, false},
		"by another host":            {func(r *record.Run) { send(r, "r-2", "host-2", 23) }, false},
		"the answer was not passed on": {func(r *record.Run) {
			send(r, "r-2", "host-1", 23)
			r.Requests[0].HeadAt = time.Time{}
		}, false},
		"perhaps the answer of another target": {func(r *record.Run) {
			r.Arrivals = append(r.Arrivals, arrival("r-1", "t-2", 20.01, 20.1))
			send(r, "r-2", "host-1", 23)
		}, false},
		"the host was restarted": {func(r *record.Run) {
			r.HostEvents = []record.HostEvent{event(record.Term, 21), event(record.Exited, 22), event(record.Started, 22.5)}
			send(r, "r-2", "host-1", 24)
		}, false},
		"the host was frozen": {func(r *record.Run) {
			r.HostEvents = []record.HostEvent{event(record.Frozen, 21), event(record.Thawed, 22)}
			send(r, "r-2", "host-1", 23)
		}, false},
		"the store was away": {func(r *record.Run) { r.Outages = []record.Span{span(10, 30)}; send(r, "r-2", "host-1", 23) }, true},
		"the host was cut off": {func(r *record.Run) {
			r.Cuts = []record.Cut{{Span: span(21, 30), Hosts: []string{"host-1"}}}
			send(r, "r-2", "host-1", 23)
		}, true},
	})
}
