package observe

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/targetnotice"
	"corianderhitch/internal/edge/targets"
)

// fakeEngines answers report calls and counts them by address.
type fakeEngines struct {
	edge.EngineClient
	mu      sync.Mutex
	polls   map[string]int
	leaving map[string]bool
}

func (e *fakeEngines) Report(_ context.Context, t *targets.Target) (edge.EngineReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.polls[t.Address]++
	return edge.EngineReport{Leaving: e.leaving[t.Address]}, nil
}

func (e *fakeEngines) count(address string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.polls[address]
}

func TestPollsOwnedBusyEngines(t *testing.T) {
	leavingIDs := make(chan string, 1)
	registry := targets.New(targetnotice.New(), func(t targets.Target, _ targets.LeavingNotice) { leavingIDs <- t.ID })
	registry.Replace(map[string]targets.Target{
		"k1": {ID: "busy", Service: "s", Address: "busy"}, "k2": {ID: "idle", Service: "s", Address: "idle"},
	}, 1)
	fake := &fakeEngines{polls: map[string]int{}, leaving: map[string]bool{"busy": true}}
	poller := &ReportPoller{Log: slog.New(slog.DiscardHandler), Host: "h1", Engines: fake, Targets: registry,
		Services: func() []string { return []string{"s"} }, Hosts: func() []string { return []string{"h1"} },
		RunsInFlight: func(target string) int {
			if target == "busy@0" {
				return 1
			}
			return 0
		},
		ListIsLive: func() bool { return false },
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go poller.Run(ctx)
	select {
	case id := <-leavingIDs:
		require.Equal(t, "busy", id)
	case <-time.After(5 * time.Second):
		t.Fatal("the engine was not marked as leaving")
	}
	require.Zero(t, fake.count("idle"))
	require.Equal(t, "idle", registry.View().Available("s")[0].ID)
}
