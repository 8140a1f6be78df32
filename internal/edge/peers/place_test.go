package peers

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/placement"
)

// When many hosts ask a hub at the same time, only one of them gets an engine's last
// free capacity.
func TestConcurrentPlacementsGetFreeCapacityOnce(t *testing.T) {
	table := inflight.New("hub")
	e := &Exchange{Host: "hub", Inflight: table, FollowsStore: func() bool { return true }}
	e.Init()
	e.ChooseEngine = func(string, placement.Requirements, map[string]bool) placement.Decision {
		if table.TotalLoad("engine").Runs > 0 {
			return placement.Decision{}
		}
		time.Sleep(time.Millisecond) // lets concurrent calls interleave
		return placement.Decision{Target: "engine"}
	}
	var placed atomic.Int32
	var wait sync.WaitGroup
	for i := range 20 {
		wait.Go(func() {
			reply := new(PlaceReply)
			if err := (&service{e}).Place(PlaceArgs{Host: fmt.Sprint(i), Load: inflight.Load{Runs: 1}}, reply); err == nil && reply.Target != "" {
				placed.Add(1)
			}
		})
	}
	wait.Wait()
	require.EqualValues(t, 1, placed.Load())
}
