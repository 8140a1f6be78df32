package judge

import (
	"testing"
	"time"

	"corianderhitch/internal/drill/record"
)

func TestSentIntoPauses(t *testing.T) {
	send := func(run *record.Run, host, target string, seconds ...float64) {
		for _, s := range seconds {
			a := arrival("r-1", target, s, s)
			a.Host = host
			run.Arrivals = append(run.Arrivals, a)
		}
	}
	prepare := func() *record.Run {
		run := newRun()
		send(run, "host-1", "t-1", 20)
		run.Arrivals[0].Pause = 3 * time.Second
		return run
	}
	requireCases(t, sentIntoPauses, prepare, map[string]violationCase{
		"as many as allowed": {func(r *record.Run) { send(r, "host-1", "t-1", 20.6, 22) }, false},
		"one more":           {func(r *record.Run) { send(r, "host-1", "t-1", 20.6, 22, 22.9) }, true},
		"on their way":       {func(r *record.Run) { send(r, "host-1", "t-1", 20.1, 20.2, 20.3, 20.4) }, false},
		"after the pause":    {func(r *record.Run) { send(r, "host-1", "t-1", 23, 23.1, 23.2) }, false},
		"to another target":  {func(r *record.Run) { send(r, "host-1", "t-2", 21, 21.1, 21.2) }, false},
		"from another host":  {func(r *record.Run) { send(r, "host-2", "t-1", 21, 21.1, 21.2) }, false},
		"another host too":   {func(r *record.Run) { send(r, "host-1", "t-1", 21, 22); send(r, "host-2", "t-1", 21, 22) }, false},
		"the host was frozen": {func(r *record.Run) {
			send(r, "host-1", "t-1", 21, 22, 22.5)
			r.HostEvents = []record.HostEvent{event(record.Frozen, 20.5), event(record.Thawed, 21)}
		}, false},
		"frozen earlier": {func(r *record.Run) {
			send(r, "host-1", "t-1", 21, 22, 22.5)
			r.HostEvents = []record.HostEvent{event(record.Frozen, 18), event(record.Thawed, 19)}
		}, true},
		"the host was cut off": {func(r *record.Run) {
			send(r, "host-1", "t-1", 21, 22, 22.5)
			r.Cuts = []record.Cut{{Span: span(22, 30), Hosts: []string{"host-1"}}}
		}, false},
		"the store was away": {func(r *record.Run) { send(r, "host-1", "t-1", 21, 22, 22.5); r.Outages = []record.Span{span(10, 30)} }, true},
	})
}
