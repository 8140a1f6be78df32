package judge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/drill/record"
)

// cutRun returns a run in which a request was sent and cut while its target worked.
func cutRun(sent, ended float64) *record.Run {
	run := newRun()
	run.Requests = []record.Request{request("r-1", "draft", sent, ended)}
	run.Arrivals = []record.Arrival{arrival("r-1", "t-1", sent, ended)}
	return run
}

func TestLostAroundSIGTERM(t *testing.T) {
	for name, c := range map[string]struct {
		sent, ended float64 // SIGTERM is at 20 s, its grace period ends at 26 s
		change      func(*record.Run)
		broken      bool
	}{
		"cut before the last sixth of the grace period": {19, 24.999, nil, true},
		"cut in the last sixth, target at work":         {19, 25, nil, false},
		"sent 3 s after SIGTERM":                        {23, 25.5, nil, false},
		"sent later":                                    {23.001, 25.5, nil, true},
		"cut at the end of planned work, sent late":     {24, 27, nil, true},
		"cut after planned work":                        {24, 27.001, nil, false},
		"cut before SIGTERM":                            {19, 19.999, nil, false},
		"target finished before the last sixth":         {19, 25.5, func(r *record.Run) { r.Arrivals[0].Ended, r.Arrivals[0].Outcome = at(24), record.Answered }, true},
		"target broke off":                              {19, 24, func(r *record.Run) { r.Arrivals[0].Outcome = record.BrokeOff }, false},
		"target crashed":                                {19, 24, func(r *record.Run) { r.Arrivals[0].Outcome = record.Crashed }, false},
		"an earlier target crashed":                     {19, 24, func(r *record.Run) { r.Arrivals = append([]record.Arrival{crashedArrival()}, r.Arrivals...) }, true},
		"the run stayed at its target":                  {19, 25, func(r *record.Run) { r.Arrivals = append(r.Arrivals, arrival("r-1", "t-2", 22, 23)) }, false},
		"the run left its target": {19, 25, func(r *record.Run) {
			r.Arrivals = append(r.Arrivals, arrival("r-1", "t-2", 22, 23))
			r.Arrivals[1].Events = 2
		}, true},
		"target silent": {19, 24, func(r *record.Run) { r.Targets[0].Silences = []record.Span{span(18, 30)} }, true},
		"the destination of its run crashed before it began there": {19, 24, func(r *record.Run) {
			r.Arrivals = append(r.Arrivals, record.Arrival{Request: "r-1", Target: "t-2", Host: "host-1", At: at(22), Continues: true, Outcome: record.Crashed})
			r.Arrivals[0].Outcome = record.Stopped
		}, false},
		"the host left the destination before it began there": {19, 24, func(r *record.Run) {
			r.Arrivals = append(r.Arrivals, record.Arrival{Request: "r-1", Target: "t-2", Host: "host-1", At: at(22), Continues: true, Outcome: record.Canceled})
			r.Arrivals[0].Outcome = record.Stopped
		}, true},
		"deadline reached":     {19, 24, func(r *record.Run) { r.Requests[0].Deadline = 5 * time.Second }, false},
		"deadline not reached": {19, 23.9, func(r *record.Run) { r.Requests[0].Deadline = 5 * time.Second }, true},
		"timeout reached":      {21, 23, func(r *record.Run) { r.Requests[0].Route = "hold" }, false},
		"given up":             {19, 24, func(r *record.Run) { r.Requests[0].GaveUp = true }, false},
		"answered":             {19, 24, func(r *record.Run) { r.Requests[0].Complete = true }, false},
		"not sent whole":       {19, 24, func(r *record.Run) { r.Requests[0].SentWhole = time.Time{} }, false},
		"killed before the end of the grace period":     {19, 24, func(r *record.Run) { r.HostEvents = append(r.HostEvents, event(record.Killed, 24)) }, false},
		"killed at the end of the grace period":         {24, 26, func(r *record.Run) { r.HostEvents = append(r.HostEvents, event(record.Killed, 26)) }, true},
		"frozen within contactMs before it":             {19, 24, func(r *record.Run) { r.HostEvents = append(freeze(15, 16.001), r.HostEvents...) }, false},
		"frozen earlier":                                {19, 24, func(r *record.Run) { r.HostEvents = append(freeze(15, 16), r.HostEvents...) }, true},
		"cut off from the targets meanwhile":            {19, 24, func(r *record.Run) { r.Cuts = []record.Cut{{Span: span(22, 30), Hosts: []string{"host-1"}}} }, false},
		"another host cut off":                          {19, 24, func(r *record.Run) { r.Cuts = []record.Cut{{Span: span(22, 30), Hosts: []string{"host-2"}}} }, true},
		"store down":                                    {19, 24, func(r *record.Run) { r.Outages = []record.Span{span(10, 30)} }, true},
		"SIGTERM to another host":                       {19, 24, func(r *record.Run) { r.HostEvents[0].Host = "host-2" }, false},
		"in time for a repeated SIGTERM only":           {23.5, 25.5, func(r *record.Run) { r.HostEvents = append(r.HostEvents, event(record.Term, 22)) }, true},
		"passed on to no target, cut at once":           {20.5, 20.7, func(r *record.Run) { r.Arrivals = nil }, false},
		"passed on to no target, cut later than lostMs": {20.5, 20.701, func(r *record.Run) { r.Arrivals = nil }, true},
		"passed on to no target, reset, perhaps not read": {20.5, 22, func(r *record.Run) {
			r.Arrivals, r.Requests[0].Error = nil, "read: connection reset by peer"
		}, false},
	} {
		run := cutRun(c.sent, c.ended)
		run.HostEvents = []record.HostEvent{event(record.Term, 20)}
		if c.change != nil {
			c.change(run)
		}
		require.Equal(t, c.broken, len(lostAroundPlannedWork(newIndex(run))) > 0, name)
	}
}

func crashedArrival() record.Arrival {
	a := arrival("r-1", "t-2", 19, 19.5)
	a.Outcome = record.Crashed
	return a
}

func freeze(from, to float64) []record.HostEvent {
	return []record.HostEvent{event(record.Frozen, from), event(record.Thawed, to)}
}

func TestLostAroundSIGHUP(t *testing.T) {
	for name, c := range map[string]struct {
		sent, ended float64 // SIGHUP is at 20 s
		broken      bool
	}{
		"cut after it":                {19, 20.1, true},
		"cut before it":               {19, 20, false},
		"sent configApplyMs after it": {22, 30, true},
		"sent later":                  {22.001, 30, false},
	} {
		run := cutRun(c.sent, c.ended)
		run.HostEvents = []record.HostEvent{event(record.Hup, 20)}
		require.Equal(t, c.broken, len(lostAroundPlannedWork(newIndex(run))) > 0, name)
	}
}

func TestLostBesideAConfiguration(t *testing.T) {
	otherCut := func(run *record.Run, host string) {
		q := request("r-2", "draft", 50, 60)
		q.Host = host
		run.Requests = append(run.Requests, q)
		run.Arrivals = append(run.Arrivals, arrival("r-2", "t-1", 50, 60))
	}
	requireCases(t, lostAroundPlannedWork, func() *record.Run {
		run := cutRun(19, 23)
		run.Versions = []record.Version{{Number: 1, Sent: at(20), Acked: at(21)}} // planned work until 24 s
		return run
	}, map[string]violationCase{
		"cut beside it":                     {func(*record.Run) {}, true},
		"cut after it":                      {func(r *record.Run) { r.Requests[0].Ended = at(24.001) }, false},
		"cut before it":                     {func(r *record.Run) { r.Requests[0].Ended = at(19.9) }, false},
		"not acknowledged":                  {func(r *record.Run) { r.Versions[0].Acked = time.Time{} }, true},
		"three times as often as otherwise": {func(r *record.Run) { otherCut(r, "host-1"); r.Ended = at(60) }, true},
		"no three times as often":           {func(r *record.Run) { otherCut(r, "host-1"); r.Ended = at(60); r.Versions[0].Acked = at(35) }, false},
		"cut as often at another host":      {func(r *record.Run) { otherCut(r, "host-2"); r.Ended = at(60); r.Versions[0].Acked = at(35) }, true},
		"seven tenths of its time used":     {func(r *record.Run) { r.Requests[0].Deadline = 4 * time.Second / 7 * 10 }, false},
		"less than seven tenths of it used": {func(r *record.Run) { r.Requests[0].Deadline = 6 * time.Second }, true},
	})
}
