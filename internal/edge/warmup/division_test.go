package warmup

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"corianderhitch/internal/edge/node"
)

// What hosts hold that know the same hosts, what those hold that have just joined, and what a
// quarter of them hold by other lists stay within the bound together.
func TestDivisionLeavesRoomForOtherLists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.1, 500).Draw(t, "rate")
		bound := node.ColdBound{Factor: rapid.Float64Range(0, 3).Draw(t, "factor"), Slack: rapid.Float64Range(0, 20).Draw(t, "slack")}
		hosts := rapid.IntRange(1, 400).Draw(t, "hosts")
		most := func(d division) float64 {
			sum, perSecond := 0.0, 0.0
			for rank := range hosts {
				h := d.of(rank, hosts)
				require.True(t, h.perSecond == 0 || h.burst >= 1)
				sum += h.perSecond + h.burst
				perSecond += h.perSecond
			}
			require.LessOrEqual(t, perSecond, rateUse*rate+1e-9)
			return sum
		}
		d := divide(rate, bound)
		require.LessOrEqual(t, most(d)+most(d.newcomers()), bound.Factor*rate+bound.Slack+1e-9)
		require.LessOrEqual(t, 1.25*most(d), bound.Factor*rate+bound.Slack+1e-9)

		// With permits that a hub grants, and that may be sent late.
		d, hub := divideWithHub(rate, bound)
		hubMost := hub.burst + hub.perSecond*(1+HubPermitFor.Seconds())
		require.True(t, hub == holding{} && d == divide(rate, bound) || hub.perSecond > 0 && hub.burst >= 1)
		require.LessOrEqual(t, most(d)+2*hubMost, bound.Factor*rate+bound.Slack+1e-9, "two hosts take themselves for the hub")
		require.LessOrEqual(t, most(d)+most(d.newcomers())+hubMost, bound.Factor*rate+bound.Slack+1e-9)
		require.LessOrEqual(t, 1.25*most(d)+hubMost, bound.Factor*rate+bound.Slack+1e-9)
		if hub.perSecond > 0 {
			require.LessOrEqual(t, d.perSecond+hub.perSecond, rateUse*rate+1e-9)
		}
	})
}
