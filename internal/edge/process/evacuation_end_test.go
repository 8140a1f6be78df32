package process

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/node"
	"corianderhitch/internal/edge/policy"
	"corianderhitch/internal/edge/storeera"
	"corianderhitch/internal/edge/targetnotice"
	"corianderhitch/internal/edge/targets"
)

// The targets of a domain may have become cold while it was evacuated, and their entries may not show
// it yet. Those that get requests again at the full rate crash.
func TestTargetsAreColdWhenTheirEvacuationEnds(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	p := &Process{log: log, eras: storeera.New(log), node: node.Node{Name: "host", EvacuateWithin: 5 * time.Second, Cold: node.ColdBound{Factor: 1.5, Slack: 5}}}
	p.policy = policy.NewHolder(func([]byte) (*policy.Configuration, error) {
		return policy.New(1, policy.Limits{}, nil, []policy.Service{{Name: "s", ColdFor: time.Second, ColdRate: 31}}, nil), nil
	})
	_, err := p.policy.ApplyIfNewer(nil, 1)
	require.NoError(t, err)
	notices := targetnotice.New()
	p.initWarmup(notices)
	p.targets = targets.New(notices, func(targets.Target, targets.LeavingNotice) {})
	p.evacuated = p.newEvacuated()
	p.targets.ExcludeEvacuated(p.evacuated)
	entry := func(id, domain string) targets.Target {
		return targets.Target{ID: id, Service: "s", Address: "127.0.0.1:1", Domain: domain, Slots: 6}
	}
	p.targets.Replace(map[string]targets.Target{"1": entry("1", "a"), "2": entry("2", "b")}, 1)
	for _, target := range p.targets.View().InDomains([]string{"a", "b"}) {
		p.warmup.ObserveEntry(target.Key(), "s", 1, 0, bootclock.Now())
	}
	p.evacuated.Replace([]string{"a"}, 2, true, "list")
	require.Len(t, p.targets.View().Serving("s"), 1)
	require.Zero(t, p.warmup.Count())
	p.evacuated.Replace(nil, 3, true, "list")
	require.Len(t, p.targets.View().Serving("s"), 2)
	require.True(t, p.warmup.IsCold("1@0", bootclock.Now()))
	require.False(t, p.warmup.IsCold("2@0", bootclock.Now()))
}
