package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/policy"
)

// simulatedRun is a run on a simulatedEngine.
type simulatedRun struct {
	prompt, expected, output int // tokens; output is what it really produces
	prefilled, produced      int
}

func (r *simulatedRun) load() inflight.Load {
	l := inflight.Load{Runs: 1, Tokens: r.prompt + max(r.expected, r.produced), Held: r.prompt + r.produced}
	if r.produced == 0 {
		l.Unread = r.prompt
	}
	return l
}

// simulatedEngine decodes a token of each run in a step and prefills a chunk of
// prompt in the same step.
type simulatedEngine struct{ runs []*simulatedRun }

const (
	stepTime     = 11 * time.Millisecond
	prefillChunk = int(prefillTokensPerSecond * float64(stepTime) / float64(time.Second))
)

func (e *simulatedEngine) load() (sum inflight.Load) {
	for _, r := range e.runs {
		sum = sum.Plus(r.load())
	}
	return sum
}

// step runs one step and reports whether the engine had to preempt a run for lack
// of memory.
func (e *simulatedEngine) step(memoryTokens int) (preempted bool) {
	chunk, held := prefillChunk, 0
	kept := e.runs[:0]
	for _, r := range e.runs {
		if r.prefilled < r.prompt {
			part := min(chunk, r.prompt-r.prefilled)
			r.prefilled, chunk = r.prefilled+part, chunk-part
		} else {
			r.produced++
		}
		held += r.prompt + r.produced
		if r.produced < r.output {
			kept = append(kept, r)
		}
	}
	e.runs = kept
	if held > memoryTokens {
		e.runs = e.runs[:len(e.runs)-1]
	}
	return held > memoryTokens
}

// Long runs that fill the memory of all engines must not prevent short, more urgent
// runs from being placed. 38 engines get 40 long runs a second, more than they can
// hold, and 32 short ones: at least 95 in 100 short runs must be placed immediately,
// and fewer than one in 100 runs may be preempted.
func TestShortRunsFindRoomBetweenLongRuns(t *testing.T) {
	const (
		engines = 38
		seconds = 40
		warmup  = 8 // seconds until the engines are full
	)
	engineSpec := &policy.Engine{Slots: 24, MemoryTokens: 21800}
	random := rand.New(rand.NewPCG(5, 6))
	fleet := make([]simulatedEngine, engines)
	place := func(r *simulatedRun, objective time.Duration) bool {
		candidates := make([]Candidate, engines)
		for i := range fleet {
			candidates[i] = candidate(fmt.Sprint(i), "a", fleet[i].load())
		}
		own := r.load()
		i := ChooseEngine(candidates, engineSpec, Requirements{Tokens: own.Tokens, Output: r.expected, Unread: r.prompt, Objective: objective, Domain: "a"}, nil)
		if i >= 0 {
			fleet[i].runs = append(fleet[i].runs, r)
		}
		return i >= 0
	}
	stepSeconds := stepTime.Seconds()
	var long, longPlaced, short, shortPlaced, placed, preempted int
	for step := range int(seconds / stepSeconds) {
		full := float64(step)*stepSeconds > warmup
		for range poisson(random, 40*stepSeconds) {
			ok := place(&simulatedRun{prompt: 3079, expected: 744, output: 100 + int(random.ExpFloat64()*644)}, 1800*time.Millisecond)
			if full {
				long++
				longPlaced += count(ok)
			}
			placed += count(ok)
		}
		for range poisson(random, 32*stepSeconds) {
			ok := place(&simulatedRun{prompt: 2550, expected: 9, output: 9}, 1500*time.Millisecond)
			if full {
				short++
				shortPlaced += count(ok)
			}
			placed += count(ok)
		}
		for i := range fleet {
			preempted += count(fleet[i].step(engineSpec.MemoryTokens))
		}
	}
	t.Logf("placed %d of %d long runs and %d of %d short runs; %d preempted", longPlaced, long, shortPlaced, short, preempted)
	require.Less(t, float64(longPlaced), 0.9*float64(long), "the long runs must exceed the capacity of the engines")
	require.GreaterOrEqual(t, float64(shortPlaced), 0.95*float64(short))
	require.Less(t, float64(preempted), 0.01*float64(placed))
}

// poisson draws how many requests arrive in a step.
func poisson(random *rand.Rand, mean float64) (n int) {
	for at := random.ExpFloat64(); at < mean; at += random.ExpFloat64() {
		n++
	}
	return n
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}
