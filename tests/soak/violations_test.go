package soak

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/platform/headers"
	"corianderhitch/platform/standin"
)

// TestChecksDetectViolations tests the checks themselves: each detects a violation of
// its guarantee and accepts a similar case that is allowed.
func TestChecksDetectViolations(t *testing.T) {
	at := time.Now()
	after := func(d time.Duration) time.Time { return at.Add(d) }
	h := &host{name: "host-0"}
	first, second := &target{id: "t-1", service: engineService}, &target{id: "t-2", service: engineService}
	leaving := &target{id: "t-3", service: plainService, leavingSince: at}
	run := func(target *target, from, to time.Duration, fromCopy bool) observation {
		return observation{arrivedAt: after(from), endedAt: after(to), target: target, fromCopy: fromCopy}
	}
	c := &cluster{t: t, disturbances: &disturbanceLog{}, revocations: []keyRevocation{{key: "gone", acked: at}}, keyAddedAt: map[string]time.Time{}}
	draft := &outcome{id: "r", route: "draft", host: h, events: 2, sent: at, ended: after(time.Second)}
	for name, result := range map[string]struct{ violation, allowed string }{
		"runs": {c.checkAtMostOnce(draft, []observation{run(first, 0, 1, false), run(second, 1, 2, false)}),
			c.checkAtMostOnce(draft, []observation{run(first, 0, 1, false), run(second, 1, 2, true)})},
		"whole": {(&outcome{id: "r", route: "draft", status: http.StatusOK, signed: true, events: 2, body: standin.StreamText("r", 1)}).checkComplete(),
			(&outcome{id: "r", route: "draft", status: http.StatusOK, signed: true, events: 2, body: standin.StreamText("r", 1), err: errors.New("reset")}).checkComplete()},
		"resumed": {(&outcome{id: "r", route: "lookup", status: http.StatusOK, signed: true, events: 3, after: 1, body: standin.StreamText("r", 3)}).checkComplete(),
			(&outcome{id: "r", route: "lookup", status: http.StatusOK, signed: true, events: 1, after: 1}).checkComplete()},
		"attempts": {checkAttempts(&outcome{route: "lookup"}, make([]observation, lookupAttempts+1)),
			checkAttempts(&outcome{route: "lookup"}, make([]observation, lookupAttempts))},
		"another's answer": {(&outcome{id: "r", route: "hold", status: http.StatusOK, signed: true, body: "done s"}).checkComplete(),
			(&outcome{id: "r", route: "hold", status: http.StatusOK, signed: true, body: "done r"}).checkComplete()},
		"refusal": {(&outcome{status: http.StatusServiceUnavailable}).checkNotRun([]observation{run(first, 0, 1, false)}),
			(&outcome{status: http.StatusBadGateway}).checkNotRun([]observation{run(first, 0, 1, false)})},
		"key": {c.checkRevokedKey(&outcome{key: "gone", sent: after(revokeBound + 1)}, []observation{run(first, 0, 1, false)}),
			c.checkRevokedKey(&outcome{key: "gone", sent: after(revokeBound)}, []observation{run(first, 0, 1, false)})},
		"drained": {c.checkLeavingTarget(&outcome{host: h}, []observation{run(leaving, leavingBound+2*schedulingSlack, leavingBound+2*schedulingSlack, false)}),
			c.checkLeavingTarget(&outcome{host: h}, []observation{run(leaving, leavingBound, leavingBound, false)})},
		"account": {checkAccount([]observation{{account: "others"}}), checkAccount([]observation{{account: clientAccount}})},
		"denied": {c.checkDenial(&outcome{host: h, status: http.StatusUnauthorized, key: "key-1", sent: at, ended: at}),
			c.checkDenial(&outcome{host: h, status: http.StatusUnauthorized, key: "gone", sent: at, ended: at})},
	} {
		require.NotEmpty(t, result.violation, name)
		require.Empty(t, result.allowed, name)
	}
	reached := func(ids ...string) []standin.ReceivedRequest {
		var requests []standin.ReceivedRequest
		for i, id := range ids {
			r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://target/", nil)
			require.NoError(t, err)
			r.Header.Set(headers.RequestID, id)
			r.Header.Set(headers.Target, leaving.id)
			requests = append(requests, standin.ReceivedRequest{Request: r, ReceivedAt: after(2*time.Second + time.Duration(i))})
		}
		return requests
	}
	told := &outcome{host: h, headAt: at}
	byID := map[string]*outcome{"late": {id: "late", host: h, sent: after(1)}, "early": {id: "early", host: h, sent: at}, "other": {host: &host{}, sent: after(1)}}
	require.NotEmpty(t, checkLeavingAnswer(leaving, told, reached("early", "late"), byID))
	require.Empty(t, checkLeavingAnswer(leaving, told, reached("early", "other"), byID))
	pause := standin.Statement{At: at, Pause: 3 * time.Second}
	require.NotEmpty(t, c.checkPause(leaving, h, pause, reached("early", "late", "late"), byID))
	require.Empty(t, c.checkPause(leaving, h, pause, reached("early", "late", "other"), byID))
	require.Empty(t, c.checkPause(leaving, h, standin.Statement{At: at, Pause: time.Second}, reached("early", "late", "late"), byID))
}
