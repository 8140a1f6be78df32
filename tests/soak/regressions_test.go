package soak

import (
	"fmt"
	"testing"
	"time"
)

// TestSeedsThatFailed runs again each seed that has ever failed, for the duration
// that it failed with.
func TestSeedsThatFailed(t *testing.T) {
	for _, c := range []struct {
		seed     uint64
		duration time.Duration
		cause    string
	}{
		{10, 12 * time.Second, "a hangup ended a process that had started less than 10 ms ago"},
		{38, 12 * time.Second, "a hangup came before a busy machine had loaded the process, which wrote no line"},
	} {
		t.Run(fmt.Sprintf("seed %d: %s", c.seed, c.cause), func(t *testing.T) {
			t.Parallel()
			runSeed(t, c.seed, c.duration)
		})
	}
}
