package capacity

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFitLinearRecoversCoefficients(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	var x [][]float64
	var y []float64
	for i := range 40 {
		a, b := float64(i), float64(i%7)
		x = append(x, []float64{a, b})
		y = append(y, 3+2*a-0.5*b+0.1*r.NormFloat64())
	}
	fit, err := FitLinear(x, y)
	require.NoError(t, err)
	for i, want := range []float64{3, 2, -0.5} {
		require.InDelta(t, want, fit.Coefficients[i], 3*fit.StandardErrors[i])
		require.Greater(t, fit.ConfidenceMargin(i), fit.StandardErrors[i])
	}
	require.Greater(t, fit.RSquared, 0.999)
	require.InDelta(t, 0.1, fit.ResidualStdDev, 0.04)
	require.InDelta(t, 3+2*10-0.5*4, fit.Predict(10, 4), 0.1)
}

func TestFitLinearRejectsInvalidInput(t *testing.T) {
	_, err := FitLinear([][]float64{{1}, {2}}, []float64{1, 2})
	require.ErrorIs(t, err, ErrTooFewPoints)
	_, err = FitLinear([][]float64{{1}, {1}, {1}}, []float64{1, 2, 3})
	require.Error(t, err)
}

func TestParseCPUTimeSkipsProgramNameWithSpaces(t *testing.T) {
	spent, err := parseCPUTime([]byte("12 (a b) c) S 1 2 3 4 5 6 7 8 9 10 150 50 0 0"))
	require.NoError(t, err)
	require.Equal(t, 2.0, spent.Seconds())
	_, err = parseCPUTime([]byte("12 (x) S 1"))
	require.Error(t, err)
}

func TestGeneratedBlocksOfPageAreReplaced(t *testing.T) {
	page := "a\n<!-- generated: x -->\nold\n<!-- end -->\nb\n"
	text, err := replaceBlocks(page, map[string]string{"x": "new\n"})
	require.NoError(t, err)
	require.Equal(t, "a\n<!-- generated: x -->\n\nnew\n\n<!-- end -->\nb\n", text)
	again, err := replaceBlocks(text, map[string]string{"x": "new\n"})
	require.NoError(t, err)
	require.Equal(t, text, again)
	_, err = replaceBlocks(page, map[string]string{"y": ""})
	require.Error(t, err)
}

func TestStoreDutiesLeaveWriteBudgetForCalls(t *testing.T) {
	reads := 0.0
	for _, d := range ListStoreDuties(ProjectedSize) {
		reads += d.Reads
	}
	require.Less(t, reads, storeReadBudget)
	require.Greater(t, RemainingStoreWrites(ProjectedSize), storeWriteBudget/2)
}
