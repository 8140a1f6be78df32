package judge

import (
	"testing"

	"corianderhitch/internal/drill/record"
)

func twoRuns(route string) func() *record.Run {
	return func() *record.Run {
		run := newRun()
		run.Requests = []record.Request{request("r-1", route, 20, 30)}
		run.Arrivals = []record.Arrival{arrival("r-1", "t-1", 20, 22), arrival("r-1", "t-2", 21, 25)}
		return run
	}
}

func TestRanTwice(t *testing.T) {
	for _, route := range []string{"hold", "draft"} {
		requireCases(t, ranTwice, twoRuns(route), map[string]violationCase{
			"two runs":     {func(*record.Run) {}, true},
			"one rejected": {func(r *record.Run) { r.Arrivals[0].Ran = false }, false},
			"the same run": {func(r *record.Run) { r.Arrivals[1].Continues = true }, false},
			"crashed":      {func(r *record.Run) { r.Arrivals[0].Outcome = record.Crashed }, true},
			"idempotent":   {func(r *record.Run) { r.Requests[0].Route = "check" }, false},
			"resumable":    {func(r *record.Run) { r.Requests[0].Route = "lookup" }, false},
		})
	}
}

func TestRanAtTwo(t *testing.T) {
	requireCases(t, ranAtTwo, twoRuns("lookup"), map[string]violationCase{
		"at work 1 s later":           {func(*record.Run) {}, true},
		"at work 400 ms later":        {func(r *record.Run) { r.Arrivals[0].Ended = at(21.4) }, false},
		"not run":                     {func(r *record.Run) { r.Arrivals[1].Ran = false }, false},
		"silent":                      {func(r *record.Run) { r.Targets[0].Silences = []record.Span{span(20, 22)} }, false},
		"silent until 300 ms earlier": {func(r *record.Run) { r.Targets[0].Silences = []record.Span{span(20, 21.7)} }, false},
		"silent until 500 ms earlier": {func(r *record.Run) { r.Targets[0].Silences = []record.Span{span(20, 21.5)} }, true},
		"silent 300 ms later":         {func(r *record.Run) { r.Targets[0].Silences = []record.Span{span(21.3, 23)} }, false},
		"the other one silent":        {func(r *record.Run) { r.Targets[1].Silences = []record.Span{span(20, 23)} }, false},
		"silent in turn": {func(r *record.Run) {
			r.Targets[0].Silences, r.Targets[1].Silences = []record.Span{span(20, 21.2), span(21.5, 21.8)}, []record.Span{span(21.1, 21.3)}
		}, false},
		"silent in turn, at work between": {func(r *record.Run) {
			r.Targets[0].Silences, r.Targets[1].Silences = []record.Span{span(20, 21.2), span(21.5, 21.6)}, []record.Span{span(21.1, 21.3)}
		}, true},
		"the other one given up":  {func(r *record.Run) { r.Arrivals[1].Ended = at(21.4) }, false},
		"the other one completed": {func(r *record.Run) { r.Arrivals[1].Ended, r.Arrivals[1].Outcome = at(21.4), record.Answered }, true},
		"host out of touch":       {func(r *record.Run) { r.HostEvents = []record.HostEvent{event(record.Thawed, 18.5)} }, false},
	})
}
