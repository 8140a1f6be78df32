package steptime

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestCurveDiscountsStepsWithPrefill(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	c := NewCurve()
	for range 2000 {
		n := 5 + r.IntN(40)
		ms := 20 + 0.3*float64(n)
		if r.IntN(3) == 0 {
			ms += 20 * r.Float64() // the step includes prefill
		}
		c.Observe(n, ms)
	}
	assert.InDelta(t, 26, c.At(20), 1.5)
	assert.InDelta(t, 46, c.LargestBatch(34), 5)
}

func TestCurveFollowsASlowerEngine(t *testing.T) {
	c := NewCurve()
	for i := range 3000 {
		n := 5 + i%40
		c.Observe(n, 40+0.5*float64(n))
	}
	assert.InDelta(t, 50, c.At(20), 2)
}

func TestInvalidReportsAreIgnored(t *testing.T) {
	c := NewCurve()
	c.Observe(0, 10)
	c.Observe(5, -1)
	assert.InDelta(t, priorBase, c.At(0), 1e-9)
	assert.GreaterOrEqual(t, c.LargestBatch(0), 1)
}
