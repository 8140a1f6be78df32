package process

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"corianderhitch/internal/edge/node"
	"corianderhitch/internal/edge/peers"
	"corianderhitch/internal/edge/relay"
)

// The hubs lost the store right after they confirmed the configuration, while this host still
// reaches it. The host must look the configuration up in time, although its peers answer only
// with confirmations as old as its own: requests with a withdrawn key ran until 2.4 s after the
// acknowledgement, where 2 s were allowed.
func TestHostConfirmsWithinTheBoundOfAConfigurationWithoutItsHubs(t *testing.T) {
	for name, n := range map[string]node.Node{
		"small fleet":             {ApplyWithin: 2 * time.Second, RevokeWithin: 5 * time.Second, RevokeStrict: true},
		"large fleet":             {ApplyWithin: 3 * time.Second, RevokeWithin: 5 * time.Second, RevokeStrict: true},
		"no bound on key removal": {ApplyWithin: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			members := peers.NewMembers(slog.New(slog.DiscardHandler), nil, nil, relay.Host{Name: "host"})
			p := &Process{node: n, exchange: &peers.Exchange{Host: "host", Members: members}}
			require.False(t, p.exchange.IsHub())
			require.LessOrEqual(t, p.confirmPeriod()+secondSourceDelay+lookupTime, n.ApplyWithin)
			require.LessOrEqual(t, p.maxPeerConfirmationAge(), p.confirmPeriod())
		})
	}
}

// A period was too long for bounds of about a second, and each new bound may be shorter than the one
// that a period follows from: what the operator withdrew stayed in force.
func TestHostConfirmsWithinEachBoundInAnyOrder(t *testing.T) {
	members := peers.NewMembers(slog.New(slog.DiscardHandler), nil, nil, relay.Host{Name: "host"})
	rapid.Check(t, func(t *rapid.T) {
		bound := func(name string) time.Duration {
			return rapid.SampledFrom([]time.Duration{0, 1000, 1100, 1500, 2000, 3000, 5000, 10_000, 30_000}).Draw(t, name) * time.Millisecond
		}
		n := node.Node{ApplyWithin: bound("apply"), RevokeWithin: bound("revoke"), EvacuateWithin: bound("evacuate"), RevokeStrict: rapid.Bool().Draw(t, "strict")}
		p := &Process{node: n, exchange: &peers.Exchange{Host: "host", Members: members}}
		period := p.confirmPeriod()
		require.GreaterOrEqual(t, period, minConfirmPeriod)
		require.LessOrEqual(t, p.maxPeerConfirmationAge(), period)
		for name, within := range map[string]time.Duration{"apply": n.ApplyWithin, "evacuate": n.EvacuateWithin, "revoke": n.RevokeWithin} {
			if within > 0 && (name != "revoke" || n.RevokeStrict) {
				require.LessOrEqual(t, period+secondSourceDelay+lookupTime, within, name)
			}
		}
	})
}
