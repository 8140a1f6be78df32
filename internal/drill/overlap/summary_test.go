package overlap

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSummaryCountsTimeAtTwoEngines(t *testing.T) {
	const ms = time.Millisecond
	of := func(run string, parts ...Part) []Part {
		for i := range parts {
			parts[i].Run = run
		}
		return parts
	}
	for name, c := range map[string]struct {
		parts []Part
		want  Summary
	}{
		"none":                     {nil, Summary{}},
		"one after another":        {of("r-1", part("e-1", 0, 1000, true), part("e-2", 1000, 2000, false)), Summary{}},
		"both":                     {of("r-1", part("e-1", 0, 1000, true), part("e-2", 900, 2000, false)), Summary{1, 100 * ms, 100 * ms, "r-1", []string{"e-1", "e-2"}}},
		"the second one given up":  {of("r-1", part("e-1", 0, 1000, false), part("e-2", 500, 600, true)), Summary{1, 100 * ms, 100 * ms, "r-1", []string{"e-1", "e-2"}}},
		"one within a silence":     {of("r-1", part("e-1", 0, 1000, false, span(400, 700)), part("e-2", 500, 800, true)), Summary{1, 100 * ms, 100 * ms, "r-1", []string{"e-1", "e-2"}}},
		"silent in turn":           {of("r-1", part("e-1", 0, 1000, false, span(400, 700)), part("e-2", 500, 800, true, span(650, 900))), Summary{}},
		"three count once":         {of("r-1", part("e-1", 0, 1000, false), part("e-2", 500, 800, true), part("e-3", 600, 900, true)), Summary{1, 400 * ms, 400 * ms, "r-1", []string{"e-1", "e-2", "e-3"}}},
		"the same engine":          {of("r-1", part("e-1", 0, 1000, false), part("e-1", 500, 800, true)), Summary{}},
		"the same engine, a third": {of("r-1", part("e-1", 0, 1000, false), part("e-1", 500, 800, true), part("e-2", 700, 750, true)), Summary{1, 50 * ms, 50 * ms, "r-1", []string{"e-1", "e-2"}}},
		"two runs": {append(of("r-1", part("e-1", 0, 1000, false), part("e-2", 900, 2000, false)), of("r-2", part("e-1", 0, 1000, false), part("e-2", 700, 2000, false))...),
			Summary{2, 400 * ms, 300 * ms, "r-2", []string{"e-1", "e-2"}}},
		"runs apart": {append(of("r-1", part("e-1", 0, 1000, false)), of("r-2", part("e-2", 0, 1000, false))...), Summary{}},
	} {
		require.Equal(t, c.want, Summarize(c.parts), name)
	}
}

func TestSummaryNamesRunWithTheLongestTime(t *testing.T) {
	require.Equal(t, "0 runs", Summary{}.String())
	require.Equal(t, "2 runs, 400ms in all, longest 300ms: r-2 at e-1, e-2", Summary{2, 400 * time.Millisecond, 300 * time.Millisecond, "r-2", []string{"e-1", "e-2"}}.String())
}
