package judge

import (
	"fmt"
	"testing"

	"corianderhitch/internal/drill/record"
)

// A limit of 2 a second allows 17 requests in 4 s.
func TestOverLimits(t *testing.T) {
	send := func(run *record.Run, host string, n int, from, to float64) {
		for i := range n {
			id, sent := fmt.Sprintf("%s-%v-%d", host, from, i), from+(to-from)*float64(i)/float64(n)
			q, a := request(id, "check", sent, sent+0.01), arrival(id, "t-1", sent, sent+0.01)
			q.Host, a.Host, q.HeadAt, a.Limited = host, host, at(sent+0.01), true
			run.Requests, run.Arrivals = append(run.Requests, q), append(run.Arrivals, a)
		}
	}
	prepare := func() *record.Run {
		run := newRun()
		run.Targets[0].Limits = []record.Limit{{Span: span(10, 30), PerSecond: 2}}
		send(run, "host-1", 1, 10.1, 10.2)
		return run
	}
	requireCases(t, overLimits, prepare, map[string]violationCase{
		"as many as allowed":      {func(run *record.Run) { send(run, "host-1", 17, 12, 15.9) }, false},
		"one more":                {func(run *record.Run) { send(run, "host-1", 18, 12, 15.9) }, true},
		"before the bound":        {func(run *record.Run) { send(run, "host-1", 40, 11, 12.9) }, false},
		"two hosts":               {func(run *record.Run) { send(run, "host-1", 9, 14, 17); send(run, "host-2", 11, 14.01, 17) }, true},
		"the other was not told":  {func(run *record.Run) { send(run, "host-1", 9, 14, 17); send(run, "host-2", 11, 16.6, 17) }, false},
		"after the limit":         {func(run *record.Run) { send(run, "host-1", 40, 30.1, 33) }, false},
		"spread over two windows": {func(run *record.Run) { send(run, "host-1", 17, 12, 15.9); send(run, "host-1", 17, 16.1, 19.9) }, false},
		"after a freeze": {func(run *record.Run) {
			run.HostEvents = []record.HostEvent{event(record.Frozen, 13), event(record.Thawed, 13.5)}
			send(run, "host-1", 40, 14, 17)
		}, false},
	})
}

func TestFallenTooOften(t *testing.T) {
	fall := func(run *record.Run, seconds ...float64) {
		for _, s := range seconds {
			run.Targets = append(run.Targets, record.Target{Service: "plain", Ended: at(s), Crashed: true, Fell: true})
		}
	}
	prepare := func() *record.Run {
		run := newRun()
		run.Brittle = []record.Brittle{{Span: span(10, 30), Service: "plain", Targets: 5}}
		return run
	}
	requireCases(t, fallenTooOften, prepare, map[string]violationCase{
		"as often as allowed": {func(run *record.Run) { fall(run, 14, 20) }, false},
		"once more":           {func(run *record.Run) { fall(run, 14, 20, 25) }, true},
		"before the bound":    {func(run *record.Run) { fall(run, 11, 12, 12.5, 20) }, false},
		"afterwards":          {func(run *record.Run) { fall(run, 14, 20, 31) }, false},
		"another service":     {func(run *record.Run) { fall(run, 14, 20, 25); run.Brittle[0].Service = "engines" }, false},
	})
}
