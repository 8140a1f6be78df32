package experiment

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestSilentEnginesCostStallAndNoAnswer(t *testing.T) {
	s := loadShipped(t, "silence", 30)
	calm := *s
	calm.Faults = nil
	specs, err := choosePolicies(s, []string{ProductPolicy})
	require.NoError(t, err)
	with, without := runAll(s, specs, 1)[0], runAll(&calm, specs, 1)[0]
	require.Greater(t, with.Interrupted, 20)
	assert.Equal(t, with.Offered, with.Completed)
	assert.Zero(t, with.BrokenOff)
	assert.Zero(t, with.TokensDecodedAgain)
	assert.Greater(t, with.StallSeconds, without.StallSeconds)
	for _, c := range CheckCriteria(s, []Result{with}) {
		assert.True(t, c.Met, "%s: %s", c.Criterion, c.Detail)
	}
}
