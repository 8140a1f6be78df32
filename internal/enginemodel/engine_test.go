package enginemodel

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/api/engine"
	"corianderhitch/api/problem"
	"corianderhitch/internal/prefix"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// testConfig configures an engine that serves model m, version 1, with adapter a.
func testConfig() Config {
	return Config{Name: "e1", Loaded: []engine.Loaded{{Model: "m", Version: "1", Adapters: []string{"a"}}}}
}

func request(id, prompt string) engine.GenerateRequest {
	return engine.GenerateRequest{ID: id, Model: "m", Version: "1", Prompt: prompt}
}

// run steps an engine until it is idle and returns all events in order.
func run(e *Engine) []Event {
	var all []Event
	for {
		next, ok := e.NextStep()
		if !ok {
			return all
		}
		all = append(all, e.Step(next)...)
	}
}

func TestGenerationHasAllTokensInOrder(t *testing.T) {
	e := New(testConfig())
	require.NoError(t, e.Start(epoch, request("g", "hello #len=5")))
	var offsets []int
	events := run(e)
	for _, event := range events[:len(events)-1] {
		require.Equal(t, EventToken, event.Kind)
		offsets = append(offsets, event.Tokens)
	}
	require.Equal(t, []int{0, 1, 2, 3, 4}, offsets)
	require.Equal(t, Event{Kind: EventDone, ID: "g", Tokens: 5, Reason: engine.FinishStop}, events[5])
}

func TestSilentEngineKeepsItsGenerations(t *testing.T) {
	e := New(testConfig())
	require.NoError(t, e.Start(epoch, request("g", "hello #len=4")))
	first, _ := e.NextStep()
	require.Len(t, e.Step(first), 1)
	silentUntil := first.Add(time.Second)
	e.Silence(silentUntil)
	require.NoError(t, e.Start(first, request("h", "hello #len=1")), "a silent engine takes new generations")
	next, ok := e.NextStep()
	require.True(t, ok)
	require.Equal(t, silentUntil, next)
	require.Empty(t, e.Step(silentUntil.Add(-time.Millisecond)))
	tokens := map[string]int{}
	for _, event := range run(e) {
		if event.Kind == EventToken {
			tokens[event.ID]++
		}
	}
	require.Equal(t, map[string]int{"g": 3, "h": 1}, tokens)
}

func TestCrashingBlockCrashesTheEngineWhateverFollows(t *testing.T) {
	shared := strings.Repeat("s", 2*BlockTokens*prefix.BytesPerToken)
	guilty := shared + strings.Repeat("g", BlockTokens*prefix.BytesPerToken)
	config := testConfig()
	hashes := prefix.BlockHashes("m", "1", "", guilty)
	config.CrashingBlock = hashes[len(hashes)-1]
	for prompt, crashes := range map[string]bool{guilty + "one": true, guilty + "two": true, shared + "sound": false} {
		e := New(config)
		require.NoError(t, e.Start(epoch, request("g", prompt+" #len=2")))
		events := run(e)
		if crashes {
			require.Equal(t, []Event{{Kind: EventCrashed, ID: "g"}}, events, "before its first token")
		} else {
			require.Equal(t, EventDone, events[len(events)-1].Kind)
		}
	}
}

func TestMaxTokensEndsWithReasonLength(t *testing.T) {
	e := New(testConfig())
	r := request("g", "#len=50")
	r.MaxTokens = 3
	require.NoError(t, e.Start(epoch, r))
	events := run(e)
	require.Equal(t, Event{Kind: EventDone, ID: "g", Tokens: 3, Reason: engine.FinishLength}, events[len(events)-1])
}

func TestStepTimeGrowsWithBatchAndPrefill(t *testing.T) {
	config := testConfig()
	config.StepBase, config.StepPerSequence, config.StepPerPrefillToken = 10*time.Millisecond, time.Millisecond, 10*time.Microsecond
	e := New(config)
	require.NoError(t, e.Submit(epoch, Submission{ID: "a", Model: "m", Version: "1", PromptTokens: 100, Length: 9}))
	require.NoError(t, e.Submit(epoch, Submission{ID: "b", Model: "m", Version: "1", PromptTokens: 200, Length: 9}))
	first, _ := e.NextStep()
	require.Equal(t, 11*time.Millisecond, first.Sub(epoch), "base and 100 prefill tokens")
	e.Step(first)
	second, _ := e.NextStep()
	require.Equal(t, 13*time.Millisecond, second.Sub(first), "base, one sequence and 200 prefill tokens")
	e.Step(second)
	third, _ := e.NextStep()
	require.Equal(t, 12*time.Millisecond, third.Sub(second), "base and two sequences")
}

func TestPrefillIsChunked(t *testing.T) {
	config := testConfig()
	config.PrefillChunk = 100
	e := New(config)
	require.NoError(t, e.Submit(epoch, Submission{ID: "a", Model: "m", Version: "1", PromptTokens: 250, Length: 1}))
	run(e)
	require.EqualValues(t, 3, e.Stats().Steps)
	require.EqualValues(t, 250, e.Stats().PrefillTokens)
}

func TestCachedPrefixIsNotComputedAgain(t *testing.T) {
	e := New(testConfig())
	prompt := fmt.Sprintf("%01000d", 7)
	require.NoError(t, e.Start(epoch, request("a", prompt+"#len=2")))
	run(e)
	first := e.Stats().PrefillTokens
	require.NoError(t, e.Start(epoch.Add(time.Second), request("b", prompt+"#len=2")))
	run(e)
	cached := len(prompt) / (prefix.BlockTokens * prefix.BytesPerToken) * BlockTokens
	require.EqualValues(t, cached, e.Stats().CachedTokens)
	require.EqualValues(t, first-int64(cached), e.Stats().PrefillTokens-first)
	other := request("c", prompt+"#len=2")
	other.Adapter = "a"
	require.NoError(t, e.Start(epoch.Add(2*time.Second), other))
	run(e)
	require.EqualValues(t, cached, e.Stats().CachedTokens, "requests with another adapter share no blocks")
}

func TestFullMemoryPreemptsTheLowestPriority(t *testing.T) {
	config := testConfig()
	config.TotalBlocks = 4
	e := New(config)
	submit := func(id string, priority int) {
		require.NoError(t, e.Submit(epoch, Submission{ID: id, Model: "m", Version: "1", Priority: priority, PromptTokens: 60, Length: 100}))
	}
	submit("low", 1)
	submit("high", 5)
	preempted := make(map[string]int)
	var stall time.Duration
	for _, event := range run(e) {
		switch event.Kind {
		case EventPreempted:
			preempted[event.ID]++
		case EventResumed:
			stall += event.Stall
		}
	}
	require.Equal(t, map[string]int{"low": 1}, preempted)
	require.Equal(t, stall, e.Stats().Stall)
	require.Positive(t, stall)
	require.EqualValues(t, 2, e.Stats().Finished)
	require.EqualValues(t, 200, e.Stats().Tokens, "no token is produced twice")
}

func TestContinuesFromPrefix(t *testing.T) {
	e := New(testConfig())
	id := Identity{Generation: "g", Model: "m", Version: "1"}
	r := request("g", "#len=4")
	r.Prefix = []string{TokenText(id, 0), TokenText(id, 1)}
	require.NoError(t, e.Start(epoch, r))
	events := run(e)
	require.Equal(t, []Event{
		{Kind: EventToken, ID: "g", Tokens: 2},
		{Kind: EventToken, ID: "g", Tokens: 3},
		{Kind: EventDone, ID: "g", Tokens: 4, Reason: engine.FinishStop},
	}, events)
	r.Version = "2"
	r.ID = "h"
	require.Equal(t, problem.KindBadRequest, problem.From(e.Start(epoch, r)).Kind, "a splice is rejected")
}

func TestCompletePrefixEndsWithoutToken(t *testing.T) {
	e := New(testConfig())
	require.NoError(t, e.Submit(epoch, Submission{ID: "g", Model: "m", Version: "1", PromptTokens: 9, Length: 4, Produced: 4}))
	require.Equal(t, []Event{{Kind: EventDone, ID: "g", Tokens: 4, Reason: engine.FinishStop}}, run(e))
}

func TestCrashDirectiveCrashesTheEngine(t *testing.T) {
	e := New(testConfig())
	require.NoError(t, e.Start(epoch, request("beside", "#len=900")))
	next, _ := e.NextStep()
	require.Len(t, e.Step(next), 1)
	require.NoError(t, e.Start(epoch, request("bad", "#crash")))
	next, _ = e.NextStep()
	require.Len(t, e.Step(next), 1, "the crashing request is admitted in the next step")
	require.Equal(t, []Event{{Kind: EventCrashed, ID: "bad"}}, run(e))
	require.Equal(t, StatusCrashed, e.Status())
	require.Error(t, e.Start(epoch, request("late", "x")))
}

func TestCancelFreesMemory(t *testing.T) {
	e := New(testConfig())
	require.NoError(t, e.Start(epoch, request("g", "#len=900")))
	next, _ := e.NextStep()
	e.Step(next)
	tokens, ok := e.Cancel(next, "g")
	require.True(t, ok)
	require.Equal(t, 1, tokens)
	require.Zero(t, e.CurrentLoad(next).UsedBlocks)
	_, ok = e.Cancel(next, "g")
	require.False(t, ok)
}

func TestReclaimRejectsThenStops(t *testing.T) {
	e := New(testConfig())
	require.NoError(t, e.Start(epoch, request("g", "#len=900")))
	e.Reclaim(epoch, 2*time.Second)
	rejection := problem.From(e.Start(epoch, request("h", "x")))
	require.Equal(t, problem.KindDraining, rejection.Kind)
	require.Equal(t, problem.RanNo, rejection.Ran)
	events := run(e)
	require.Equal(t, EventStopped, events[len(events)-1].Kind)
	require.Equal(t, StatusStopped, e.Status())
	require.Greater(t, len(events), 50, "the generation continued during the notice")
}

func TestRejections(t *testing.T) {
	config := testConfig()
	config.TotalBlocks, config.MaxBatch, config.MaxWaiting = 2, 1, 1
	tests := map[string]struct {
		submission Submission
		kind       problem.Kind
	}{
		"unknown version": {Submission{ID: "x", Model: "m", Version: "2", PromptTokens: 1}, problem.KindUnknownModel},
		"unknown adapter": {Submission{ID: "x", Model: "m", Version: "1", Adapter: "z", PromptTokens: 1}, problem.KindUnknownModel},
		"too large":       {Submission{ID: "x", Model: "m", Version: "1", PromptTokens: 128}, problem.KindTooLarge},
		"queue full":      {Submission{ID: "x", Model: "m", Version: "1", PromptTokens: 1}, problem.KindOverloaded},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := New(config)
			for _, id := range []string{"a", "b"} {
				require.NoError(t, e.Submit(epoch, Submission{ID: id, Model: "m", Version: "1", PromptTokens: 1, Length: 9}))
			}
			err := problem.From(e.Submit(epoch, test.submission))
			require.Equal(t, test.kind, err.Kind)
			require.Equal(t, problem.RanNo, err.Ran)
		})
	}
}

func TestMemoryShrinkPreemptsAndAllFinish(t *testing.T) {
	e := New(testConfig())
	for i := range 8 {
		require.NoError(t, e.Submit(epoch, Submission{ID: fmt.Sprint(i), Model: "m", Version: "1", PromptTokens: 100, Length: 50}))
	}
	next, _ := e.NextStep()
	e.Step(next)
	next, _ = e.NextStep()
	e.Step(next)
	e.SetTotalBlocks(next, 6)
	require.LessOrEqual(t, e.pool.used(), 6)
	run(e)
	require.EqualValues(t, 8, e.Stats().Finished)
}

func TestLoadReportsLag(t *testing.T) {
	config := testConfig()
	config.ReportEvery, config.ReportLag = 100*time.Millisecond, 500*time.Millisecond
	e := New(config)
	require.Zero(t, e.Load(epoch).Running)
	require.NoError(t, e.Start(epoch, request("g", "#len=900")))
	for {
		next, _ := e.NextStep()
		if next.Sub(epoch) > 2*time.Second {
			break
		}
		e.Step(next)
		report := e.Load(next)
		age := next.Sub(report.ReportedAt)
		require.Equal(t, next.Sub(epoch) >= 600*time.Millisecond, report.Running == 1)
		if report.Running == 1 {
			require.True(t, age >= 500*time.Millisecond && age <= 650*time.Millisecond, "age %v", age)
		}
	}
	require.Equal(t, 500*time.Millisecond, epoch.Add(time.Hour).Sub(e.Load(epoch.Add(time.Hour)).ReportedAt), "after a pause")
}

func TestStepDoesNotAllocate(t *testing.T) {
	config := testConfig()
	config.TotalBlocks, config.ReportEvery, config.ReportLag = 1<<30, 100*time.Millisecond, time.Second
	e := New(config)
	for i := range 32 {
		require.NoError(t, e.Submit(epoch, Submission{ID: fmt.Sprint(i), Model: "m", Version: "1", PromptTokens: 9, Length: 1 << 40}))
	}
	step := func() {
		next, _ := e.NextStep()
		e.Step(next)
	}
	for range 200 {
		step()
	}
	require.Zero(t, testing.AllocsPerRun(1000, step))
}

func TestPausedEngineRejectsOnlyNewGenerations(t *testing.T) {
	e := New(testConfig())
	require.NoError(t, e.Start(epoch, request("before", "#len=3")))
	e.Pause(epoch.Add(6 * time.Second))
	rejection := problem.From(e.Start(epoch.Add(2*time.Second), request("in", "#len=3")))
	require.Equal(t, problem.KindOverloaded, rejection.Kind)
	require.Equal(t, http.StatusServiceUnavailable, rejection.Status)
	require.Equal(t, problem.RanNo, rejection.Ran)
	require.Equal(t, 4*time.Second, rejection.RetryAfter)
	events := run(e)
	require.Equal(t, EventDone, events[len(events)-1].Kind)
	require.NoError(t, e.Start(epoch.Add(6*time.Second), request("after", "#len=3")))
}
