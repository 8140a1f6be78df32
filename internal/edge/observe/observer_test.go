package observe

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/targets"
)

// engines answers reports and counts them by address.
type engines struct {
	edge.EngineClient
	mu      sync.Mutex
	asked   map[string]int
	leaving map[string]bool
}

func (e *engines) Report(_ context.Context, address string) (edge.EngineReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.asked[address]++
	return edge.EngineReport{Leaving: e.leaving[address]}, nil
}

func (e *engines) count(address string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.asked[address]
}

func TestOwnedBusyEnginesAreAsked(t *testing.T) {
	told := make(chan string, 1)
	registry := targets.New(func(t targets.Target, _ targets.LeavingNotice) { told <- t.ID })
	registry.Replace(map[string]targets.Target{
		"k1": {ID: "busy", Service: "s", Address: "busy"}, "k2": {ID: "idle", Service: "s", Address: "idle"},
	}, 1)
	fake := &engines{asked: map[string]int{}, leaving: map[string]bool{"busy": true}}
	o := &ReportPoller{Log: slog.New(slog.DiscardHandler), Host: "h1", Engines: fake, Targets: registry,
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
	go o.Run(ctx)
	select {
	case id := <-told:
		require.Equal(t, "busy", id)
	case <-time.After(5 * time.Second):
		t.Fatal("the engine's report was not taken")
	}
	require.Zero(t, fake.count("idle"))
	require.Equal(t, "idle", registry.View().Available("s")[0].ID)
}
