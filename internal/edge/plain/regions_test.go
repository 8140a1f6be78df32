package plain

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/admission"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/draining"
	"corianderhitch/internal/edge/ejection"
	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/policy"
	"corianderhitch/internal/edge/region"
	"corianderhitch/internal/edge/stall"
	"corianderhitch/internal/edge/targetconn"
	"corianderhitch/internal/edge/targetnotice"
	"corianderhitch/internal/edge/targets"
)

// regionalRun returns a call that may run in some regions, to targets "t-REGION" that close each
// connection at its first request if broken, and are silent otherwise. Each that is connected to is
// noted.
func regionalRun(t *testing.T, broken bool, regions region.Set, regionOfTargets ...string) (*run, <-chan string) {
	registry, opened := targets.New(targetnotice.New(), func(targets.Target, targets.LeavingNotice) {}), make(chan string, 100)
	domains := region.Map{}
	for _, name := range regionOfTargets {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		go func() {
			for {
				connection, err := listener.Accept()
				if err != nil {
					return
				}
				opened <- name
				if broken {
					_, _ = connection.Read(make([]byte, 1024))
					_ = connection.Close()
					continue
				}
				t.Cleanup(func() { _ = connection.Close() })
			}
		}()
		domains["domain-"+name] = name
		registry.Apply([]targets.Change{{Name: name, Target: &targets.Target{ID: "t-" + name, Service: "s", Domain: "domain-" + name, Address: listener.Addr().String()}}}, 1)
	}
	table, now := inflight.New("host"), bootclock.Now()
	s := &Server{
		Sender: &edge.Sender{Wire: plainWire{}, Pool: targetconn.New(func(http.Header) string { return "" }, openGate{}, func(string) float64 { return 0 })}, Targets: registry,
		Inflight: table, Health: ejection.New(), Drain: draining.New(time.Minute), Stalls: &stall.Detector{}, Queue: admission.New(table.Changed), RetryBudget: generousBudget, Regions: domains,
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	t.Cleanup(cancel)
	return &run{server: s, ctx: ctx, served: t.Context(), outcomes: make(chan outcome, 10), tried: make(map[string]bool), call: &edge.AuthorizedCall{
		Call: &edge.Call{ID: "r", Method: http.MethodGet, URI: "/"}, Service: &policy.Service{Name: "s"}, Log: slog.New(slog.DiscardHandler), Regions: regions,
		Route: &policy.Route{Name: "route", Kind: policy.Idempotent, MaxAttempts: 4}, Received: now, Arrived: now,
		Deadline: now.Add(time.Minute), StillAuthorized: func(context.Context) bool { return true },
	}}, opened
}

// used returns the regions of the targets that were connected to.
func used(opened <-chan string) map[string]bool {
	out := make(map[string]bool)
	for len(opened) > 0 {
		out[<-opened] = true
	}
	return out
}

// A call is sent again after failures, and hedged while a target is silent, but never to a target in
// a region that its route or account forbids.
func TestRetriesAndHedgesStayInTheAllowedRegions(t *testing.T) {
	for name, broken := range map[string]bool{"retry": true, "hedge": false} {
		t.Run(name, func(t *testing.T) {
			r, opened := regionalRun(t, broken, region.Allowed([]string{"x", "z"}), "x", "y", "z")
			r.serve()
			require.Equal(t, map[string]bool{"x": true, "z": true}, used(opened))
			r, opened = regionalRun(t, broken, region.Set{}, "x", "y", "z")
			r.serve()
			require.Contains(t, used(opened), "y", "neither states regions")
		})
	}
}

func TestCallWithoutATargetInItsRegionsIsRejectedAtOnce(t *testing.T) {
	for name, regions := range map[string]region.Set{
		"other region": region.Allowed([]string{"w"}), "empty intersection": region.Allowed([]string{"x"}, []string{"y"}),
	} {
		t.Run(name, func(t *testing.T) {
			r, opened := regionalRun(t, false, regions, "x", "y")
			started := time.Now()
			rejection := r.rejection(r.serve())
			require.Less(t, time.Since(started), 100*time.Millisecond)
			require.Equal(t, http.StatusServiceUnavailable, rejection.Status)
			require.Equal(t, edge.ReasonNoTarget, rejection.Reason)
			require.Empty(t, opened)
		})
	}
}
