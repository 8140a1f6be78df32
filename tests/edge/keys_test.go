package edge_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// logContains reports whether the host's log contains text.
func logContains(h *host, text string) bool { return strings.Contains(h.logs.String(), text) }

// A host that can reach neither the store nor a peer doesn't learn that a key was revoked.
// It must reject all requests with a key once its last confirmation is too old.
func TestPartitionedHostRejectsRevokedKey(t *testing.T) {
	f, h, targets := startPlainFleet(t, 1)
	require.Equal(t, http.StatusOK, send(h.request(t.Context(), http.MethodPost, "hold", "r-0", nil)).status)
	h.store.setPartitioned(true)
	f.keys = []string{"key-2"}
	f.configure()
	revokedAt := time.Now()
	const bound = revokeWithin
	for time.Since(revokedAt) < bound {
		send(h.request(t.Context(), http.MethodPost, "hold", "r-early", nil))
		time.Sleep(50 * time.Millisecond)
	}
	before := len(targets[0].Requests())
	a := send(h.request(t.Context(), http.MethodPost, "hold", "r-late", nil))
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	require.NotEmpty(t, a.header.Get("Retry-After"))
	require.Len(t, targets[0].Requests(), before)
	h.store.setPartitioned(false)
	require.Eventually(t, func() bool {
		return send(h.request(t.Context(), http.MethodPost, "hold", "r-back", nil)).status == http.StatusUnauthorized
	}, waitTimeout, checkInterval)
}

// A host that can't reach the store keeps accepting requests while a peer confirms the
// configuration, and gets new configurations from that peer.
func TestPeerConfirmsConfigurationForPartitionedHost(t *testing.T) {
	f, partitioned, _ := startPlainFleet(t, 1)
	peer := f.startHost()
	require.Eventually(t, func() bool {
		return logContains(partitioned, `"host":"host-1"`) && logContains(peer, `"host":"host-0"`)
	}, waitTimeout, checkInterval)
	partitioned.store.setPartitioned(true)
	until := time.Now().Add(4 * time.Second) // twice the bound
	for time.Now().Before(until) {
		require.Equal(t, http.StatusOK, send(partitioned.request(t.Context(), http.MethodPost, "hold", "r-1", nil)).status)
		time.Sleep(100 * time.Millisecond)
	}
	f.keys = []string{"key-2"}
	f.configure()
	require.Eventually(t, func() bool {
		return send(partitioned.request(t.Context(), http.MethodPost, "hold", "r-2", nil)).status == http.StatusUnauthorized
	}, 2*time.Second, checkInterval)
}

// A host that starts before any configuration exists becomes ready only once there is one.
// Otherwise it would reject its first requests for lack of a configuration.
func TestHostIsNotReadyWithoutConfiguration(t *testing.T) {
	f := newFleet(t)
	go func() {
		time.Sleep(300 * time.Millisecond)
		f.configure()
	}()
	h := f.startHost() // waits until it is ready
	require.Equal(t, http.StatusServiceUnavailable, send(h.request(t.Context(), http.MethodPost, "hold", "r-1", nil)).status,
		"the configuration is known, but there is no target")
}
