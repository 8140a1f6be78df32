package streaming

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/draining"
	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/node"
	"corianderhitch/internal/edge/peers"
	"corianderhitch/internal/edge/placement"
	"corianderhitch/internal/edge/targetconn"
	"corianderhitch/internal/edge/targetnotice"
	"corianderhitch/internal/edge/targets"
	"corianderhitch/internal/edge/warmup"
)

// coldServer returns the server of a host without a share of the cold engine c, which is empty, while the
// warm one w has runs. The tracker is that of the first hub.
func coldServer() (*Server, *Run, *warmup.Tracker) {
	s, r := placingServer(draining.New(placingDrain), silentObserver{}, nil)
	tracker := warmup.New(slog.New(slog.DiscardHandler), "host", node.ColdBound{Factor: 1.5, Slack: 5}, func(string) (float64, time.Duration) { return 31, time.Minute })
	tracker.PlacedByHub = func(string) bool { return true }
	now := bootclock.Now()
	tracker.ObserveHub(true, now.Add(-time.Minute))
	stated := targetnotice.New()
	stated.Warmup = tracker
	s.Targets = targets.New(stated, func(targets.Target, targets.LeavingNotice) {})
	for _, id := range []string{"c", "w"} {
		s.Targets.Apply([]targets.Change{{Name: id, Target: &targets.Target{ID: id, Service: "s", Address: "127.0.0.1:1"}}}, 1)
	}
	tracker.ObserveEntry("c@0", "s", 1, time.Minute, now)
	tracker.ObserveEntry("w@0", "s", 1, 0, now)
	r.call.Service.Engine.Slots = 24
	s.Inflight.Add("w@0", inflight.Load{Runs: 2, Tokens: 1 << 19, Held: 1 << 19})
	s.EstimateSpread = func() int { return 1 }
	return s, r, tracker
}

// The hub is told which engines lack nothing but a permit: none of those that failed or that moves and
// replicas may not use.
func TestHubIsAskedForPermitsOfNewRuns(t *testing.T) {
	for name, c := range map[string]struct {
		need    placement.Requirements
		tried   map[string]bool
		failing bool
		want    []string
	}{
		"new run": {want: []string{"c@0"}},
		"move":    {need: placement.Requirements{Move: true}},
		"replica": {need: placement.Requirements{Limit: 0.9}},
		"tried":   {tried: map[string]bool{"c@0": true}},
		"failing": {failing: true},
	} {
		t.Run(name, func(t *testing.T) {
			s, r, _ := coldServer()
			for c.failing && s.Health.FailureCost("c@0") <= placement.MaxHealthyCost {
				s.Health.RecordFailure("c@0", 1)
			}
			var asked peers.PlaceArgs
			s.PlaceViaHub = func(_ context.Context, args peers.PlaceArgs) (reply peers.PlaceReply, able bool) {
				asked = args
				reply.Target, reply.Permitted = "c@0", len(args.WithoutPermit) > 0
				return reply, true
			}
			before := bootclock.Now()
			placed := s.ReserveEngine(t.Context(), r.call.Service, c.need, inflight.Load{Runs: 1}, c.tried)
			require.ElementsMatch(t, c.want, asked.WithoutPermit)
			require.Contains(t, asked.Tried, "c@0", "for hubs of older builds")
			if len(c.want) == 0 {
				require.Zero(t, placed.PermitUntil)
				return
			}
			require.GreaterOrEqual(t, placed.PermitUntil, before.Add(warmup.HubPermitFor))
			require.LessOrEqual(t, placed.PermitUntil, bootclock.Now().Add(warmup.HubPermitFor))
		})
	}
}

// The failure guarded against: the runs of the hub's own callers go to fuller engines, or to the cold one
// beyond its permits. A host that isn't the hub uses its own share only, here none.
func TestHubUsesItsPermitsForItsOwnRuns(t *testing.T) {
	for _, hub := range []bool{true, false} {
		s, r, tracker := coldServer()
		s.PlaceViaHub = func(context.Context, peers.PlaceArgs) (peers.PlaceReply, bool) { return peers.PlaceReply{}, false }
		if hub {
			s.Permits = tracker
		}
		permitted := 0
		for range 20 {
			placed := s.ReserveEngine(t.Context(), r.call.Service, placement.Requirements{}, inflight.Load{Runs: 1}, nil)
			require.NotNil(t, placed.Target)
			require.Equal(t, placed.Target.ID == "c", placed.PermitUntil != 0)
			if placed.PermitUntil != 0 {
				permitted++
			}
		}
		if hub {
			require.GreaterOrEqual(t, permitted, 3)
			require.Less(t, permitted, 20)
		} else {
			require.Zero(t, permitted)
		}
		placed := s.ReserveEngine(t.Context(), r.call.Service, placement.Requirements{Move: true}, inflight.Load{Runs: 1}, nil)
		require.Equal(t, "w", placed.Target.ID)
	}
}

// recordingGate records until when the requests that it admits have a permit.
type recordingGate struct {
	openGate
	admitted *[]bootclock.Instant
}

func (g recordingGate) Admit(_ string, r *targetconn.Request) (targetnotice.Verdict, func(bool)) {
	*g.admitted = append(*g.admitted, r.PermitUntil)
	return targetnotice.Allowed, func(bool) {}
}

// The failure guarded against: the gate refuses the run for which the hub has granted a permit.
func TestRunIsSentWithThePermitOfTheHub(t *testing.T) {
	s, r, _ := coldServer()
	engine := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer engine.Close()
	s.Targets.View().Get("c@0").Address = engine.Listener.Addr().String()
	var admitted []bootclock.Instant
	s.Sender = &edge.Sender{Wire: acceptingWire{}, Pool: targetconn.New(func(http.Header) string { return "" }, recordingGate{admitted: &admitted}, func(string) float64 { return 0 })}
	r.call.StillAuthorized = func(context.Context) bool { return true }
	r.call.Call.Method, r.call.Call.URI, r.call.Call.Host = http.MethodGet, "/", "e"
	s.PlaceViaHub = func(context.Context, peers.PlaceArgs) (reply peers.PlaceReply, able bool) {
		reply.Target, reply.Permitted = "c@0", true
		return reply, true
	}
	opened, rejection := s.start(t.Context(), r)
	require.Nil(t, rejection)
	require.Equal(t, "c", opened.target.ID)
	opened.close()
	require.Len(t, admitted, 1)
	require.NotZero(t, admitted[0])
}

// A permit is for the one engine for which it was granted.
func TestPermitIsTakenOnce(t *testing.T) {
	s, r, _ := coldServer()
	s.PlaceViaHub = func(context.Context, peers.PlaceArgs) (reply peers.PlaceReply, able bool) {
		reply.Target, reply.Permitted = "c@0", true
		return reply, true
	}
	engine, _ := s.place(t.Context(), r)
	require.Equal(t, "c", engine.ID)
	require.NotZero(t, r.attempts.takePermit())
	require.Zero(t, r.attempts.takePermit())
}
