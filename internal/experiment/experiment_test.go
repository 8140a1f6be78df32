package experiment

import (
	"bytes"
	"math"
	"math/rand/v2"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// loadShipped loads a shipped scenario with its arrival window cut to seconds.
func loadShipped(t *testing.T, name string, seconds float64) *Scenario {
	t.Helper()
	s, err := Load(filepath.Join("..", "..", "scenarios", name+".yaml"))
	require.NoError(t, err)
	s.Seconds = min(s.Seconds, seconds)
	return &s
}

func TestSameSeedSameFigures(t *testing.T) {
	names := []string{"independent_p2c", "target_owner", ProductPolicy} // the first two make random choices
	for _, scenario := range []string{"churn", "pause"} {
		s := loadShipped(t, scenario, 30)
		var first, second, other bytes.Buffer
		require.NoError(t, Compare(&first, s, 1, 1, names))
		require.NoError(t, Compare(&second, s, 1, 1, names))
		require.NoError(t, Compare(&other, s, 2, 1, names))
		assert.Equal(t, first.String(), second.String(), scenario)
		assert.NotEqual(t, first.String(), other.String(), scenario)
	}
}

func TestEveryPolicyAnswersEveryRequest(t *testing.T) {
	windows := map[string]float64{ // seconds; those of churn, pause and restart include faults
		"steady": 5, "crowded": 5, "surge": 5, "churn": 50, "charter": 5, "callbox": 5, "pause": 40, "restart": 40, "silence": 30,
	}
	for name, window := range windows {
		t.Run(name, func(t *testing.T) {
			s := loadShipped(t, name, window)
			for _, r := range runAll(s, Policies(), 3) {
				assert.Equal(t, r.Offered, r.Completed+r.Rejected, r.Policy)
				assert.Zero(t, r.Lost, r.Policy)
				assert.Zero(t, r.DuplicatedTokens, r.Policy)
				assert.Positive(t, r.TokensPerSecond, r.Policy)
			}
		})
	}
}

func TestSurgeKeepsOtherArrivals(t *testing.T) {
	s := loadShipped(t, "surge", 120)
	with, without := Arrivals(s, 1), Arrivals(withoutSurge(s), 1)
	assert.Greater(t, len(with), len(without))
	byID := make(map[string]Arrival)
	for _, a := range with {
		byID[a.ID] = a
	}
	for _, a := range without {
		assert.Equal(t, a.At, byID[a.ID].At)
		assert.Equal(t, a.Output, byID[a.ID].Output)
	}
}

func TestDistributions(t *testing.T) {
	tests := []struct {
		name   string
		d      Distribution
		median float64
	}{
		{"fixed", Distribution{Kind: "fixed", Median: 70}, 70},
		{"lognormal", Distribution{Kind: "lognormal", Median: 100, Sigma: 0.5}, 100},
		{"pareto", Distribution{Kind: "pareto", Minimum: 50, Alpha: 1}, 100},
		{"bimodal", Distribution{
			Kind: "bimodal", SecondShare: 0.3,
			First: &Distribution{Kind: "fixed", Median: 10}, Second: &Distribution{Kind: "fixed", Median: 500},
		}, 10},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.NoError(t, test.d.check())
			r := rand.New(rand.NewPCG(1, 1))
			values := make([]float64, 5001)
			for i := range values {
				values[i] = float64(test.d.draw(r, 4096))
				assert.LessOrEqual(t, values[i], 4096.0)
			}
			assert.InEpsilon(t, test.median, median(values), 0.06)
		})
	}
}

func TestJain(t *testing.T) {
	even := []accountShare{{requested: 100, received: 50, weight: 1}, {requested: 100, received: 50, weight: 1}}
	assert.InDelta(t, 1, jainIndex(even), 1e-9)
	weighted := []accountShare{{requested: 100, received: 75, weight: 3}, {requested: 100, received: 25, weight: 1}}
	assert.InDelta(t, 1, jainIndex(weighted), 1e-9)
	modest := []accountShare{{requested: 10, received: 10, weight: 1}, {requested: 200, received: 90, weight: 1}}
	assert.InDelta(t, 1, jainIndex(modest), 1e-9, "an account that requested little received its fair share")
	starved := []accountShare{{requested: 100, received: 100, weight: 1}, {requested: 100, received: 0, weight: 1}}
	assert.InDelta(t, 0.5, jainIndex(starved), 1e-9)
	assert.True(t, math.IsNaN(jainIndex(nil)))
}

func TestScenarioErrorsNameTheRemedy(t *testing.T) {
	_, err := Parse([]byte("name: x\nunknownField: 1\n"))
	require.ErrorContains(t, err, "unknownField")
	_, err = Parse([]byte("name: x\n"))
	require.ErrorContains(t, err, "set targets")
	_, err = Load("does-not-exist.yaml")
	require.ErrorContains(t, err, "--scenario-file")
	require.ErrorContains(t, Compare(&bytes.Buffer{}, loadShipped(t, "steady", 1), 1, 1, []string{"nonesuch"}), "nonesuch")
}

func TestBestBaselineHasEqualThroughput(t *testing.T) {
	results := []Result{
		{Policy: "worst_case_reservation", TokensPerSecond: 500, StallSeconds: 0},
		{Policy: "least_in_flight", TokensPerSecond: 1000, StallSeconds: 10},
		{Policy: "round_robin", TokensPerSecond: 1000, StallSeconds: 20},
		{Policy: "credits", TokensPerSecond: 1000, StallSeconds: 1},
	}
	best, ok := bestBaseline(&Result{TokensPerSecond: 1000}, results)
	require.True(t, ok)
	assert.Equal(t, "least_in_flight", best.Policy)
	_, ok = bestBaseline(&Result{TokensPerSecond: 2000}, results)
	assert.False(t, ok)
}
