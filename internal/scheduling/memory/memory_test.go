package memory

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"corianderhitch/internal/scheduling/length"
)

// learnedCurve returns the curve that an estimator learns from lengths that draw
// returns.
func learnedCurve(draw func() int) *length.Curve {
	e := length.NewEstimator(0)
	key := length.Key{Model: "m", Account: "a", Class: "c"}
	for range 4000 {
		e.Observe(key, draw(), true)
	}
	return e.Curve(key)
}

// TestOverflowProbabilityAgainstSampling compares the forecast with sampled
// futures of the same sequences. It is strictest at the small probabilities at
// which requests are admitted.
func TestOverflowProbabilityAgainstSampling(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	draw := func() int { return 50 + r.IntN(1000) }
	curve := learnedCurve(draw)
	const futures = 4000
	for _, sequences := range []int{10, 30, 60} {
		var f Forecast
		for range sequences {
			f.Add(Sequence{Curve: curve, Prompt: 300, MaxTokens: 2048})
		}
		peaks := make([]float64, futures)
		for i := range peaks {
			peaks[i] = samplePeak(draw, sequences)
		}
		for perSequence := 450.0; perSequence < 700; perSequence += 20 {
			capacity := perSequence * float64(sequences)
			sampled := 0.0
			for _, peak := range peaks {
				if peak > capacity {
					sampled += 1.0 / futures
				}
			}
			p := f.OverflowProbability(capacity)
			assert.InDelta(t, sampled, p, 0.15, "%d sequences, capacity %v", sequences, capacity)
			if sampled < 0.03 {
				assert.Less(t, sampled, 2*p+0.002, "underestimated: %d sequences, capacity %v", sequences, capacity)
			}
		}
	}
}

// samplePeak draws the lengths of a batch and returns its peak memory in tokens.
func samplePeak(draw func() int, sequences int) float64 {
	lengths := make([]int, sequences)
	for i := range lengths {
		lengths[i] = draw()
	}
	peak := 0.0
	for at := 0; at < 1100; at += 10 {
		use := 0.0
		for _, n := range lengths {
			if n > at {
				use += float64(300 + at)
			}
		}
		peak = max(peak, use)
	}
	return peak
}

func TestForecastProperties(t *testing.T) {
	curve := learnedCurve(func() int { return 200 })
	rapid.Check(t, func(t *rapid.T) {
		var f Forecast
		capacity := rapid.Float64Range(100, 100000).Draw(t, "capacity")
		before := f.PeakMean()
		for range rapid.IntRange(1, 40).Draw(t, "sequences") {
			f.Add(Sequence{
				Curve: curve, Prompt: rapid.Float64Range(1, 4000).Draw(t, "prompt"),
				Produced: rapid.Float64Range(0, 5000).Draw(t, "produced"), MaxTokens: 4096,
			})
			assert.GreaterOrEqual(t, f.PeakMean(), before)
			before = f.PeakMean()
		}
		p := f.OverflowProbability(capacity)
		assert.GreaterOrEqual(t, p, 0.0)
		assert.LessOrEqual(t, p, 1.0)
		assert.GreaterOrEqual(t, p, f.OverflowProbability(capacity*4))
		assert.Equal(t, p <= 0.01+1e-12, f.Fits(capacity, 0.01+1e-12))
	})
}

func BenchmarkAddAndFit(b *testing.B) {
	curve := learnedCurve(func() int { return 200 })
	var f Forecast
	for range 40 {
		f.Add(Sequence{Curve: curve, Prompt: 300, MaxTokens: 2048})
	}
	b.ReportAllocs()
	for b.Loop() {
		with := f
		with.Add(Sequence{Curve: curve, Prompt: 300, MaxTokens: 2048})
		_ = with.Fits(60000, 0.01)
	}
}
