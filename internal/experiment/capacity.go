package experiment

import (
	"math"
	"math/rand/v2"
)

const (
	// capacitySamples is the number of requests drawn to work out the capacity.
	capacitySamples = 20000
	capacitySeed    = 1
)

// Rates is the most that a scenario's pool can serve.
type PoolCapacity struct {
	RequestsPerSecond float64
	TokensPerSecond   float64 // output
	BatchSize         float64 // sequences per engine
}

// Capacity works out the load that the pool could just carry with its memory
// packed full and every shared prefix cached, so that no policy reaches it:
//
//   - a running sequence holds its prompt and half its output on average, over
//     the steps that it runs, so that a batch has at most
//     memory * sum(output) / sum(output * (prompt + output/2)) sequences;
//   - a batch has at most maxBatch sequences, and as many as keep a step within
//     the inter-token bound;
//   - a request costs its engine prefill of its own prompt tokens and its share
//     of output steps: 1/rate = prefill + output * step(batch)/batch.
func Capacity(s *Scenario) PoolCapacity {
	r := rand.New(rand.NewPCG(capacitySeed, 0))
	var output, held, prefill float64
	for range capacitySamples {
		a := &s.Accounts[pickAccount(s, r)]
		x := newArrival("x", 0, a, pickClass(s, r), r)
		out := float64(x.Output)
		output += out
		held += out * (float64(x.Prompt) + out/2)
		prefill += float64(x.Prompt-x.Class.SharedPrefix) * s.Engine.PrefillMSPerToken
	}
	memory := float64(s.Engine.Blocks * s.Engine.BlockTokens)
	batch := math.Min(memory*output/held, float64(s.Engine.MaxBatch))
	batch = math.Max(1, math.Min(batch, largestWithin(s)))
	step := s.Engine.StepBaseMS + s.Engine.StepPerSequenceMS*batch
	perRequestMS := (prefill + output*step/batch) / capacitySamples
	rate := float64(s.Targets) * 1000 / perRequestMS
	return PoolCapacity{RequestsPerSecond: rate, TokensPerSecond: rate * output / capacitySamples, BatchSize: batch}
}

func largestWithin(s *Scenario) float64 {
	if s.Engine.StepPerSequenceMS <= 0 {
		return math.Inf(1)
	}
	return (interTokenBoundMS - s.Engine.StepBaseMS) / s.Engine.StepPerSequenceMS
}

func pickAccount(s *Scenario, r *rand.Rand) int {
	at := r.Float64() * accountShares(s)
	for i := range s.Accounts {
		at -= s.Accounts[i].Share
		if at < 0 {
			return i
		}
	}
	return len(s.Accounts) - 1
}
