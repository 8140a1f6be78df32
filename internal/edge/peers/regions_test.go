package peers

import (
	"testing"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/region"
	"corianderhitch/internal/edge/relay"
	"corianderhitch/internal/edge/storeera"
	"corianderhitch/internal/logging"
)

// Hosts of older builds state no region.
func TestForwardersAreInTheAllowedRegions(t *testing.T) {
	m := NewMembers(logging.Discard(), nil, storeera.New(logging.Discard()), relay.Host{Name: "self", Forward: "127.0.0.1:1", Region: "x"})
	for _, h := range []relay.Host{{Name: "x-1", Forward: "127.0.0.1:2", Region: "x"}, {Name: "y-1", Forward: "127.0.0.1:3", Region: "y"},
		{Name: "old", Forward: "127.0.0.1:4"}, {Name: "none", Region: "x"}} {
		m.hosts[h.Name] = h
	}
	require.Equal(t, []string{"127.0.0.1:2"}, m.Forwarders(region.Allowed([]string{"x"})))
	require.Empty(t, m.Forwarders(region.Allowed([]string{"x"}, []string{"y"})))
	require.ElementsMatch(t, []string{"127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4"}, m.Forwarders(region.Set{}))
}
