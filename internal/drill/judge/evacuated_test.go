package judge

import (
	"testing"
	"time"

	"corianderhitch/internal/drill/record"
)

// A judge that looks at the wrong domain or time misses requests, or reports sound ones.
func TestSentToEvacuated(t *testing.T) {
	send := func(run *record.Run, seconds float64) {
		run.Requests = append(run.Requests, request("r-1", "draft", seconds, seconds+0.5))
		run.Arrivals = append(run.Arrivals, arrival("r-1", "t-1", seconds, seconds+0.5))
	}
	prepare := func() *record.Run {
		run := newRun()
		run.Deployment.Bounds.Evacuate = 5 * time.Second
		run.Targets[0].Domain = "east"
		run.Evacuated = []record.Evacuation{{Span: span(10, 30), Domain: "east"}}
		return run
	}
	requireCases(t, sentToEvacuated, prepare, map[string]violationCase{
		"within the bound": {func(run *record.Run) { send(run, 15) }, false},
		"after the bound":  {func(run *record.Run) { send(run, 15.01) }, true},
		"before its end":   {func(run *record.Run) { send(run, 29.9) }, true},
		"after its end":    {func(run *record.Run) { send(run, 30) }, false},
		"before":           {func(run *record.Run) { send(run, 9) }, false},
		"another domain":   {func(run *record.Run) { send(run, 20); run.Targets[0].Domain = "west" }, false},
		"without a bound":  {func(run *record.Run) { send(run, 20); run.Deployment.Bounds.Evacuate = 0 }, false},
		"set again": {func(run *record.Run) {
			send(run, 32)
			run.Evacuated = append(run.Evacuated, record.Evacuation{Span: span(30, 50), Domain: "east"})
		}, false},
		"in an outage":  {func(run *record.Run) { send(run, 20); run.Outages = []record.Span{span(10.5, 25)} }, true},
		"after a start": {func(run *record.Run) { send(run, 20); run.HostEvents = []record.HostEvent{event(record.Started, 19)} }, true},
		"after a freeze": {func(run *record.Run) {
			send(run, 20)
			run.HostEvents = []record.HostEvent{event(record.Frozen, 16), event(record.Thawed, 19.9)}
		}, false},
	})
}
