package judge

import (
	"testing"

	"corianderhitch/internal/drill/record"
)

func TestLostKeptConnections(t *testing.T) {
	all := func(change func(*record.Request, *record.Arrival)) func(*record.Run) {
		return func(r *record.Run) {
			for i := range r.Requests {
				change(&r.Requests[i], &r.Arrivals[i])
			}
		}
	}
	requireCases(t, lostKeptConnections, func() *record.Run {
		run := newRun()
		for n := range 4 {
			q := request(number(n), "check", 20, 21)
			q.Earlier = 1
			run.Requests = append(run.Requests, q)
			run.Arrivals = append(run.Arrivals, arrival(q.ID, "t-1", 20, 21))
		}
		return run
	}, map[string]violationCase{
		"four":                       {func(*record.Run) {}, true},
		"three":                      {func(r *record.Run) { r.Requests = r.Requests[:3] }, false},
		"first on its connection":    {func(r *record.Run) { r.Requests[0].Earlier = 0 }, false},
		"part of an answer":          {func(r *record.Run) { r.Requests[0].Status = 200 }, false},
		"given up":                   {func(r *record.Run) { r.Requests[0].GaveUp = true }, false},
		"one was not passed on":      {func(r *record.Run) { r.Arrivals = r.Arrivals[:3] }, false},
		"targets crashed":            {all(func(_ *record.Request, a *record.Arrival) { a.Outcome = record.Crashed }), false},
		"targets broke off":          {all(func(_ *record.Request, a *record.Arrival) { a.Outcome = record.BrokeOff }), false},
		"targets silent":             {func(r *record.Run) { r.Targets[0].Silences = []record.Span{span(20.5, 22)} }, false},
		"not in touch":               {func(r *record.Run) { r.HostEvents = []record.HostEvent{event(record.Term, 17.1)} }, false},
		"draining, but in touch":     {func(r *record.Run) { r.HostEvents = []record.HostEvent{event(record.Term, 17)} }, true},
		"stopped while one was open": {func(r *record.Run) { r.HostEvents = []record.HostEvent{event(record.Term, 20.5)} }, false},
	})
}
