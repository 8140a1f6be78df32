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

// A hub that many hosts ask at the same time gives the last room of an engine to
// one of them.
func TestConcurrentRunsDoNotShareTheLastRoom(t *testing.T) {
	book := inflight.New("hub")
	e := &Exchange{Host: "hub", Inflight: book, FollowsStore: func() bool { return true }}
	e.Init()
	e.ChooseEngine = func(string, placement.Requirements, map[string]bool) placement.Decision {
		if book.TotalLoad("engine").Runs > 0 {
			return placement.Decision{}
		}
		time.Sleep(time.Millisecond) // others decide meanwhile
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
