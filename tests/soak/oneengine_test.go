package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/platform/standin"
)

// checkOneEngine checks that an engine stops its work on a run soon after the run went on at
// another one, if the host is in touch and reaches the engine.
func (c *cluster) checkOneEngine(o *outcome, seen []observation) string {
	if !o.isStream() {
		return ""
	}
	for i, s := range seen {
		for _, before := range seen[:i] {
			at, both := worksBeside(before, s)
			if !both || c.disturbances.affected(at, at, "", o.host.name) || c.disturbances.interrupted(s.arrivedAt, at, before.target.id, "target path") {
				continue
			}
			return fmt.Sprintf("%s still works on it at %s, although it went on at %s at %s", before.target.id, at.Format(timeLayout), s.target.id, s.arrivedAt.Format(timeLayout))
		}
	}
	return ""
}

// worksBeside returns when two engines have worked on a run at the same time for
// maxRunOverlap, without their silences. What one does after the other has given up its part
// doesn't count.
func worksBeside(before, after observation) (at time.Time, both bool) {
	end := before.endedAt
	if !after.completed {
		end = earlier(end, after.endedAt)
	}
	silences := append(before.target.silences(), after.target.silences()...)
	return timeOf(silences, after.arrivedAt, end, maxRunOverlap)
}

// timeOf returns when the time outside the silences since from exceeds d, if it does before
// to.
func timeOf(silences []standin.Silence, from, to time.Time, d time.Duration) (at time.Time, reached bool) {
	if timeOutside(silences, from, to) <= d {
		return time.Time{}, false
	}
	for at = from; timeOutside(silences, from, at) <= d; {
		at = at.Add(d - timeOutside(silences, from, at) + time.Millisecond)
	}
	return at, true
}

func TestOneEngineCheckDetectsViolations(t *testing.T) {
	at := time.Now()
	span := func(n int, from, to time.Duration, completed bool) observation {
		return observation{arrivedAt: at.Add(from), endedAt: at.Add(to), completed: completed, target: &target{id: fmt.Sprintf("t-%d", n)}}
	}
	const ms = time.Millisecond
	h := &host{name: "host-0"}
	draft := &outcome{id: "r", route: "draft", host: h}
	first, second := span(1, 0, 5000*ms, true), span(2, 4500*ms, 4890*ms, false)
	for name, test := range map[string]struct {
		seen      []observation
		disturbed []disturbance
		violation bool
	}{
		"both for over 400 ms":            {[]observation{span(1, 0, 1000*ms, false), span(2, 500*ms, 2000*ms, true)}, nil, true},
		"both for 400 ms":                 {[]observation{span(1, 0, 900*ms, false), span(2, 500*ms, 2000*ms, true)}, nil, false},
		"the second one gave up":          {[]observation{first, second}, nil, false},
		"the second one completed":        {[]observation{first, span(2, 4500*ms, 4890*ms, true)}, nil, true},
		"the first and the third":         {[]observation{first, second, span(3, 4510*ms, 6000*ms, true)}, nil, true},
		"host frozen within contactBound": {[]observation{first, span(2, 4500*ms, 6000*ms, true)}, []disturbance{{"host-0", "freeze", at.Add(1000 * ms), at.Add(2000 * ms)}}, false},
		"host frozen earlier":             {[]observation{first, span(2, 4500*ms, 6000*ms, true)}, []disturbance{{"host-0", "freeze", at, at.Add(1500 * ms)}}, true},
		"host frozen until later":         {[]observation{first, span(2, 4500*ms, 6000*ms, true)}, []disturbance{{"host-0", "freeze", at.Add(4600 * ms), at.Add(6000 * ms)}}, false},
		"path to the first one cut":       {[]observation{first, span(2, 4500*ms, 6000*ms, true)}, []disturbance{{"t-1", "target path", at.Add(4600 * ms), at.Add(4700 * ms)}}, false},
		"path to the second one cut":      {[]observation{first, span(2, 4500*ms, 6000*ms, true)}, []disturbance{{"t-2", "target path", at.Add(4600 * ms), at.Add(4700 * ms)}}, true},
		"the first one leaves":            {[]observation{first, span(2, 4500*ms, 6000*ms, true)}, []disturbance{{"t-1", "leaves", at.Add(4000 * ms), at.Add(6000 * ms)}}, true},
	} {
		c := &cluster{t: t, disturbances: &disturbanceLog{all: test.disturbed}}
		require.Equal(t, test.violation, c.checkOneEngine(draft, test.seen) != "", name)
	}
	silence := standin.Silence{From: at.Add(100 * ms), To: at.Add(600 * ms)}
	reached, ok := timeOf([]standin.Silence{silence}, at, at.Add(time.Second), 400*ms)
	require.True(t, ok)
	require.WithinDuration(t, at.Add(900*ms), reached, 2*ms)
}
