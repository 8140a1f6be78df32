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
	"corianderhitch/internal/edge/relay"
	"corianderhitch/internal/edge/waitlist"
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

// Guards against moves and runs of older builds that wait in the order of all hosts, and against
// a hub whose own runs don't.
func TestOnlyRunsThatAskForAPlaceAreOrdered(t *testing.T) {
	hub, _ := newAskingExchange(t, relay.Host{Name: "self"})
	hub.FollowsStore, hub.Inflight = func() bool { return true }, inflight.New("self")
	hub.ChooseEngine = func(string, placement.Requirements, map[string]bool) placement.Decision {
		return placement.Decision{Target: "as before"}
	}
	place := func(args PlaceArgs) PlaceReply {
		reply := new(PlaceReply)
		require.NoError(t, (&service{hub}).Place(args, reply))
		return *reply
	}
	ask := &waitlist.Ask{ID: "r"}
	require.Equal(t, "as before", place(PlaceArgs{Ask: ask}).Target, "this host keeps no order")
	hub.ChooseInOrder = func(*PlaceArgs, map[string]bool) (placement.Decision, *waitlist.Verdict) {
		return placement.Decision{Target: "in order"}, &waitlist.Verdict{}
	}
	require.Equal(t, "as before", place(PlaceArgs{Host: "other", Load: inflight.Load{Runs: 1}}).Target)
	require.Equal(t, "in order", place(PlaceArgs{Host: "other", Load: inflight.Load{Runs: 1}, Ask: ask}).Target)
	require.Equal(t, 2, hub.Inflight.TotalLoad("as before").Plus(hub.Inflight.TotalLoad("in order")).Runs)
	_, placed := hub.PlaceLocally(PlaceArgs{})
	require.False(t, placed)
	reply, placed := hub.PlaceLocally(PlaceArgs{Ask: ask})
	require.True(t, placed)
	require.Equal(t, "in order", reply.Target)
}
