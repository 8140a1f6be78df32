package process

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/node"
	"corianderhitch/internal/edge/policy"
	"corianderhitch/internal/edge/targetnotice"
)

// Plain calls aren't placed by a hub: a part of the rate that is set aside for it would be lost to them.
func TestHubHasPermitsForEnginesOnly(t *testing.T) {
	p := &Process{log: slog.New(slog.DiscardHandler), node: node.Node{Name: "host", Cold: node.ColdBound{Factor: 1.5, Slack: 5}}}
	p.policy = policy.NewHolder(func([]byte) (*policy.Configuration, error) {
		return policy.New(1, policy.Limits{}, nil, []policy.Service{
			{Name: "plain", ColdFor: time.Minute, ColdRate: 31}, {Name: "runs", ColdFor: time.Minute, ColdRate: 31, Engine: &policy.Engine{Slots: 24, MemoryTokens: 34000}},
		}, nil), nil
	})
	_, err := p.policy.ApplyIfNewer(nil, 1)
	require.NoError(t, err)
	p.initWarmup(targetnotice.New())
	now := bootclock.Now()
	p.warmup.Refresh([]string{"host"}, now.Add(-time.Minute))
	p.warmup.ObserveHub(true, now.Add(-time.Minute))
	rates := make(map[string]float64)
	for _, service := range []string{"plain", "runs"} {
		p.warmup.ObserveEntry(service+"@1", service, 1, time.Minute, now)
		_, rates[service] = p.warmup.Left(service+"@1", false, now)
		require.Equal(t, service == "runs", p.warmup.HasHubPermit(service+"@1", now))
	}
	require.Less(t, rates["runs"], rates["plain"])
}
