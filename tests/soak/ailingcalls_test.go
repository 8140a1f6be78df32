package soak

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/platform/standin"
	"corianderhitch/tests/harness"
)

const (
	// meanAilmentInterval is the mean time between the beginnings of two ailments of engines' control calls.
	meanAilmentInterval = time.Second
	minAilment          = 500 * time.Millisecond
	maxAilment          = 4 * time.Second
	// maxAilingShare is the share of an engine's control calls that go wrong at most.
	maxAilingShare = 0.5
	ailingCalls    = "ailing calls"
)

// injectAilingCalls makes control calls go wrong at engines whose other requests are served, until ctx ends. It has its
// own random source, so that the other faults of a seed stay as they are.
func (c *cluster) injectAilingCalls(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 9))
	for ctx.Err() == nil {
		if engines := c.liveTargets(engineService); len(engines) > 0 {
			t, kind := engines[random.IntN(len(engines))], standin.CallAilments[random.IntN(len(standin.CallAilments))]
			share, length := maxAilingShare*random.Float64(), between(random, minAilment, maxAilment)
			c.disturbances.during(t.id, ailingCalls, func() {
				t.engine.AilCalls(kind, share)
				pause(ctx, length)
				t.engine.AilCalls("", 0)
			})
		}
		pause(ctx, time.Duration(random.ExpFloat64()*float64(meanAilmentInterval)))
	}
}

// Guards against a soak that doesn't notice the end of a process which is started again before the soak ends.
func TestUnaskedExitsAreNoticed(t *testing.T) {
	p := &harness.Process{Name: "sh", Path: "/bin/sh", Args: []string{"-c", "exit 2"}, LogPath: t.TempDir() + "/log"}
	p.Start(t)
	p.Wait()
	require.Equal(t, []string{"exit status 2"}, p.UnaskedExits())
	p.Args = []string{"-c", "sleep 60"}
	p.Start(t)
	p.Kill()
	require.Len(t, p.UnaskedExits(), 1)
}
