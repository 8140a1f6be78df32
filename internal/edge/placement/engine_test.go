package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/policy"
	"corianderhitch/internal/edge/targets"
)

var engine = &policy.Engine{Slots: 24, MemoryTokens: 20000}

// candidate returns a sound engine. Its runs are at their ends unless l tells what
// they hold.
func candidate(id, zone string, l inflight.Load) Candidate {
	if l.Held == 0 {
		l.Held = l.Tokens
	}
	return Candidate{Target: &targets.Target{ID: id, Domain: zone}, Load: l, FailureCost: 1}
}

func TestEngine(t *testing.T) {
	need := Requirements{Tokens: 3000, Output: 500, Unread: 2500, Objective: 1800 * time.Millisecond, Domain: "a"}
	for name, c := range map[string]struct {
		candidates []Candidate
		need       Requirements
		tried      map[string]bool
		want       int
	}{
		"emptiest": {candidates: []Candidate{
			candidate("1", "a", inflight.Load{Runs: 3, Tokens: 9000}), candidate("2", "a", inflight.Load{Runs: 2, Tokens: 6000}),
		}, need: need, want: 1},
		"no memory left": {candidates: []Candidate{candidate("1", "a", inflight.Load{Runs: 5, Tokens: 18000, Held: 16000})}, need: need, want: -1},
		"no place left":  {candidates: []Candidate{candidate("1", "a", inflight.Load{Runs: 24, Tokens: 100})}, need: need, want: -1},
		"a moved run goes before new ones": {candidates: []Candidate{candidate("1", "a", inflight.Load{Runs: 5, Tokens: 18000, Held: 16000})},
			need: Requirements{Tokens: 3000, Output: 500, Domain: "a", Move: true}, want: 0},
		"larger than an empty engine": {candidates: []Candidate{candidate("1", "a", inflight.Load{})},
			need: Requirements{Tokens: 19500, Output: 500, Domain: "a"}, want: 0},
		"unread prompts ahead": {candidates: []Candidate{
			candidate("1", "a", inflight.Load{Runs: 1, Tokens: 3000, Unread: 5000}), candidate("2", "a", inflight.Load{Runs: 2, Tokens: 5000}),
		}, need: need, want: 1},
		"too many unread prompts everywhere": {candidates: []Candidate{
			candidate("1", "a", inflight.Load{Runs: 3, Tokens: 9000, Unread: 9000}),
		}, need: need, want: -1},
		"tried": {candidates: []Candidate{
			candidate("1", "a", inflight.Load{}), candidate("2", "a", inflight.Load{Runs: 2, Tokens: 6000}),
		}, need: need, tried: map[string]bool{"1@0": true}, want: 1},
		"own domain when about equal": {candidates: []Candidate{
			candidate("1", "b", inflight.Load{Runs: 1, Tokens: 3000}), candidate("2", "a", inflight.Load{Runs: 1, Tokens: 3200}),
		}, need: need, want: 1},
		"a move stays in the domain while time is short": {candidates: []Candidate{
			candidate("1", "b", inflight.Load{}), candidate("2", "a", inflight.Load{Runs: 3, Tokens: 9000}),
		}, need: Requirements{Tokens: 3000, Output: 500, Domain: "a", Move: true, Far: 0.6}, want: 1},
		"a move leaves the domain when there is time": {candidates: []Candidate{
			candidate("1", "b", inflight.Load{}), candidate("2", "a", inflight.Load{Runs: 3, Tokens: 9000}),
		}, need: Requirements{Tokens: 3000, Output: 500, Domain: "a", Move: true, Far: 0.1}, want: 0},
		"none": {need: need, want: -1},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, ChooseEngine(c.candidates, engine, c.need, c.tried)) })
	}
}

func TestFailingEngineIsLeftOutUnlessAllFail(t *testing.T) {
	bad, sound := candidate("1", "a", inflight.Load{}), candidate("2", "a", inflight.Load{Runs: 3, Tokens: 12000})
	bad.FailureCost = MaxHealthyCost + 1
	need := Requirements{Tokens: 3000, Output: 500, Domain: "a"}
	require.Equal(t, 1, ChooseEngine([]Candidate{bad, sound}, engine, need, nil))
	require.Equal(t, 0, ChooseEngine([]Candidate{bad}, engine, need, nil))
	require.Equal(t, -1, ChooseEngine([]Candidate{bad}, engine, need, map[string]bool{"1@0": true}))
}

// A copy that stands by takes an engine with memory to spare, and none where all
// but one are full: that one is for the next runs.
func TestCopyStandsByOnlyWhereMemoryIsToSpare(t *testing.T) {
	copied := Requirements{Tokens: 3000, Domain: "a", Limit: 0.6}
	full, half := inflight.Load{Runs: 5, Tokens: 18000}, inflight.Load{Runs: 3, Tokens: 9500}
	require.Equal(t, 1, ChooseEngine([]Candidate{candidate("1", "a", half), candidate("2", "a", inflight.Load{})}, engine, copied, nil))
	require.Equal(t, -1, ChooseEngine([]Candidate{candidate("1", "a", half)}, engine, copied, nil), "it would be too full with the copy")
	require.Equal(t, -1, ChooseEngine([]Candidate{candidate("1", "a", full), candidate("2", "a", full), candidate("3", "a", inflight.Load{Runs: 1, Tokens: 3000})}, engine, copied, nil))
}

// Requests that share a prefix meet at one engine, whatever host they come
// through, unless it is much fuller than others.
func TestSharedPrefixMeetsAtOneEngine(t *testing.T) {
	var candidates []Candidate
	for i := range 8 {
		candidates = append(candidates, candidate(fmt.Sprint(i), "a", inflight.Load{Runs: 1, Tokens: 2000 + 100*i}))
	}
	need := Requirements{Tokens: 2500, Output: 500, Domain: "a", Affinity: "p", Shared: 350}
	first := ChooseEngine(candidates, engine, need, nil)
	require.Equal(t, first, ChooseEngine(candidates, engine, need, nil))
	candidates[first].Load.Tokens, candidates[first].Load.Held = 14000, 14000
	require.NotEqual(t, first, ChooseEngine(candidates, engine, need, nil))
}

// crowd plays the load of the crowded deployment: 62 hosts place 60 runs a second
// on 38 engines that read prompts of 2,800 tokens. It returns the part of the runs
// whose first event comes after the objective or that find no engine at all.
// Unseen is how many runs are placed before any of them is known of.
func crowd(unseen, spread int) (late float64) {
	const (
		engines, prompt, runs = 38, 2800, 4000
		perSecond             = 60.0
		objective             = 1800 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(1, 2))
	unread, seen := make([]float64, engines), make([]float64, engines)
	missed := 0
	for n := range runs {
		if n%unseen == 0 {
			copy(seen, unread)
		}
		candidates := make([]Candidate, engines)
		for i := range candidates {
			candidates[i] = candidate(fmt.Sprint(i), "a", inflight.Load{Runs: 1, Unread: int(seen[i]), Tokens: 5000})
		}
		need := Requirements{Tokens: 3400, Output: 600, Unread: prompt, Objective: objective, Domain: "a", Spread: spread, Draw: random.Float64()}
		i := ChooseEngine(candidates, engine, need, nil)
		if i < 0 || PrefillTime(int(unread[i])+prompt) > objective {
			missed++
		}
		if i >= 0 {
			unread[i] += prompt
		}
		for i := range unread {
			unread[i] = max(0, unread[i]-readRate/perSecond)
		}
	}
	return float64(missed) / runs
}

// The target is that 95 in 100 runs begin in time.
func TestCrowdedEnginesBeginRunsInTime(t *testing.T) {
	const (
		bound  = 0.05
		unseen = 8 // 62 hosts, loads 124 ms old
		// beforeList is how many runs come in the 0.7 s before hosts know each other.
		beforeList = 42
	)
	require.LessOrEqual(t, crowd(1, 1), bound, "a hub that sees each run at once")
	require.LessOrEqual(t, crowd(unseen, EstimateSpread(1, 62, 124*time.Millisecond)), bound, "hosts that draw among the best")
	require.LessOrEqual(t, crowd(beforeList, MaxSpread), bound, "hosts that have just started together")
	require.Greater(t, crowd(beforeList, 0), 0.5, "the same, if each takes the engine that looks best")
	require.Greater(t, crowd(4*unseen, 1), bound, "hosts that all take the best, with a hub that is slow")
}

// Answers crowded engines with prompts of unequal size: the largest tenth must not
// starve. The target is that it is served at least half as often as all.
func TestLargePromptsDoNotStarve(t *testing.T) {
	const (
		engines, runs, perSecond = 31, 6000, 110.0
		small, large             = 2400, 6000
		objective                = 1500 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(3, 4))
	unread, held := make([]float64, engines), make([]float64, engines)
	served, asked := map[int]float64{}, map[int]float64{}
	for range runs {
		prompt := small
		if random.Float64() < 0.1 {
			prompt = large
		}
		candidates := make([]Candidate, engines)
		for i := range candidates {
			candidates[i] = candidate(fmt.Sprint(i), "a", inflight.Load{Runs: 1, Unread: int(unread[i]), Tokens: int(held[i])})
		}
		need := Requirements{Tokens: prompt + 20, Output: 20, Unread: prompt, Objective: objective, Domain: "a"}
		asked[prompt]++
		if i := ChooseEngine(candidates, engine, need, nil); i >= 0 {
			served[prompt]++
			unread[i] += float64(prompt)
			held[i] += float64(prompt)
		}
		for i := range unread {
			unread[i] = max(0, unread[i]-readRate/perSecond)
			held[i] *= 0.992 // runs end within seconds
		}
	}
	all := (served[small] + served[large]) / (asked[small] + asked[large])
	require.Less(t, all, 0.99, "the load must exceed the engines")
	require.GreaterOrEqual(t, served[large]/asked[large], all/2)
}

func TestPlain(t *testing.T) {
	sound := Candidate{Target: &targets.Target{ID: "1", Domain: "a", Slots: 6}, FailureCost: 1, Latency: 0.015}
	busy := sound
	busy.Target, busy.Load = &targets.Target{ID: "2", Domain: "a", Slots: 6}, inflight.Load{Runs: 6}
	grey := sound
	grey.Target, grey.FailureCost = &targets.Target{ID: "3", Domain: "a", Slots: 6}, 8
	slow := sound
	slow.Target, slow.Latency = &targets.Target{ID: "4", Domain: "a", Slots: 6}, 0.12
	all := []Candidate{slow, grey, busy, sound}
	require.Equal(t, 3, ChoosePlainTarget(all, "a", nil))
	require.Equal(t, 2, ChoosePlainTarget(all, "a", map[string]bool{"1@0": true}))
	require.Equal(t, -1, ChoosePlainTarget(nil, "a", nil))
}
