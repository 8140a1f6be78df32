package soak

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/platform/standin"
)

// The checks themselves: each finds the broken promise that it is for, and lets
// what is allowed pass.
func TestChecksFindBrokenPromises(t *testing.T) {
	at := time.Now()
	after := func(d time.Duration) time.Time { return at.Add(d) }
	h := &host{name: "host-0"}
	first, second := &target{id: "t-1", service: engines}, &target{id: "t-2", service: engines}
	leaves := &target{id: "t-3", service: desk, drained: at}
	run := func(target *target, from, to time.Duration, anew bool) sighting {
		return sighting{at: after(from), end: after(to), target: target, anew: anew}
	}
	w := &world{t: t, troubles: &troubles{}, removed: []withdrawal{{key: "gone", acked: at}}, added: map[string]time.Time{}}
	draft := &outcome{id: "r", route: "draft", host: h, events: 2, sent: at, ended: after(time.Second)}
	for name, c := range map[string]struct{ broken, kept string }{
		"runs": {w.once(draft, []sighting{run(first, 0, 1, true), run(second, 1, 2, true)}),
			w.once(draft, []sighting{run(first, 0, 1, true), run(second, 1, 2, false)})},
		"engines": {w.oneEngine(draft, []sighting{run(first, 0, time.Second, true), run(second, 500*time.Millisecond, time.Second, false)}),
			w.oneEngine(draft, []sighting{run(first, 0, time.Second, true), run(second, 700*time.Millisecond, 2*time.Second, false)})},
		"whole": {(&outcome{id: "r", route: "draft", status: http.StatusOK, signed: true, events: 2, body: standin.StreamText("r", 1)}).whole(),
			(&outcome{id: "r", route: "draft", status: http.StatusOK, signed: true, events: 2, body: standin.StreamText("r", 1), err: errors.New("reset")}).whole()},
		"another's answer": {(&outcome{id: "r", route: "hold", status: http.StatusOK, signed: true, body: "done s"}).whole(),
			(&outcome{id: "r", route: "hold", status: http.StatusOK, signed: true, body: "done r"}).whole()},
		"refusal": {(&outcome{status: http.StatusServiceUnavailable}).truthful([]sighting{run(first, 0, 1, true)}),
			(&outcome{status: http.StatusBadGateway}).truthful([]sighting{run(first, 0, 1, true)})},
		"key": {w.withdrawn(&outcome{key: "gone", sent: after(revokeWithin + 1)}, []sighting{run(first, 0, 1, true)}),
			w.withdrawn(&outcome{key: "gone", sent: after(revokeWithin)}, []sighting{run(first, 0, 1, true)})},
		"drained": {w.leftAlone(&outcome{host: h}, []sighting{run(leaves, drainWithin+2*scheduling, drainWithin+2*scheduling, true)}),
			w.leftAlone(&outcome{host: h}, []sighting{run(leaves, drainWithin, drainWithin, true)})},
		"account": {otherAccount([]sighting{{account: "others"}}), otherAccount([]sighting{{account: account}})},
		"denied": {w.denied(&outcome{host: h, status: http.StatusUnauthorized, key: "key-1", sent: at, ended: at}),
			w.denied(&outcome{host: h, status: http.StatusUnauthorized, key: "gone", sent: at, ended: at})},
	} {
		require.NotEmpty(t, c.broken, name)
		require.Empty(t, c.kept, name)
	}
	w.troubles.during("host-0", plannedStop, func() { time.Sleep(time.Millisecond) })
	cut := &outcome{id: "r", route: "hold", host: h, sent: at, ended: time.Now().Add(time.Second), err: errors.New("reset")}
	require.NotEmpty(t, w.cutsNothing(cut, []sighting{run(leaves, 0, 0, true)}))
	w.troubles.during("host-0", "freeze", func() {})
	require.Empty(t, w.cutsNothing(cut, []sighting{run(leaves, 0, 0, true)}), "the host was disturbed otherwise")
}
