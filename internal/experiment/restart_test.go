package experiment

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestEngineRestartsRepeatNoTokens(t *testing.T) {
	s := loadShipped(t, "restart", 40)
	for _, policy := range []string{"least_in_flight", ProductPolicy} {
		t.Run(policy, func(t *testing.T) {
			specs, err := choosePolicies(s, []string{policy})
			require.NoError(t, err)
			results := runAll(s, specs, 1)
			require.Len(t, results, 3)
			brokenOff, repeated, continued := results[0], results[1], results[2]
			require.Equal(t, policy, continued.Policy)
			for _, r := range results {
				require.Equal(t, r.Offered, r.Completed+r.Rejected, r.Policy)
				require.Equal(t, r.Rejected, r.BrokenOff, r.Policy)
				require.Greater(t, r.Interrupted, 20, r.Policy)
				assert.Zero(t, r.DuplicatedTokens, r.Policy)
			}
			assert.LessOrEqual(t, continued.BrokenOff, brokenOff.Interrupted/20)
			assert.GreaterOrEqual(t, brokenOff.BrokenOff, brokenOff.Interrupted*9/10)
			assert.Zero(t, continued.TokensDecodedAgain)
			assert.Zero(t, brokenOff.TokensDecodedAgain)
			assert.Greater(t, repeated.TokensDecodedAgain, 20*repeated.Interrupted)
			assert.Less(t, continued.StallSeconds, repeated.StallSeconds/5)
		})
	}
}

func TestRepeatedAnswerCountsOnlyNewTokens(t *testing.T) {
	s := loadShipped(t, "restart", 1)
	arrivals := Arrivals(s, 1)
	m := newMetrics(startTime.Add(seconds(s.Seconds)))
	c := &call{arrival: &arrivals[0], delivered: 2}
	for offset, second := range []float64{0.1, 0.2, 0.3} {
		m.recordToken(c, offset, startTime.Add(seconds(second)))
	}
	assert.Equal(t, 2, m.tokensDecodedAgain)
	assert.Equal(t, 3, c.delivered)
	assert.Zero(t, m.duplicatedTokens)
	m.recordToken(c, 2, startTime.Add(seconds(0.4)))
	assert.Equal(t, 1, m.duplicatedTokens)
	assert.Equal(t, 3, c.delivered)
}
