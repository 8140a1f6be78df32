package judge

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/drill/record"
)

// began is the time 0 of the test runs; at returns a time after it.
var began = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time { return began.Add(time.Duration(seconds * float64(time.Second))) }

func span(from, to float64) record.Span { return record.Span{From: at(from), To: at(to)} }

// newRun returns a run of 100 s without requests.
func newRun() *record.Run {
	return &record.Run{
		Began: began, Ended: at(100),
		Deployment: record.Deployment{
			Bounds: record.Bounds{
				Contact: 3 * time.Second, Grace: 6 * time.Second, Lost: 200 * time.Millisecond, Apply: 2 * time.Second, Drain: 2 * time.Second,
				RetryRatio: 0.2, RetrySlack: 5, RetryWindow: 10 * time.Second, MaxCrashRetries: 3,
			},
			Routes: map[string]record.Route{
				"check":  {Name: "check", Service: "plain", Kind: record.Idempotent, MaxAttempts: 2, Timeout: 2 * time.Second},
				"hold":   {Name: "hold", Service: "plain", Kind: record.NonIdempotent, MaxAttempts: 1, Timeout: 2 * time.Second},
				"draft":  {Name: "draft", Service: "engines", Kind: record.Streaming, MaxAttempts: 1, Timeout: 40 * time.Second},
				"lookup": {Name: "lookup", Service: "engines", Kind: record.Streaming, MaxAttempts: 2, Timeout: 40 * time.Second, Resumable: true},
			},
		},
		Targets: []record.Target{{ID: "t-1", Service: "engines"}, {ID: "t-2", Service: "engines"}, {ID: "t-3", Service: "engines"}},
	}
}

// request returns a request of host-1 that was cut.
func request(id, route string, sent, ended float64) record.Request {
	return record.Request{ID: id, Route: route, Host: "host-1", Sent: at(sent), SentWhole: at(sent), Ended: at(ended), Error: "unexpected EOF"}
}

// arrival returns one that host-1 sent and canceled.
func arrival(id, target string, from, to float64) record.Arrival {
	return record.Arrival{Request: id, Target: target, Service: "engines", Host: "host-1", At: at(from), Ended: at(to), Ran: true, Outcome: record.Canceled}
}

func event(e record.Event, seconds float64) record.HostEvent {
	return record.HostEvent{Host: "host-1", At: at(seconds), Event: e}
}

// violationCase is a case of a table: a run that does or doesn't break the rule judged.
type violationCase struct {
	change func(*record.Run)
	broken bool
}

// requireCases judges each case of a table, applied to runs that prepare returns.
func requireCases(t *testing.T, judge func(*index) []Violation, prepare func() *record.Run, cases map[string]violationCase) {
	t.Helper()
	for name, c := range cases {
		run := prepare()
		c.change(run)
		violations := judge(newIndex(run))
		require.Equal(t, c.broken, len(violations) > 0, "%s: %v", name, violations)
	}
}

// number returns ids of requests.
func number(n int) string { return fmt.Sprintf("r-%d", n) }
