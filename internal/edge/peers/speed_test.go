package peers

import (
	"testing"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/relay"
)

// Samples go to one hub only: to another one, they would be a part of what the first one knows.
func TestOneHubMergesTheSamplesOfTargetSpeed(t *testing.T) {
	e, _ := newAskingExchange(t, relay.Host{Name: "first"}, relay.Host{Name: "second"})
	require.True(t, e.learnsSpeedFrom("first"))
	require.False(t, e.learnsSpeedFrom("second"))
	require.False(t, e.isFirstHub())
	e.unresponsive["first"] = true
	require.True(t, e.learnsSpeedFrom("first"), "it may answer again")
	require.True(t, e.learnsSpeedFrom("second"))
	e.Host = "second"
	require.True(t, e.learnsSpeedFrom("first"))
	e.Host = "first"
	require.False(t, e.learnsSpeedFrom("second"), "it merges them itself")
	require.True(t, e.isFirstHub())
}
