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

// generation is a run on a simulated engine.
type generation struct {
	prompt, expected, output int // tokens; output is what it really makes
	read, made               int
}

func (g *generation) load() inflight.Load {
	l := inflight.Load{Runs: 1, Tokens: g.prompt + max(g.expected, g.made), Held: g.prompt + g.made}
	if g.made == 0 {
		l.Unread = g.prompt
	}
	return l
}

// simulated is an engine that makes a token of each run in a step and reads a
// chunk of one prompt beside it.
type simulated struct{ runs []*generation }

const (
	stepTime  = 11 * time.Millisecond
	readChunk = int(readRate * float64(stepTime) / float64(time.Second))
)

func (s *simulated) load() (sum inflight.Load) {
	for _, g := range s.runs {
		sum = sum.Plus(g.load())
	}
	return sum
}

// step returns whether the engine had to preempt a run for lack of memory.
func (s *simulated) step(memory int) (preempted bool) {
	chunk, held := readChunk, 0
	kept := s.runs[:0]
	for _, g := range s.runs {
		if g.read < g.prompt {
			part := min(chunk, g.prompt-g.read)
			g.read, chunk = g.read+part, chunk-part
		} else {
			g.made++
		}
		held += g.prompt + g.made
		if g.made < g.output {
			kept = append(kept, g)
		}
	}
	s.runs = kept
	if held > memory {
		s.runs = s.runs[:len(s.runs)-1]
	}
	return held > memory
}

// Answers engines whose memory long drafts fill: 38 of them get 40 drafts a
// second, more than they can hold, and 32 short runs that are more urgent. The
// target is that 95 in 100 short runs find room at once, and that the drafts pay
// for it with less than one preemption in 100 runs.
func TestBriefRunsFindRoomBetweenDrafts(t *testing.T) {
	const (
		engines = 38
		seconds = 40
		warm    = 8 // seconds until the engines are full
	)
	memory := &policy.Engine{Slots: 24, MemoryTokens: 21800}
	random := rand.New(rand.NewPCG(5, 6))
	fleet := make([]simulated, engines)
	place := func(g *generation, objective time.Duration) bool {
		candidates := make([]Candidate, engines)
		for i := range fleet {
			candidates[i] = candidate(fmt.Sprint(i), "a", fleet[i].load())
		}
		own := g.load()
		i := ChooseEngine(candidates, memory, Requirements{Tokens: own.Tokens, Output: g.expected, Unread: g.prompt, Objective: objective, Domain: "a"}, nil)
		if i >= 0 {
			fleet[i].runs = append(fleet[i].runs, g)
		}
		return i >= 0
	}
	share := stepTime.Seconds()
	var drafts, draftsPlaced, briefs, briefsPlaced, placed, preempted int
	for step := range int(seconds / share) {
		full := float64(step)*share > warm
		for range poisson(random, 40*share) {
			ok := place(&generation{prompt: 3079, expected: 744, output: 100 + int(random.ExpFloat64()*644)}, 1800*time.Millisecond)
			if full {
				drafts++
				draftsPlaced += count(ok)
			}
			placed += count(ok)
		}
		for range poisson(random, 32*share) {
			ok := place(&generation{prompt: 2550, expected: 9, output: 9}, 1500*time.Millisecond)
			if full {
				briefs++
				briefsPlaced += count(ok)
			}
			placed += count(ok)
		}
		for i := range fleet {
			preempted += count(fleet[i].step(memory.MemoryTokens))
		}
	}
	t.Logf("placed %d of %d drafts and %d of %d short runs; %d preempted", draftsPlaced, drafts, briefsPlaced, briefs, preempted)
	require.Less(t, float64(draftsPlaced), 0.9*float64(drafts), "the drafts must exceed the engines")
	require.GreaterOrEqual(t, float64(briefsPlaced), 0.95*float64(briefs))
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
