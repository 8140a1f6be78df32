package judge

import (
	"testing"
	"time"

	"corianderhitch/internal/drill/record"
)

func TestExcessAttempts(t *testing.T) {
	requireCases(t, excessAttempts, func() *record.Run {
		run := newRun()
		for n := range 4 {
			run.Requests = append(run.Requests, request(number(n), "draft", 20, 25))
			run.Arrivals = append(run.Arrivals, arrival(number(n), "t-1", 20, 21), arrival(number(n), "t-2", 21, 22))
		}
		return run
	}, map[string]violationCase{
		"four":                           {func(*record.Run) {}, true},
		"three":                          {func(r *record.Run) { r.Requests = r.Requests[:3] }, false},
		"as many as one allows":          {func(r *record.Run) { r.Requests[0].Route = "lookup" }, false},
		"one did not run":                {func(r *record.Run) { r.Arrivals[1].Ran = false }, false},
		"twice at one target":            {func(r *record.Run) { r.Arrivals[1].Target = "t-1" }, false},
		"the same run":                   {func(r *record.Run) { r.Arrivals[1].Continues = true }, false},
		"targets ended meanwhile":        {func(r *record.Run) { r.Targets[0].Ended = at(24) }, false},
		"targets ended after the answer": {func(r *record.Run) { r.Targets[0].Ended = at(25.1) }, true},
	})
}

func TestExcessTime(t *testing.T) {
	// Each request has 5 s and is sent once more 1 s after its first arrival.
	prepare := func() *record.Run {
		run := newRun()
		for n := range 100 {
			q := request(number(n), "check", 20, 25)
			q.Deadline = 5 * time.Second
			first, repeat := arrival(q.ID, "t-1", 20, 21), arrival(q.ID, "t-2", 21, 22)
			first.Deadline, repeat.Deadline = 5*time.Second, 4*time.Second
			run.Requests = append(run.Requests, q)
			run.Arrivals = append(run.Arrivals, first, repeat)
		}
		return run
	}
	state := func(count, first int, deadline time.Duration) func(*record.Run) {
		return func(r *record.Run) {
			for n := range count {
				r.Arrivals[2*n+first].Deadline = deadline
			}
		}
	}
	then := func(changes ...func(*record.Run)) func(*record.Run) {
		return func(r *record.Run) {
			for _, change := range changes {
				change(r)
			}
		}
	}
	requireCases(t, excessTime, prepare, map[string]violationCase{
		"time that is left":                {func(*record.Run) {}, false},
		"repeats with the whole time":      {state(21, 1, 5*time.Second), true},
		"20 of them":                       {state(20, 1, 5*time.Second), false},
		"0.5 s too much":                   {state(21, 1, 4500*time.Millisecond), false},
		"no deadline stated":               {state(26, 0, -1), true},
		"a fifth of them and late repeats": {state(25, 0, -1), false},
		"longer than the caller's":         {state(26, 0, 5501*time.Millisecond), true},
		"by 0.5 s":                         {state(26, 0, 5500*time.Millisecond), false},
		"not in touch": {then(state(26, 0, -1), func(r *record.Run) {
			r.HostEvents = []record.HostEvent{event(record.Started, 18.5)}
		}), false},
		"repeated at once": {then(state(21, 1, 5*time.Second), func(r *record.Run) {
			for n := range 100 {
				r.Arrivals[2*n+1].At = at(20.5)
			}
		}), false},
		"the caller states none": {then(state(26, 0, -1), func(r *record.Run) {
			for i := range r.Requests {
				r.Requests[i].Deadline = 0
			}
		}), false},
	})
}

func TestCrashRetries(t *testing.T) {
	crashing := func(crashes int, part string) func() *record.Run {
		return func() *record.Run {
			run := newRun()
			for n := range crashes + 4 { // the last four arrive contactMs after the crashes
				q := request(number(n), "draft", 20, 30)
				q.Fingerprint, q.Part = "same", part
				a := arrival(q.ID, number(n), 20, 20.1)
				if n >= crashes {
					a.At, a.Ended = at(23.2), at(23.3)
				}
				a.Outcome = record.Crashed
				run.Requests = append(run.Requests, q)
				run.Arrivals = append(run.Arrivals, a)
			}
			return run
		}
	}
	for part, crashes := range map[string]int{"": 3, "p-1": 5} {
		requireCases(t, crashRetries, crashing(crashes, part), map[string]violationCase{
			"four retries":                       {func(*record.Run) {}, true},
			"three retries":                      {func(r *record.Run) { r.Arrivals[crashes+3].At = at(23.1) }, false},
			"not run, but reached a target":      {func(r *record.Run) { r.Arrivals[crashes+3].Ran = false }, true},
			"one crash fewer":                    {func(r *record.Run) { r.Arrivals = r.Arrivals[1:] }, false},
			"the last crash later":               {func(r *record.Run) { r.Arrivals[0].Ended = at(20.3) }, false},
			"sent by hosts that aren't in touch": {func(r *record.Run) { r.HostEvents = []record.HostEvent{event(record.Started, 22)} }, false},
		})
	}
	requireCases(t, crashRetries, crashing(3, ""), map[string]violationCase{
		"another request's crashes":  {func(r *record.Run) { r.Arrivals[0].Outcome = record.Answered }, false},
		"another request among them": {func(r *record.Run) { r.Requests[6].Fingerprint = "other" }, false},
	})
}
