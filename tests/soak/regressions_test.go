package soak

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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

func TestFrozenHostBreaksOffNoStream(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 1)
	h := c.hosts[0]
	streams := make([]outcome, 12)
	var callers sync.WaitGroup
	for i := range streams {
		streams[i] = outcome{id: fmt.Sprintf("r-%d", i), route: []string{"lookup", "draft"}[i%2], host: h, key: "key-1", events: 600}
		callers.Go(func() { streams[i].send(&http.Client{Transport: &http.Transport{}}, http.MethodPost) })
	}
	time.Sleep(700 * time.Millisecond)
	c.freeze(h, 1300*time.Millisecond)
	callers.Wait()
	seen := c.observations()
	for i := range streams {
		require.NoError(t, streams[i].err)
		require.Empty(t, streams[i].checkComplete())
		require.Len(t, seen[streams[i].id], 1, "engines that ran it")
	}
}
