package experiment

import (
	"math"
	"math/rand/v2"
)

const (
	// capacitySamples is the number of random requests from which Capacity is computed.
	capacitySamples = 20000
	capacitySeed    = 1
)

// PoolCapacity is the highest load that the pool of a scenario can serve.
type PoolCapacity struct {
	RequestsPerSecond float64
	TokensPerSecond   float64 // output
	BatchSize         float64 // sequences per engine
}

// Capacity computes the load that the pool could serve if its memory were always full and
// every shared prefix cached. It is an upper bound that no policy reaches:
//
//   - Averaged over its steps, a sequence occupies its prompt and half its output in
//     memory, so a batch has at most
//     memory * sum(output) / sum(output * (prompt + output/2)) sequences.
//   - A batch has at most maxBatch sequences, and no more than keep the step time within
//     the inter-token bound.
//   - A request costs its engine the prefill of its unshared prompt tokens and its part
//     of the decode steps: 1/rate = prefill + output * step(batch)/batch.
func Capacity(s *Scenario) PoolCapacity {
	r := rand.New(rand.NewPCG(capacitySeed, 0))
	var output, tokenSteps, prefill float64
	for range capacitySamples {
		a := &s.Accounts[pickAccount(s, r)]
		arrival := newArrival("x", 0, a, pickClass(s, r), r)
		out := float64(arrival.Output)
		output += out
		tokenSteps += out * (float64(arrival.Prompt) + out/2)
		prefill += float64(arrival.Prompt-arrival.Class.SharedPrefix) * s.Engine.PrefillMSPerToken
	}
	memory := float64(s.Engine.Blocks * s.Engine.BlockTokens)
	batch := math.Min(memory*output/tokenSteps, float64(s.Engine.MaxBatch))
	batch = math.Max(1, math.Min(batch, maxBatchWithinBound(s)))
	step := s.Engine.StepBaseMS + s.Engine.StepPerSequenceMS*batch
	perRequestMS := (prefill + output*step/batch) / capacitySamples
	rate := float64(s.Targets) * 1000 / perRequestMS
	return PoolCapacity{RequestsPerSecond: rate, TokensPerSecond: rate * output / capacitySamples, BatchSize: batch}
}

// maxBatchWithinBound returns the largest batch whose step time is within the inter-token
// bound.
func maxBatchWithinBound(s *Scenario) float64 {
	if s.Engine.StepPerSequenceMS <= 0 {
		return math.Inf(1)
	}
	return (interTokenBoundMS - s.Engine.StepBaseMS) / s.Engine.StepPerSequenceMS
}

func pickAccount(s *Scenario, r *rand.Rand) int {
	point := r.Float64() * totalAccountShare(s)
	for i := range s.Accounts {
		point -= s.Accounts[i].Share
		if point < 0 {
			return i
		}
	}
	return len(s.Accounts) - 1
}
