package edge_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func bytesContain(h *host, text string) bool { return strings.Contains(h.logs.String(), text) }

// A key that was taken away admits nothing after the bound, on a host that is
// cut off from the store and has no peers either.
func TestRemovedKeyAdmitsNothingOnAHostThatIsCutOff(t *testing.T) {
	f, h, desks := deskFleet(t, 1)
	require.Equal(t, http.StatusOK, send(h.request(t.Context(), http.MethodPost, "hold", "r-0", nil)).status)
	h.cut.set(true)
	f.keys = []string{"key-2"}
	f.configure()
	removed := time.Now()
	const bound = 2 * time.Second // RevokeWithin of the fleet
	for time.Since(removed) < bound {
		send(h.request(t.Context(), http.MethodPost, "hold", "r-early", nil))
		time.Sleep(50 * time.Millisecond)
	}
	before := len(desks[0].Requests())
	a := send(h.request(t.Context(), http.MethodPost, "hold", "r-late", nil))
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	require.NotEmpty(t, a.header.Get("Retry-After"))
	require.Len(t, desks[0].Requests(), before)
	h.cut.set(false)
	require.Eventually(t, func() bool {
		return send(h.request(t.Context(), http.MethodPost, "hold", "r-back", nil)).status == http.StatusUnauthorized
	}, waitFor, checkEvery)
}

// A host that is cut off goes on while a peer vouches, and learns from it.
func TestPeerVouchesForAHostThatIsCutOff(t *testing.T) {
	f, cutOff, _ := deskFleet(t, 1)
	peer := f.start()
	require.Eventually(t, func() bool { return bytesContain(cutOff, `"host":"host-1"`) && bytesContain(peer, `"host":"host-0"`) }, waitFor, checkEvery)
	cutOff.cut.set(true)
	until := time.Now().Add(4 * time.Second) // twice the bound
	for time.Now().Before(until) {
		require.Equal(t, http.StatusOK, send(cutOff.request(t.Context(), http.MethodPost, "hold", "r-1", nil)).status)
		time.Sleep(100 * time.Millisecond)
	}
	f.keys = []string{"key-2"}
	f.configure()
	require.Eventually(t, func() bool {
		return send(cutOff.request(t.Context(), http.MethodPost, "hold", "r-2", nil)).status == http.StatusUnauthorized
	}, 2*time.Second, checkEvery)
}

func TestHostWithoutAConfigurationAnswersUnavailable(t *testing.T) {
	f := newFleet(t)
	go func() {
		time.Sleep(300 * time.Millisecond)
		f.configure()
	}()
	h := f.start() // waits until it is ready
	require.Equal(t, http.StatusServiceUnavailable, send(h.request(t.Context(), http.MethodPost, "hold", "r-1", nil)).status,
		"the configuration is known and there is no target")
}
