package process

import (
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/peers"
	"corianderhitch/internal/edge/placement"
	"corianderhitch/internal/edge/relay"
)

// A host that has just started must not assume that engines are as empty as they
// appear, since it does not know yet how many hosts place runs.
func TestSpreadIsMaximalBeforeTheHostsAreKnown(t *testing.T) {
	p := &Process{members: peers.NewMembers(slog.New(slog.DiscardHandler), nil, nil, relay.Host{Name: "host"})}
	require.Equal(t, placement.MaxSpread, p.estimateSpread())
}
