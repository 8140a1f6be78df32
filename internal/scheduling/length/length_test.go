package length

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestBucketEdgesEncloseLengths(t *testing.T) {
	for n := 1; n < 1<<17; n++ {
		b := bucketOf(n)
		assert.GreaterOrEqual(t, float64(n), edges[b])
		assert.Less(t, float64(n), edges[b+1])
	}
	assert.Equal(t, Buckets-1, bucketOf(1<<30))
}

// observe adds n outputs whose length and completeness draw returns.
func observe(e *Estimator, key Key, n int, draw func() (int, bool)) {
	for range n {
		length, complete := draw()
		e.Observe(key, length, complete)
	}
}

func TestQuantileRemaining(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	uniform := func() (int, bool) { return 100 + r.IntN(100), true }
	censored := func() (int, bool) { // lengths as in uniform, about half of them censored at half their length
		n := 100 + r.IntN(100)
		if r.IntN(2) == 0 {
			return n / 2, false
		}
		return n, true
	}
	tests := []struct {
		name      string
		draw      func() (int, bool)
		produced  int
		quantile  float64
		low, high int // accepted remaining tokens
	}{
		{"median", uniform, 0, 0.5, 140, 160},
		{"tail", uniform, 0, 0.95, 180, 210},
		{"remaining", uniform, 150, 0.5, 15, 40},
		{"censored samples count as longer", censored, 0, 0.5, 140, 165},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := NewEstimator(0)
			key := Key{"m", "a", "c"}
			observe(e, key, 2000, test.draw)
			q := e.Curve(key).QuantileRemaining(test.produced, test.quantile, 4096)
			assert.GreaterOrEqual(t, q, test.low)
			assert.LessOrEqual(t, q, test.high)
		})
	}
}

// An account without samples has the curve of its class, not that of the model.
func TestUnknownAccountUsesClassCurve(t *testing.T) {
	e := NewEstimator(0)
	observe(e, Key{"m", "known", "draft"}, 500, func() (int, bool) { return 800, true })
	observe(e, Key{"m", "known", "lookup"}, 500, func() (int, bool) { return 40, true })
	assert.InDelta(t, 800, e.Curve(Key{"m", "new", "draft"}).MeanRemaining(0, 4096), 150)
	assert.InDelta(t, 40, e.Curve(Key{"m", "new", "lookup"}).MeanRemaining(0, 4096), 20)
}

// The mean of an account whose outputs become much longer follows them within two
// half-lives.
func TestMeanFollowsDrift(t *testing.T) {
	e := NewEstimator(0)
	key := Key{"m", "a", "c"}
	observe(e, key, 1000, func() (int, bool) { return 50, true })
	observe(e, key, 400, func() (int, bool) { return 1000, true })
	assert.Greater(t, e.Curve(key).MeanRemaining(0, 4096), 650.0)
}

// An account whose outputs are as long as allowed must not raise the estimate for
// another account of the same class by much.
func TestLongOutputsOfOneAccountDoNotAffectOthers(t *testing.T) {
	e := NewEstimator(0)
	observe(e, Key{"m", "honest", "c"}, 300, func() (int, bool) { return 100, true })
	observe(e, Key{"m", "maximal", "c"}, 300, func() (int, bool) { return 4096, true })
	assert.Greater(t, e.Curve(Key{"m", "maximal", "c"}).MeanRemaining(0, 4096), 3000.0)
	assert.Less(t, e.Curve(Key{"m", "honest", "c"}).MeanRemaining(0, 4096), 400.0)
}

func TestAccountsAreBounded(t *testing.T) {
	e := NewEstimator(4)
	for i := range 100 {
		e.Observe(Key{"m", string(rune('a' + i)), "c"}, 10, true)
	}
	assert.Equal(t, 4, e.accounts.Len())
}

func TestMergeAddsSamples(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, both := NewHistogram(1e9), NewHistogram(1e9), NewHistogram(1e9)
		for range rapid.IntRange(0, 50).Draw(t, "samples") {
			n := rapid.IntRange(1, 5000).Draw(t, "length")
			complete := rapid.Bool().Draw(t, "complete")
			both.Add(n, complete)
			if rapid.Bool().Draw(t, "first") {
				a.Add(n, complete)
			} else {
				b.Add(n, complete)
			}
		}
		a.Merge(b)
		assert.InDelta(t, both.Samples(), a.Samples(), 1e-3)
		for i := range a.ended {
			assert.InDelta(t, both.ended[i], a.ended[i], 1e-3)
		}
	})
}

func TestSurvivalIsNonIncreasing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := NewHistogram(50)
		for range rapid.IntRange(0, 60).Draw(t, "samples") {
			h.Add(rapid.IntRange(1, 200000).Draw(t, "length"), rapid.Bool().Draw(t, "complete"))
		}
		c := newCurve(h, uninformedCurve, priorSamples)
		last := 1.0
		for n := 0.0; n < 200000; n = n*1.3 + 1 {
			s := c.Survival(n)
			assert.LessOrEqual(t, s, last+1e-6)
			assert.GreaterOrEqual(t, s, 0.0)
			last = s
		}
	})
}

func BenchmarkCurve(b *testing.B) {
	e := NewEstimator(0)
	key := Key{"m", "a", "c"}
	b.ReportAllocs()
	for b.Loop() {
		e.Observe(key, 300, true)
		_ = e.Curve(key).MeanRemaining(0, 4096)
	}
}
