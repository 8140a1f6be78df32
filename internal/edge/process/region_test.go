package process

import (
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/ejection"
	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/node"
	"corianderhitch/internal/edge/placement"
	"corianderhitch/internal/edge/policy"
	"corianderhitch/internal/edge/region"
	"corianderhitch/internal/edge/streaming"
	"corianderhitch/internal/edge/targetnotice"
	"corianderhitch/internal/edge/targets"
)

// A hub chooses engines for other hosts' runs, of which it knows only the requirements.
func TestHubChoosesEnginesInTheAllowedRegions(t *testing.T) {
	p := &Process{log: slog.New(slog.DiscardHandler), policy: policy.NewHolder(func([]byte) (*policy.Configuration, error) {
		return policy.New(1, policy.Limits{}, nil, []policy.Service{{Name: "s", Engine: &policy.Engine{Slots: 24, MemoryTokens: 34000}}}, nil), nil
	})}
	_, err := p.policy.ApplyIfNewer(nil, 1)
	require.NoError(t, err)
	p.targets = targets.New(targetnotice.New(), func(targets.Target, targets.LeavingNotice) {})
	for _, domain := range []string{"a", "b", "c"} {
		p.targets.Apply([]targets.Change{{Name: domain, Target: &targets.Target{ID: domain, Service: "s", Domain: domain}}}, 1)
	}
	p.streaming = &streaming.Server{Inflight: inflight.New("hub"), Health: ejection.New(),
		Regions: regionsOf(&node.Node{Domain: "c", Region: "y", Regions: map[string]string{"a": "x", "b": "y"}})}
	chosen := func(regions region.Set, tried map[string]bool) string {
		return p.chooseForPeer("s", placement.Requirements{Tokens: 10, Regions: regions}, tried).Target
	}
	require.Equal(t, "a@0", chosen(region.Allowed([]string{"x"}), nil))
	require.Empty(t, chosen(region.Allowed([]string{"x"}), map[string]bool{"a@0": true}))
	require.Equal(t, "c@0", chosen(region.Allowed([]string{"y"}), map[string]bool{"b@0": true}))
	require.Equal(t, "b@0", chosen(region.Set{}, map[string]bool{"a@0": true, "c@0": true}))
}
