package judge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/drill/record"
)

// retryRun returns a run with the requests sent at once, and the given numbers of repeats of
// the first one with the given interval. It allows 5 repeats and one for each five requests.
func retryRun(requests int, sent float64, repeats int, first, interval float64) *record.Run {
	run := newRun()
	for n := range requests {
		run.Requests = append(run.Requests, request(number(n), "draft", sent, sent+1))
		run.Arrivals = append(run.Arrivals, arrival(number(n), "t-1", sent, sent+1))
	}
	for n := range repeats {
		from := first + float64(n)*interval
		run.Arrivals = append(run.Arrivals, arrival(number(0), "t-2", from, from+1))
	}
	return run
}

func TestExcessRetries(t *testing.T) {
	for name, c := range map[string]struct {
		run    *record.Run
		change func(*record.Run)
		broken bool
	}{
		"as many as allowed":                     {retryRun(10, 20, 7, 21, 0.1), nil, false},
		"one more":                               {retryRun(10, 20, 8, 21, 0.1), nil, true},
		"one more, the last in the next window":  {retryRun(10, 20, 8, 21, 10.0/7), nil, false},
		"requests of the window before count":    {retryRun(10, 20, 7, 29.3, 0.1), nil, false},
		"earlier requests do not":                {retryRun(10, 20, 7, 30, 0.1), nil, true},
		"requests that did not arrive count":     {retryRun(10, 20, 7, 21, 0.1), func(r *record.Run) { r.Arrivals = append(r.Arrivals[:1], r.Arrivals[10:]...) }, false},
		"rejected repeats count":                 {retryRun(10, 20, 8, 21, 0.1), func(r *record.Run) { r.Arrivals[11].Ran, r.Arrivals[11].Outcome = false, record.Rejected }, true},
		"a continuation of the run is no repeat": {retryRun(10, 20, 8, 21, 0.1), func(r *record.Run) { r.Arrivals[11].Continues = true }, false},
		"a continuation that is rejected": {retryRun(10, 20, 8, 21, 0.1), func(r *record.Run) {
			r.Arrivals[11].Continues, r.Arrivals[11].Ran, r.Arrivals[11].Outcome = true, false, record.Rejected
		}, true},
		"requests of other services do not count": {retryRun(10, 20, 7, 21, 0.1), func(r *record.Run) { r.Requests[9].Route = "check" }, true},
		"requests of a route that moved here": {retryRun(10, 20, 7, 21, 0.1), func(r *record.Run) {
			r.Requests[9].Route = "check"
			r.Versions = []record.Version{{Sent: at(18), Acked: at(19), Services: map[string]string{"check": "engines", "draft": "engines"}}}
		}, false},
	} {
		if c.change != nil {
			c.change(c.run)
		}
		require.Equal(t, c.broken, len(excessRetries(newIndex(c.run))) > 0, name)
	}
}

func TestExcessRetriesReportsEachGroupOfWindowsOnce(t *testing.T) {
	run := retryRun(10, 20, 30, 21, 0.1)
	run.Arrivals = append(run.Arrivals, retryRun(0, 0, 20, 70, 0.1).Arrivals...)
	violations := excessRetries(newIndex(run))
	require.Len(t, violations, 2)
	require.Contains(t, violations[0].Text, "service engines got 30 repeats in the 10s until")
	require.Equal(t, []string{number(0)}, violations[0].Requests)
}

func TestFiguresCountContinuationsApart(t *testing.T) {
	run := retryRun(10, 20, 8, 21, 0.1)
	for i := 10; i < 13; i++ {
		run.Arrivals[i].Continues = true
	}
	q := request("r-unread", "hold", 30, 31)
	q.Error = "read: connection reset by peer"
	run.Requests = append(run.Requests, q)
	value := make(map[string]float64)
	for _, f := range Figures(run) {
		if f.Subject != "plain" {
			value[f.Name] = f.Value
		}
	}
	require.Equal(t, map[string]float64{
		"repeats in the fullest window": 5, "repeats in the fullest window, with continuations": 8,
		"continuations": 3, "resets later than the bound, perhaps unread": 1,
	}, value)
}

func TestRetryWindowsSlide(t *testing.T) {
	l := &retryLoad{window: 10 * time.Second, ratio: 0.2, slack: 0, sent: []time.Time{at(20), at(20), at(20), at(20), at(20)}}
	for end, bound := range map[float64]float64{19: 0, 20: 1, 30: 1, 39.9: 1, 40: 0} {
		require.InDelta(t, bound, l.at(at(end)).bound, 0.001, "%v", end)
	}
}
