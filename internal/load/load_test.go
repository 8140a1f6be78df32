package load

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/experiment"
)

var testMix = Mix{
	Seed: 7, RequestsPerSecond: 200, Duration: 10 * time.Second, Accounts: 4, LookupShare: 0.2, HoldShare: 0.1,
	MedianTokens: 50, SigmaTokens: 1, MaxTokens: 500, PromptTokens: 100,
}

func TestSameMixGivesSamePlan(t *testing.T) {
	plan := NewPlan(testMix)
	require.Equal(t, plan, NewPlan(testMix))
	require.InDelta(t, 2000, len(plan), 200)
	counts := map[Kind]int{}
	ids := map[string]bool{}
	for i, a := range plan {
		counts[a.Kind]++
		require.False(t, ids[a.ID])
		ids[a.ID] = true
		require.Less(t, a.At, testMix.Duration)
		if i > 0 {
			require.GreaterOrEqual(t, a.At, plan[i-1].At)
		}
		require.LessOrEqual(t, a.Tokens, testMix.MaxTokens)
	}
	require.InDelta(t, 0.2, float64(counts[KindLookup])/float64(len(plan)), 0.04)
	require.InDelta(t, 0.1, float64(counts[KindHold])/float64(len(plan)), 0.03)
}

func TestReadStreamDetectsInvariantViolations(t *testing.T) {
	event := func(generation, offset string) string {
		return `data: {"generation":"` + generation + `","offset":` + offset + "}\n\n"
	}
	end := "data: [DONE]\n\n"
	for name, c := range map[string]struct {
		body              string
		tokens            int
		violation, failed string
	}{
		"whole":     {body: event("g", "0") + event("g", "1") + end, tokens: 2},
		"finish":    {body: event("g", "0") + "data: {\"generation\":\"g\",\"offset\":1,\"choices\":[{\"finish_reason\":\"stop\"}]}\n\n" + end, tokens: 1},
		"gap":       {body: event("g", "0") + event("g", "2") + end, tokens: 2, violation: "offset 2 where 1 was due"},
		"duplicate": {body: event("g", "0") + event("g", "0") + end, tokens: 2, violation: "offset 0 where 1 was due"},
		"spliced":   {body: event("g", "0") + event("h", "1") + end, tokens: 2, violation: "spliced"},
		"cut":       {body: event("g", "0"), tokens: 1, failed: "stream cut"},
		"error":     {body: event("g", "0") + "event: error\ndata: {\"kind\":\"generation-lost\"}\n\n", tokens: 1, failed: "generation-lost"},
	} {
		t.Run(name, func(t *testing.T) {
			o := readStream(Arrival{}, time.Now(), strings.NewReader(c.body), decodeChunk)
			require.Equal(t, c.tokens, o.Tokens)
			require.Equal(t, c.failed, o.FailureCause)
			require.Contains(t, o.Violation, c.violation)
			require.Equal(t, c.violation == "", o.Violation == "")
		})
	}
}

func TestResultCountsAllOutcomes(t *testing.T) {
	r := NewRecorder()
	for range 3 {
		r.RecordOffered()
	}
	gap := stallThreshold + 50*time.Millisecond
	r.RecordOutcome(Outcome{Arrival: Arrival{Kind: KindCompletion}, Tokens: 3, FirstResponse: 10 * time.Millisecond, TokenGaps: []time.Duration{gap, time.Millisecond}})
	r.RecordOutcome(Outcome{RejectionKind: "overloaded"})
	r.RecordOutcome(Outcome{FailureCause: "connection"})
	result := r.Result("x", 1, time.Second)
	require.Equal(t, 3, result.Offered)
	require.Equal(t, 1, result.Completed)
	require.Equal(t, map[string]int{"overloaded": 1}, result.Rejected)
	require.Equal(t, map[string]int{"connection": 1}, result.Failed)
	require.InDelta(t, 0.05, result.StallSeconds, 1e-9)
	require.InDelta(t, 10, ValueAt(result.FirstToken, 50), 0.1)
	require.NoError(t, plotResults(t.TempDir(), []Result{result}))
}

func TestPausesAreDrawn(t *testing.T) {
	dir := t.TempDir()
	results := []experiment.Result{
		{Scenario: "pause", Policy: "a", Offered: 10, Completed: 9, ReturnCurve: []float64{1, 2}},
		{Scenario: "pause", Policy: "a", Offered: 10, Completed: 9, ReturnCurve: []float64{2, 4}},
		{Scenario: "pause", Policy: "b", Offered: 10, Completed: 10, ReturnCurve: []float64{0, 1}},
	}
	lines := returnLines(results)
	require.Len(t, lines, 2)
	require.Equal(t, []float64{0, 0.25}, lines[0].X)
	require.Equal(t, []float64{1.5, 3}, lines[0].Y)
	require.NoError(t, drawExperiment(dir, results))
	for _, name := range []string{"served", "arrivals", "first_token", "return"} {
		require.FileExists(t, filepath.Join(dir, "pause_"+name+".svg"))
	}
}

func TestRestartsAreDrawn(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, drawExperiment(dir, []experiment.Result{
		{Scenario: "restart", Policy: "a", Offered: 10, BrokenOff: 3},
		{Scenario: "restart", Policy: "b", Offered: 10, TokensDecodedAgain: 40},
	}))
	for _, name := range []string{"broken_off", "tokens_again", "stall"} {
		require.FileExists(t, filepath.Join(dir, "restart_"+name+".svg"))
	}
}
