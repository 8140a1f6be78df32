package streaming

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/draining"
	"corianderhitch/internal/edge/peers"
	"corianderhitch/internal/edge/placement"
	"corianderhitch/internal/edge/waitlist"
)

// orderedServer returns a server whose runs have turns in the order of all hosts, which answers
// their placement calls.
func orderedServer(answer func(peers.PlaceArgs) (peers.PlaceReply, bool)) *Server {
	s, _ := placingServer(draining.New(placingDrain), silentObserver{}, func() bool { return false })
	s.Turns = NewTurns(s)
	s.PlaceViaHub = func(_ context.Context, args peers.PlaceArgs) (peers.PlaceReply, bool) { return answer(args) }
	return s
}

// runOf returns a run that may wait for half a second.
func runOf(s *Server, id string) *Run {
	_, r := placingServer(draining.New(placingDrain), silentObserver{}, func() bool { return false })
	r.server, r.call.Call.ID, r.call.Deadline = s, id, bootclock.Now().Add(2*time.Second)
	return r
}

// Guards against a rejected run that goes on waiting, and against a Retry-After other than the one
// for which the hub keeps a place.
func TestRunIsRejectedAsTheOrderSays(t *testing.T) {
	s := orderedServer(func(peers.PlaceArgs) (peers.PlaceReply, bool) {
		return peers.PlaceReply{Able: true, Order: &waitlist.Verdict{Rejected: true, RetryAfter: 7 * time.Second}}, true
	})
	began := time.Now()
	_, rejection := s.start(t.Context(), runOf(s, "r"))
	require.Less(t, time.Since(began), 200*time.Millisecond)
	require.Equal(t, edge.ReasonNoRoom, rejection.Reason)
	require.Equal(t, 7*time.Second, rejection.RetryAfter)
	require.Empty(t, s.Turns.waiting)
}

// Guards against a message for each waiting run on a timer, and against entries that expire while
// their runs wait behind the first of their host.
func TestFirstRunAsksForThoseThatWaitBehindIt(t *testing.T) {
	var mu sync.Mutex
	var ids []string // in the order in which the runs arrived, which ask at once
	asks, kept := make(map[string]int), make(map[string]int)
	s := orderedServer(func(args peers.PlaceArgs) (peers.PlaceReply, bool) {
		mu.Lock()
		defer mu.Unlock()
		if asks[args.Ask.ID]++; asks[args.Ask.ID] == 1 {
			ids = append(ids, args.Ask.ID)
		}
		for _, o := range args.Others {
			kept[o.ID]++
		}
		return peers.PlaceReply{Able: true, Order: &waitlist.Verdict{Class: waitlist.Newcomer}}, true
	})
	var wait sync.WaitGroup
	for range 3 {
		r := runOf(s, "same ID of their callers")
		wait.Go(func() { s.place(t.Context(), r) })
		time.Sleep(20 * time.Millisecond)
	}
	wait.Wait()
	require.Len(t, ids, 3, "runs with equal request IDs have places of their own")
	require.GreaterOrEqual(t, asks[ids[0]], 3)
	require.LessOrEqual(t, asks[ids[2]], 2, "when it arrived, and when it was the first")
	require.GreaterOrEqual(t, kept[ids[2]], 3)
}

// Guards against runs that are not served since there is no hub, or one of an older build.
func TestRunsStartWithoutAnOrder(t *testing.T) {
	for name, answer := range map[string]func(s *Server) (peers.PlaceReply, bool){
		"no hub": func(*Server) (peers.PlaceReply, bool) { return peers.PlaceReply{}, false },
		"hub of an older build": func(s *Server) (peers.PlaceReply, bool) {
			return peers.PlaceReply{Able: true, Decision: placement.Decision{Target: s.Targets.View().Available("s")[0].Key()}}, true
		},
	} {
		t.Run(name, func(t *testing.T) {
			var s *Server
			s = orderedServer(func(peers.PlaceArgs) (peers.PlaceReply, bool) { return answer(s) })
			s.EstimateSpread = func() int { return 1 }
			target, _ := s.place(t.Context(), runOf(s, "r"))
			require.NotNil(t, target)
		})
	}
}
