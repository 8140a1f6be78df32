package judge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/drill/overlap"
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
	sentEvent := func(r *record.Run) { r.Arrivals[1].FirstEvent = at(21.1) }
	requireCases(t, ranAtTwo, twoRuns("lookup"), map[string]violationCase{
		"at work 1 s later":           {func(*record.Run) {}, true},
		"at work 400 ms later":        {func(r *record.Run) { r.Arrivals[0].Ended = at(21.4) }, false},
		"not run":                     {func(r *record.Run) { r.Arrivals[1].Ran = false }, false},
		"silent":                      {func(r *record.Run) { r.Targets[0].Silences = []record.Span{span(20, 22)} }, false},
		"silent until 300 ms earlier": {func(r *record.Run) { r.Targets[0].Silences = []record.Span{span(20, 21.7)} }, false},
		"silent until 500 ms earlier": {func(r *record.Run) { r.Targets[0].Silences = []record.Span{span(20, 21.5)} }, true},
		"silent 300 ms later":         {func(r *record.Run) { r.Targets[0].Silences = []record.Span{span(21.3, 23)} }, false},
		"the other one silent":        {func(r *record.Run) { r.Targets[1].Silences = []record.Span{span(20, 23)} }, false},
		"the other one silent after its first event": {func(r *record.Run) {
			sentEvent(r)
			r.Targets[1].Silences = []record.Span{span(21.2, 23)}
		}, true},
		"silent in turn": {func(r *record.Run) {
			r.Targets[0].Silences, r.Targets[1].Silences = []record.Span{span(20, 21.2), span(21.5, 21.8)}, []record.Span{span(21.1, 21.3)}
		}, false},
		"silent in turn, at work between": {func(r *record.Run) {
			r.Targets[0].Silences, r.Targets[1].Silences = []record.Span{span(20, 21.2), span(21.5, 21.6)}, []record.Span{span(21.1, 21.3)}
		}, true},
		"the other one given up":  {func(r *record.Run) { r.Arrivals[1].Ended = at(21.4) }, false},
		"the other one completed": {func(r *record.Run) { r.Arrivals[1].Ended, r.Arrivals[1].Outcome = at(21.4), record.Answered }, true},
		"went on at a third one": {func(r *record.Run) {
			sentEvent(r)
			third := arrival("r-1", "t-3", 21.31, 21.6)
			third.FirstEvent = at(21.35)
			r.Arrivals[1].Ended = at(21.3)
			r.Arrivals = append(r.Arrivals, third)
		}, true},
		"reading its prompt": {func(r *record.Run) {
			r.Arrivals[0].Ran, r.Arrivals[0].Ended = false, time.Time{}
			r.Arrivals[0].Work = span(20.5, 22)
		}, true},
		"reading its prompt for 400 ms": {func(r *record.Run) {
			r.Arrivals[0].Ran, r.Arrivals[0].Ended = false, time.Time{}
			r.Arrivals[0].Work = span(20.5, 21.4)
		}, false},
		"waiting":                          {func(r *record.Run) { r.Arrivals[0].Ran, r.Arrivals[0].Ended = false, time.Time{} }, false},
		"at work at the end of the record": {func(r *record.Run) { r.Arrivals[0].Ended = time.Time{} }, true},
		"rejected at the deadline": {func(r *record.Run) {
			r.Arrivals[0].Ran, r.Arrivals[0].Ended, r.Arrivals[0].Outcome = false, time.Time{}, record.Rejected
			r.Arrivals[0].Work = span(20.5, 22)
		}, false},
		"host out of touch":          {func(r *record.Run) { r.HostEvents = []record.HostEvent{event(record.Thawed, 19.5)} }, false},
		"host in touch again":        {func(r *record.Run) { r.HostEvents = []record.HostEvent{event(record.Thawed, 18.5)} }, true},
		"store unstable":             {func(r *record.Run) { r.Outages = []record.Span{span(10, 19.5)} }, false},
		"store stable again":         {func(r *record.Run) { r.Outages = []record.Span{span(10, 18.5)} }, true},
		"host disturbed after that":  {func(r *record.Run) { r.HostEvents = []record.HostEvent{event(record.Frozen, 21.5)} }, true},
		"host disturbed before that": {func(r *record.Run) { r.HostEvents = []record.HostEvent{event(record.Term, 21.3)} }, false},
	})
}

func TestTimeAtTwoCountsWhatTheRuleExcuses(t *testing.T) {
	run := twoRuns("lookup")()
	for i := range run.Arrivals {
		run.Arrivals[i].Work = record.Span{From: run.Arrivals[i].At.Add(100 * time.Millisecond), To: run.Arrivals[i].Ended}
	}
	run.Requests = append(run.Requests, request("r-2", "lookup", 30, 31))
	run.Arrivals = append(run.Arrivals, arrival("r-2", "t-1", 30, 31), arrival("r-2", "t-2", 30, 31)) // waiting at both
	run.HostEvents = []record.HostEvent{event(record.Killed, 10)}
	require.Empty(t, ranAtTwo(newIndex(run)), "out of touch")
	require.Equal(t, overlap.Summary{Runs: 1, Sum: 900 * time.Millisecond, Longest: 900 * time.Millisecond, Run: "r-1", Engines: []string{"t-1", "t-2"}}, TimeAtTwo(run))
}
