package process

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/bootclock"
)

func TestStalledProcessCountsItsGracePeriodFromTheSignal(t *testing.T) {
	const grace = 8 * time.Second
	for name, c := range map[string]struct{ stall, late time.Duration }{
		"no stall":    {stall: 0, late: 0},
		"short stall": {stall: 600 * time.Millisecond, late: 600 * time.Millisecond},
		"long stall":  {stall: 3 * time.Second, late: grace/6 - exitMargin(grace) - abortSlack},
	} {
		t.Run(name, func(t *testing.T) {
			p := &Process{}
			p.node.Grace = grace
			p.stalls.Beat(bootclock.Now().Add(-c.stall))
			require.InDelta(t, c.late, bootclock.Since(p.stopRequestedAt()), float64(100*time.Millisecond))
		})
	}
}

func TestStalledProcessAbortsRequestsBeforeOthersCountTheLastPartOfTheGracePeriod(t *testing.T) {
	const grace, differ = 8 * time.Second, 100 * time.Millisecond
	p := &Process{}
	p.node.Grace = grace
	p.stalls.Beat(bootclock.Now().Add(-3 * time.Second))
	abortsIn := grace - exitMargin(grace) - bootclock.Since(p.stopRequestedAt())
	require.GreaterOrEqual(t, abortsIn, grace*5/6+differ, "who sent the signal may have noted it later")
}
