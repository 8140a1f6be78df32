package judge

import (
	"testing"

	"corianderhitch/internal/drill/record"
)

func TestRejectedAndRan(t *testing.T) {
	requireCases(t, rejectedAndRan, func() *record.Run {
		run := cutRun(20, 21)
		run.Requests[0].Status = 503
		return run
	}, map[string]violationCase{
		"503":              {func(*record.Run) {}, true},
		"421":              {func(r *record.Run) { r.Requests[0].Status = 421 }, true},
		"502":              {func(r *record.Run) { r.Requests[0].Status = 502 }, false},
		"runs later":       {func(r *record.Run) { r.Arrivals[0].At = at(22) }, true},
		"did not run":      {func(r *record.Run) { r.Arrivals[0].Ran = false }, false},
		"idempotent":       {func(r *record.Run) { r.Requests[0].Route = "check" }, false},
		"resumable stream": {func(r *record.Run) { r.Requests[0].Route = "lookup" }, false},
	})
}

// completeRun returns a run with one complete stream.
func completeRun() *record.Run {
	run := cutRun(20, 25)
	q := &run.Requests[0]
	q.Status, q.Signed, q.Complete, q.Events, q.Expected = 200, true, true, 5, 5
	run.Arrivals[0].Outcome = record.Answered
	return run
}

func TestOutOfOrder(t *testing.T) {
	requireCases(t, outOfOrder, completeRun, map[string]violationCase{
		"complete":               {func(*record.Run) {}, false},
		"complete too early":     {func(r *record.Run) { r.Requests[0].Events = 4 }, true},
		"broken off":             {func(r *record.Run) { r.Requests[0].Events, r.Requests[0].Complete = 4, false }, false},
		"an event twice":         {func(r *record.Run) { r.Requests[0].Events, r.Requests[0].Complete = 6, false }, true},
		"a failure has no event": {func(r *record.Run) { r.Requests[0].Events, r.Requests[0].Status = 0, 502 }, false},
	})
}

func TestMixedUp(t *testing.T) {
	requireCases(t, mixedUp, completeRun, map[string]violationCase{
		"complete":         {func(*record.Run) {}, false},
		"not signed":       {func(r *record.Run) { r.Requests[0].Signed = false }, true},
		"own failure":      {func(r *record.Run) { r.Requests[0].Signed, r.Requests[0].Status = false, 502 }, false},
		"target failed":    {func(r *record.Run) { r.Arrivals[0].Outcome = record.Failed }, true},
		"no target ran it": {func(r *record.Run) { r.Arrivals[0].Ran = false }, true},
		"second of two targets ran": {func(r *record.Run) {
			r.Arrivals = append([]record.Arrival{{Request: "r-1", Outcome: record.Failed, Ran: true}}, r.Arrivals...)
		}, false},
	})
}

func TestDeniedProper(t *testing.T) {
	requireCases(t, deniedProper, func() *record.Run {
		run := newRun()
		run.Versions = []record.Version{{Sent: at(0), Acked: at(0), Services: map[string]string{"check": "plain"}}}
		for n := range 11 {
			q := request(number(n), "check", 20, 21)
			q.Status = 404
			run.Requests = append(run.Requests, q)
		}
		return run
	}, map[string]violationCase{
		"denied":            {func(*record.Run) {}, true},
		"five":              {func(r *record.Run) { r.Requests = r.Requests[:5] }, false},
		"six":               {func(r *record.Run) { r.Requests = r.Requests[:6] }, true},
		"one in 500":        {func(r *record.Run) { r.Requests = append(r.Requests[:6], make([]record.Request, 494)...) }, false},
		"one in fewer":      {func(r *record.Run) { r.Requests = append(r.Requests[:6], make([]record.Request, 493)...) }, true},
		"by the target":     {func(r *record.Run) { setAll(r, func(q *record.Request) { q.Signed = true }) }, false},
		"429":               {func(r *record.Run) { setAll(r, func(q *record.Request) { q.Status = 429 }) }, false},
		"301":               {func(r *record.Run) { setAll(r, func(q *record.Request) { q.Status = 301 }) }, true},
		"out of touch":      {func(r *record.Run) { r.Outages = []record.Span{span(15, 19)} }, true},
		"out of touch, ten": {func(r *record.Run) { r.Outages, r.Requests = []record.Span{span(15, 19)}, r.Requests[:10] }, false},
		"out of touch, 400": {func(r *record.Run) {
			r.Outages = []record.Span{span(15, 19)}
			setAll(r, func(q *record.Request) { q.Status = 400 })
		}, false},
		"a configuration that may be in force lacks it": {func(r *record.Run) {
			r.Versions = append(r.Versions, record.Version{Sent: at(20.5), Acked: at(20.6)})
		}, false},
		"one replaced lacks it": {func(r *record.Run) {
			r.Versions[0].Services = nil
			r.Versions = append(r.Versions, record.Version{Sent: at(17), Acked: at(17.9), Services: map[string]string{"check": "plain"}})
		}, true},
		"one that may still be in force lacks it": {func(r *record.Run) {
			r.Versions[0].Services = nil
			r.Versions = append(r.Versions, record.Version{Sent: at(17), Acked: at(18), Services: map[string]string{"check": "plain"}})
		}, false},
	})
}

func setAll(run *record.Run, set func(*record.Request)) {
	for i := range run.Requests {
		set(&run.Requests[i])
	}
}

func TestSentToLeaving(t *testing.T) {
	requireCases(t, sentToLeaving, func() *record.Run {
		run := cutRun(20, 25)
		run.Targets[0].Leaving = at(17.9)
		return run
	}, map[string]violationCase{
		"later than drainMs":    {func(*record.Run) {}, true},
		"within drainMs":        {func(r *record.Run) { r.Targets[0].Leaving = at(18) }, false},
		"another target leaves": {func(r *record.Run) { r.Arrivals[0].Target = "t-2" }, false},
		"sender out of touch":   {func(r *record.Run) { r.HostEvents = []record.HostEvent{event(record.Started, 18)} }, false},
		"receiver out of touch": {func(r *record.Run) {
			r.Requests[0].Host = "host-2"
			r.HostEvents = []record.HostEvent{{Host: "host-2", At: at(18), Event: record.Started}}
		}, false},
		"acknowledged by an unstable store":   {func(r *record.Run) { r.Outages = []record.Span{span(14, 15)} }, false},
		"acknowledged contactMs after outage": {func(r *record.Run) { r.Outages = []record.Span{span(14, 14.9)} }, true},
	})
}

// Guards against streams that go on from the memory of another request without being noticed.
func TestMemoryOfAnotherRequest(t *testing.T) {
	requireCases(t, mixedUp, func() *record.Run {
		run := completeRun()
		first := run.Arrivals[0]
		first.Continues, first.Memory = true, "r-2"
		run.Arrivals = append(run.Arrivals, first)
		return run
	}, map[string]violationCase{
		"another's":           {func(*record.Run) {}, true},
		"another's, cut":      {func(r *record.Run) { r.Requests[0].Status = 0 }, true},
		"its own":             {func(r *record.Run) { r.Arrivals[1].Memory = "r-1" }, false},
		"none, since refused": {func(r *record.Run) { r.Arrivals[1].Memory = "" }, false},
	})
}

// Guards against drills that pass although processes ended by themselves.
func TestUnaskedExits(t *testing.T) {
	requireCases(t, unaskedExits, func() *record.Run {
		run := completeRun()
		run.HostEvents = append(run.HostEvents, record.HostEvent{Host: "h", Event: record.Exited}, record.HostEvent{Host: "h", Event: record.Unasked})
		return run
	}, map[string]violationCase{
		"by itself":      {func(*record.Run) {}, true},
		"after a signal": {func(r *record.Run) { r.HostEvents = r.HostEvents[:len(r.HostEvents)-1] }, false},
	})
}
