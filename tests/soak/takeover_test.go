package soak

import (
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/platform/standin"
	"corianderhitch/tests/harness"
)

// TestGivenUpTakeoverCountsAsWorkOfTwoEngines makes a second engine fall silent when it has
// begun a takeover, before it answers, until after the first one has gone on.
func TestGivenUpTakeoverCountsAsWorkOfTwoEngines(t *testing.T) {
	t.Parallel()
	const events, silentAfter, beforeAnswer, silence = 800, 400, 150 * time.Millisecond, 1900 * time.Millisecond
	c := newCluster(t, 1, 1)
	var slow atomic.Bool
	c.engines.SetEventInterval(func(string, int) time.Duration {
		if slow.Load() {
			return beforeAnswer
		}
		return standin.EventInterval
	})
	o := &outcome{id: "r-1", route: "draft", host: c.hosts[0], key: "key-1", events: events}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		o.send(&http.Client{Transport: &http.Transport{}}, http.MethodPost)
	}()
	source := c.awaitEngine(func(e *standin.Engine) bool { return e.EventsProduced(o.id) >= silentAfter })
	source.FallSilent(silence)
	time.Sleep(100 * time.Millisecond) // the event in progress
	slow.Store(true)
	other := c.awaitEngine(func(e *standin.Engine) bool { return e != source && e.EventsProduced(o.id) > 0 })
	other.FallSilent(silence)
	slow.Store(false)
	<-ended
	require.NoError(t, o.err)
	require.Empty(t, o.checkComplete())
	seen := c.observations()[o.id]
	require.Len(t, seen, 2)
	require.Less(t, workingTime(seen[1].arrivedAt, seen[1].endedAt, seen[1].target), 100*time.Millisecond)
	require.Empty(t, c.checkOneEngine(o, seen), c.evidence(o, seen))
}

// awaitEngine waits for an engine that meets a condition.
func (c *cluster) awaitEngine(meets func(*standin.Engine) bool) *standin.Engine {
	var found *standin.Engine
	harness.Await(c.t, harness.DrainTimeout, "an engine at work", func() bool {
		engines := c.activeTargets(engineService)
		i := slices.IndexFunc(engines, func(t *target) bool { return meets(t.engine) })
		if i >= 0 {
			found = engines[i].engine
		}
		return i >= 0
	})
	return found
}
