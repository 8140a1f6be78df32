package fleetsize

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/bootclock"
)

func TestLargestNumberOfTheWindowCounts(t *testing.T) {
	w := NewWindow(10 * time.Second)
	at := func(s int) bootclock.Instant { return bootclock.Instant(s) * bootclock.Instant(time.Second) }
	require.Zero(t, w.Largest(at(1)))
	for _, c := range []struct{ second, observed, largest int }{
		{1, 6, 6}, {2, 0, 6}, {20, 2, 6}, {25, 4, 6}, {29, 4, 6}, {31, 4, 4}, {32, 9, 9}, {33, 1, 9}, {40, 1, 9}, {44, 1, 1},
	} {
		w.Observe(at(c.second), c.observed)
		require.Equal(t, c.largest, w.Largest(at(c.second)), "second %d", c.second)
	}
}
