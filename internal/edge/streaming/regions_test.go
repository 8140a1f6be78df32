package streaming

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/draining"
	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/peers"
	"corianderhitch/internal/edge/placement"
	"corianderhitch/internal/edge/region"
	"corianderhitch/internal/edge/targets"
)

// regionalServer returns a server with an engine in each of the regions x and y, and a run. The hub
// answers as a build that knows no regions, with the engine in y.
func regionalServer(hub bool) (*Server, *Run, *[]placement.Requirements) {
	s, r := placingServer(draining.New(placingDrain), silentObserver{}, nil)
	s.Targets.Apply([]targets.Change{{Name: "e"}}, 2)
	for _, name := range []string{"x", "y"} {
		s.Targets.Apply([]targets.Change{{Name: name, Target: &targets.Target{ID: name, Service: "s", Domain: "domain-" + name, Address: "127.0.0.1:1"}}}, 3)
	}
	s.Regions, s.EstimateSpread = region.Map{"domain-x": "x", "domain-y": "y"}, func() int { return 1 }
	asked := new([]placement.Requirements)
	s.PlaceViaHub = func(_ context.Context, args peers.PlaceArgs) (peers.PlaceReply, bool) {
		*asked = append(*asked, args.Need)
		reply := peers.PlaceReply{Able: true}
		reply.Target = "y@0"
		return reply, hub
	}
	return s, r, asked
}

// Runs, moves and replicas get their engine by ReserveEngine: from the hub, which may be of an older
// build, or by this host's own choice.
func TestEnginesAreChosenInTheAllowedRegions(t *testing.T) {
	for name, need := range map[string]placement.Requirements{"run": {}, "move": {Move: true}, "replica": {Limit: 0.9}} {
		for _, hub := range []bool{false, true} {
			s, r, asked := regionalServer(hub)
			need.Regions = region.Allowed([]string{"x"})
			for range 20 {
				placed := s.ReserveEngine(t.Context(), r.call.Service, need, inflight.Load{Runs: 1}, nil)
				require.NotNil(t, placed.Target, name)
				require.Equal(t, "x", placed.Target.ID, name)
				s.Inflight.Remove(placed.Target.Key(), inflight.Load{Runs: 1})
			}
			require.Equal(t, need.Regions, (*asked)[0].Regions, "the hub is told")
			placed := s.ReserveEngine(t.Context(), r.call.Service, need, inflight.Load{Runs: 1}, map[string]bool{"x@0": true})
			require.Nil(t, placed.Target, "%s: the only allowed engine was tried", name)
		}
	}
}

func TestRunRequiresTheRegionsOfItsCall(t *testing.T) {
	s, r, _ := regionalServer(false)
	r.call.Regions = region.Allowed([]string{"x"})
	require.Equal(t, r.call.Regions, newRequirements(r.call, inflight.Load{}, s.Domain).Regions)
	require.Equal(t, r.call.Regions, r.Regions(), "that moves and replicas use")
	placed, _ := s.place(t.Context(), r)
	require.Equal(t, "x", placed.ID)
}

func TestRunWithoutAnEngineInItsRegionsIsRejectedAtOnce(t *testing.T) {
	s, r, asked := regionalServer(true)
	r.call.Regions = region.Allowed([]string{"x"}, []string{"y"})
	started := time.Now()
	_, rejection := s.start(t.Context(), r)
	require.Less(t, time.Since(started), 100*time.Millisecond)
	require.Equal(t, http.StatusServiceUnavailable, rejection.Status)
	require.Equal(t, edge.ReasonNoTarget, rejection.Reason)
	require.Empty(t, *asked)
}
