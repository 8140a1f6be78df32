package judge

import (
	"fmt"
	"net/http"
	"testing"

	"corianderhitch/internal/drill/record"
)

// killHost adds the end of a host's process that does not start again.
func killHost(run *record.Run, host string, seconds float64) {
	for _, e := range []record.Event{record.Killed, record.Exited} {
		added := event(e, seconds)
		added.Host = host
		run.HostEvents = append(run.HostEvents, added)
	}
}

// sendTries adds first tries at a host, one every 10 ms, of which the first are served.
func sendTries(run *record.Run, host string, sent, served int, from float64) {
	for i := range sent {
		id := fmt.Sprintf("%s-%v-%d", host, from, i)
		q := request(id, "check", from+float64(i)/100, from+float64(i)/100+0.01)
		q.Host, q.Call, q.Status = host, id, http.StatusServiceUnavailable
		if i < served {
			q.Status, q.Complete = http.StatusOK, true
		}
		run.Requests = append(run.Requests, q)
	}
}

func TestUnservedWhileCut(t *testing.T) {
	prepare := func() *record.Run {
		run := newRun()
		run.Cuts = []record.Cut{{Span: span(10, 30), Hosts: []string{"host-1"}}}
		sendTries(run, "host-2", 100, 90, 14)
		return run
	}
	requireCases(t, unservedWhileCut, prepare, map[string]violationCase{
		"served as the others": {func(run *record.Run) { sendTries(run, "host-1", 50, 45, 14) }, false},
		"served by two thirds": {func(run *record.Run) { sendTries(run, "host-1", 50, 30, 14) }, false},
		"served by less":       {func(run *record.Run) { sendTries(run, "host-1", 50, 29, 14) }, true},
		"requests that crash their targets": {func(run *record.Run) {
			sendTries(run, "host-1", 50, 0, 14)
			for i := range run.Requests {
				run.Requests[i].Crashes = run.Requests[i].Host == "host-1"
			}
		}, false},
		"few fail":         {func(run *record.Run) { sendTries(run, "host-1", 12, 0, 14) }, false},
		"before the bound": {func(run *record.Run) { sendTries(run, "host-1", 50, 0, 11) }, false},
		"after the cut":    {func(run *record.Run) { sendTries(run, "host-1", 50, 0, 31) }, false},
		"host restarted": {func(run *record.Run) {
			run.HostEvents = []record.HostEvent{event(record.Term, 13)}
			sendTries(run, "host-1", 50, 0, 14)
		}, false},
		"store was away": {func(run *record.Run) {
			run.Outages = []record.Span{span(9, 12)}
			sendTries(run, "host-1", 50, 0, 14)
		}, false},
		"store was away long before": {func(run *record.Run) {
			run.Outages = []record.Span{span(9, 10.9)}
			sendTries(run, "host-1", 50, 0, 14)
		}, true},
		"all others were killed": {func(run *record.Run) {
			killHost(run, "host-2", 15.5)
			sendTries(run, "host-1", 50, 0, 16)
		}, false},
		"one other was killed": {func(run *record.Run) {
			killHost(run, "host-2", 15.5)
			sendTries(run, "host-1", 50, 0, 16)
			sendTries(run, "host-3", 1, 1, 17)
		}, true},
		"all others are cut off by another cut": {func(run *record.Run) {
			run.Cuts = append(run.Cuts, record.Cut{Span: span(15.5, 20), Hosts: []string{"host-2"}})
			sendTries(run, "host-1", 50, 0, 16)
		}, false},
		"repeats of rejected ones": {func(run *record.Run) {
			sendTries(run, "host-1", 12, 0, 14)
			for range 50 {
				run.Requests = append(run.Requests, run.Requests[len(run.Requests)-1])
			}
		}, false},
	})
}
