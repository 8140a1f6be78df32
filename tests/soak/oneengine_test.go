package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/drill/overlap"
	"corianderhitch/internal/drill/record"
	"corianderhitch/platform/standin"
)

// checkOneEngine checks that an engine stops its work on a run soon after the run went on at
// another one, if the host is in touch and reaches the engine.
func (c *cluster) checkOneEngine(o *outcome, seen []observation) string {
	if !o.isStream() {
		return ""
	}
	parts := partsOf(o.id, seen)
	outOfTouch := c.disturbances.spans(o.host.name)
	for i := range outOfTouch {
		outOfTouch[i].To = outOfTouch[i].To.Add(contactBound)
	}
	for i, before := range parts {
		beside, both := before.WorksBeside(parts[i+1:], maxRunOverlap, c.disturbances.spans(before.Engine, "target path"), outOfTouch)
		if both {
			return fmt.Sprintf("%s still works on it at %s, although it went on at %s at %s", before.Engine, beside.At.Format(timeLayout), beside.Other, beside.Since.Format(timeLayout))
		}
	}
	return ""
}

// partsOf returns the work of engines on a run.
func partsOf(id string, seen []observation) []overlap.Part {
	parts := make([]overlap.Part, 0, len(seen))
	for _, s := range seen {
		p := overlap.Part{Run: id, Engine: s.target.id, Span: record.Span{From: s.arrivedAt, To: s.endedAt}, FirstEvent: s.firstEvent, GaveUp: !s.completed}
		for _, silence := range s.target.silences() {
			p.Idle = append(p.Idle, record.Span(silence))
		}
		parts = append(parts, p)
	}
	return parts
}

// timeAtTwo sums up the time in which two engines worked on a run, whatever the reason, with or
// without the silences of engines.
func timeAtTwo(seen map[string][]observation, silences bool) overlap.Summary {
	var parts []overlap.Part
	for id, of := range seen {
		for _, p := range partsOf(id, of) {
			if silences {
				p.Idle = nil
			}
			parts = append(parts, p)
		}
	}
	return overlap.Summarize(parts)
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
		"path cut only at first":          {[]observation{first, span(2, 4500*ms, 6000*ms, true)}, []disturbance{{"t-1", "target path", at.Add(4500 * ms), at.Add(4550 * ms)}}, true},
		"path cut shortly before":         {[]observation{first, span(2, 4500*ms, 6000*ms, true)}, []disturbance{{"t-1", "target path", at.Add(4000 * ms), at.Add(4400 * ms)}}, true},
		"path cut shortly after":          {[]observation{first, span(2, 4500*ms, 6000*ms, true)}, []disturbance{{"t-1", "target path", at.Add(4950 * ms), at.Add(6000 * ms)}}, true},
		"path cut to the end":             {[]observation{first, span(2, 4500*ms, 6000*ms, true)}, []disturbance{{"t-1", "target path", at.Add(4800 * ms), time.Time{}}}, false},
		"host in touch again":             {[]observation{first, span(2, 4500*ms, 6000*ms, true)}, []disturbance{{"host-0", "freeze", at.Add(1000 * ms), at.Add(1950 * ms)}}, true},
		"host frozen afterwards":          {[]observation{first, span(2, 4500*ms, 6000*ms, true)}, []disturbance{{"host-0", "freeze", at.Add(4950 * ms), at.Add(6000 * ms)}}, true},
		"the first one leaves":            {[]observation{first, span(2, 4500*ms, 6000*ms, true)}, []disturbance{{"t-1", "leaves", at.Add(4000 * ms), at.Add(6000 * ms)}}, true},
	} {
		c := &cluster{t: t, disturbances: &disturbanceLog{all: test.disturbed}}
		require.Equal(t, test.violation, c.checkOneEngine(draft, test.seen) != "", name)
	}
}

func TestOneEngineCheckDetectsWorkBesideSilentEngine(t *testing.T) {
	const silence = 2 * time.Second
	set := standin.NewEngines()
	e := set.Start("e-2", listen(t))
	t.Cleanup(e.Crash)
	e.FallSilent(silence)
	at := e.Silences()[0].From.Add(-200 * time.Millisecond)
	o := &outcome{id: "r", route: "draft", host: &host{name: "host-0"}}
	seen := []observation{
		{arrivedAt: at.Add(-time.Second), endedAt: at.Add(silence), target: &target{id: "t-1"}, completed: true},
		{arrivedAt: at, endedAt: at.Add(silence), target: &target{id: "t-2", engine: e}},
	}
	c := &cluster{t: t, disturbances: &disturbanceLog{}}
	require.Empty(t, c.checkOneEngine(o, seen), "nobody knows that it has begun")
	seen[1].firstEvent = at.Add(100 * time.Millisecond)
	require.NotEmpty(t, c.checkOneEngine(o, seen), "silent after its first event")
	all := map[string][]observation{"r": seen}
	require.Equal(t, 200*time.Millisecond, timeAtTwo(all, false).Sum)
	require.Equal(t, overlap.Summary{Runs: 1, Sum: silence, Longest: silence, Run: "r", Engines: []string{"t-1", "t-2"}}, timeAtTwo(all, true))
}
