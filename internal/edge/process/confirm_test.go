package process

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/node"
	"corianderhitch/internal/edge/peers"
	"corianderhitch/internal/edge/relay"
)

// The hubs lost the store right after they confirmed the configuration, while this host still
// reaches it. The host must look the configuration up in time, although its peers answer only
// with confirmations as old as its own: requests with a withdrawn key ran until 2.4 s after the
// acknowledgement, where 2 s were allowed.
func TestHostConfirmsWithinTheBoundOfAConfigurationWithoutItsHubs(t *testing.T) {
	const lookup = 300 * time.Millisecond // the call to the store, and requests that were admitted before it
	for name, n := range map[string]node.Node{
		"small fleet":             {ApplyWithin: 2 * time.Second, RevokeWithin: 5 * time.Second, RevokeStrict: true},
		"large fleet":             {ApplyWithin: 3 * time.Second, RevokeWithin: 5 * time.Second, RevokeStrict: true},
		"no bound on key removal": {ApplyWithin: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			members := peers.NewMembers(slog.New(slog.DiscardHandler), nil, nil, relay.Host{Name: "host"})
			p := &Process{node: n, exchange: &peers.Exchange{Host: "host", Members: members}}
			require.False(t, p.exchange.IsHub())
			require.LessOrEqual(t, p.confirmPeriod()+secondSourceDelay+lookup, n.ApplyWithin)
			require.LessOrEqual(t, p.maxPeerConfirmationAge(), p.confirmPeriod())
		})
	}
}
