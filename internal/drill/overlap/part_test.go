package overlap

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/drill/record"
)

const most = 400 * time.Millisecond

// at returns a time in ms after the begin of the tests' runs.
func at(ms int) time.Time {
	return time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(time.Duration(ms) * time.Millisecond)
}

func span(from, to int) record.Span { return record.Span{From: at(from), To: at(to)} }

// part returns one that sent its first event 100 ms after its begin.
func part(engine string, from, to int, gaveUp bool, silences ...record.Span) Part {
	return Part{Run: "r-1", Engine: engine, Span: span(from, to), FirstEvent: at(from + 100), GaveUp: gaveUp, Idle: silences}
}

// withoutEvent returns a part that was given up before it sent an event.
func withoutEvent(engine string, from, to int, silences ...record.Span) Part {
	p := part(engine, from, to, true, silences...)
	p.FirstEvent = time.Time{}
	return p
}

func TestWorkBesideLaterEngineIsFound(t *testing.T) {
	first := part("e-1", 0, 5000, false)
	for name, c := range map[string]struct {
		first                 Part
		later                 []Part
		unreached, outOfTouch []record.Span
		at                    int // 0 if none is found
	}{
		"none later":                            {first, nil, nil, nil, 0},
		"for 400 ms":                            {part("e-1", 0, 1400, true), []Part{part("e-2", 1000, 3000, false)}, nil, nil, 0},
		"for longer":                            {part("e-1", 0, 1401, true), []Part{part("e-2", 1000, 3000, false)}, nil, nil, 1400},
		"the later one given up":                {first, []Part{part("e-2", 1000, 1400, true)}, nil, nil, 0},
		"the later one given up later":          {first, []Part{part("e-2", 1000, 1500, true)}, nil, nil, 1400},
		"the later one completed the run":       {first, []Part{part("e-2", 1000, 1200, false)}, nil, nil, 1400},
		"given up twice":                        {first, []Part{part("e-2", 1000, 1300, true), part("e-3", 2500, 2800, true)}, nil, nil, 0},
		"went on at a third one":                {first, []Part{part("e-2", 1000, 1300, true), part("e-3", 1310, 1650, true)}, nil, nil, 1500},
		"went on at a third one that completed": {part("e-1", 0, 1600, true), []Part{part("e-2", 1000, 1300, true), part("e-3", 1310, 3000, false)}, nil, nil, 1500},
		"silent":                                {part("e-1", 0, 5000, false, span(900, 4700)), []Part{part("e-2", 1000, 3000, false)}, nil, nil, 0},
		"silent and back":                       {part("e-1", 0, 5000, false, span(900, 2000)), []Part{part("e-2", 1000, 3000, false)}, nil, nil, 2400},
		"silent before the other one began":     {part("e-1", 0, 5000, false, span(200, 900)), []Part{part("e-2", 1000, 3000, false)}, nil, nil, 1400},
		"the later one silent, no event":        {first, []Part{withoutEvent("e-2", 1000, 2500, span(1050, 2500))}, nil, nil, 0},
		"the later one silent after an event":   {first, []Part{part("e-2", 1000, 2500, true, span(1150, 2500))}, nil, nil, 1500},
		"the later one at work, no event":       {first, []Part{withoutEvent("e-2", 1000, 2500)}, nil, nil, 1400},
		"unreached for a while":                 {first, []Part{part("e-2", 1000, 3000, false)}, []record.Span{span(1200, 1400)}, nil, 1600},
		"out of touch at first":                 {first, []Part{part("e-2", 1000, 3000, false)}, nil, []record.Span{span(1200, 4400)}, 4400},
		"out of touch to the end":               {first, []Part{part("e-2", 1000, 3000, false)}, nil, []record.Span{span(1200, 5000)}, 0},
		"out of touch before":                   {first, []Part{part("e-2", 1000, 3000, false)}, nil, []record.Span{span(1000, 1400)}, 1400},
		"in touch only while it is silent":      {part("e-1", 0, 5000, false, span(1450, 4600)), []Part{part("e-2", 1000, 3000, false)}, nil, []record.Span{span(0, 1450), span(4600, 5000)}, 0},
		"unreached until just before the end":   {first, []Part{part("e-2", 1000, 3000, false)}, []record.Span{span(900, 4700)}, nil, 0},
	} {
		o, found := c.first.WorksBeside(c.later, most, c.unreached, c.outOfTouch)
		require.Equal(t, c.at != 0, found, "%s: %v", name, o)
		if found {
			require.Equal(t, at(c.at), o.At, name)
			require.Equal(t, "e-2", o.Other, name)
		}
	}
}

func TestTimeOutsideSpans(t *testing.T) {
	for name, c := range map[string]struct {
		spans   []record.Span
		to      int
		reached int // 0 if it isn't
	}{
		"none":                           {nil, 2000, 1400},
		"none, too short":                {nil, 1400, 0},
		"before":                         {[]record.Span{span(0, 900)}, 2000, 1400},
		"over the beginning":             {[]record.Span{span(0, 1100)}, 2000, 1500},
		"in the middle":                  {[]record.Span{span(1200, 1300)}, 2000, 1500},
		"after":                          {[]record.Span{span(1500, 1600)}, 2000, 1400},
		"two that overlap, not in order": {[]record.Span{span(1250, 1350), span(1200, 1300)}, 2000, 1550},
		"one in another":                 {[]record.Span{span(1100, 1500), span(1200, 1300)}, 2000, 1800},
	} {
		reachedAt, reached := timeOutside(c.spans, at(1000), at(c.to), most)
		require.Equal(t, c.reached != 0, reached, name)
		if reached {
			require.Equal(t, at(c.reached), reachedAt, name)
		}
	}
}
