package edge_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	ports "corianderhitch/internal/platform"
	"corianderhitch/platform/standin"
)

// rewriteDelay is how long after a restore the operator and the targets have written again
// what was lost.
const rewriteDelay = 1500 * time.Millisecond

// status sends a plain request with a key and returns the status of the response.
func (h *host) status(t *testing.T, id, key string) int {
	r := h.request(t.Context(), http.MethodGet, "check", id, nil)
	(&standin.Call{ID: id, APIKey: key, Timeout: time.Second}).SetHeaders(r)
	return send(r).status
}

// requireRejected sends requests with a key for some time, none of which may be served.
func (h *host) requireRejected(t *testing.T, key string, during time.Duration) {
	t.Helper()
	for n, end := 0, time.Now().Add(during); time.Now().Before(end); n++ {
		require.NotEqual(t, http.StatusOK, h.status(t, fmt.Sprintf("%s-%d", key, n), key), "after %d requests", n)
		time.Sleep(20 * time.Millisecond)
	}
}

// startKeyedFleet starts a host and a plain target, with a configuration that has two keys.
func startKeyedFleet(t *testing.T) (*fleet, *host) {
	f := newFleet(t)
	f.keys = []string{apiKey, "key-2"}
	f.configure()
	f.startPlainTarget("d-1")
	h := f.startHost()
	require.Eventually(t, func() bool { return h.status(t, "first", "key-2") == http.StatusOK }, waitTimeout, checkInterval)
	return f, h
}

// The store comes back from a copy in which a key is still valid that was withdrawn since.
// A host that has the newer configuration must not go back to the older one, and must
// follow the operator, who writes the newer one again under another revision.
func TestWithdrawnKeyStaysWithdrawnAfterRestore(t *testing.T) {
	t.Parallel()
	f, h := startKeyedFleet(t)
	older := f.store.Copy()
	f.keys = []string{apiKey}
	f.configure()
	require.Eventually(t, func() bool { return h.status(t, "second", "key-2") == http.StatusUnauthorized }, waitTimeout, checkInterval)
	f.store.Restore(older)
	h.requireRejected(t, "key-2", rewriteDelay)
	f.version--
	f.configure()
	h.requireRejected(t, "key-2", rewriteDelay)
	f.keys = []string{apiKey, "key-3"}
	f.configure()
	require.Eventually(t, func() bool { return h.status(t, "third", "key-3") == http.StatusOK }, waitTimeout, checkInterval)
}

// A host that was cut off from the store does not know that a key was withdrawn. What a
// restored store says before the operator has written again is no confirmation of the
// configuration that the host has.
func TestRestoredStoreDoesNotConfirmOldConfiguration(t *testing.T) {
	t.Parallel()
	f, h := startKeyedFleet(t)
	older := f.store.Copy()
	h.store.setPartitioned(true)
	f.keys = []string{apiKey}
	f.configure()
	withdrawn := time.Now()
	time.Sleep(500 * time.Millisecond)
	f.store.Restore(older)
	h.store.setPartitioned(false)
	time.Sleep(time.Until(withdrawn.Add(revokeWithin)))
	h.requireRejected(t, "key-2", rewriteDelay-500*time.Millisecond)
	f.version--
	f.configure()
	h.requireRejected(t, "key-2", time.Second)
	require.Eventually(t, func() bool { return h.status(t, "again", apiKey) == http.StatusOK }, waitTimeout, checkInterval)
}

// A host that starts right after a restore knows nothing of before, and must not serve a
// key that was withdrawn. When the store has been back for a while, it serves.
func TestHostThatStartsAfterRestoreWaitsForTheOperator(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.keys = []string{apiKey, "key-2"}
	f.configure()
	f.startPlainTarget("d-1")
	older := f.store.Copy()
	f.keys = []string{apiKey}
	f.configure()
	f.store.Restore(older)
	restored := time.Now()
	time.AfterFunc(rewriteDelay, func() { f.version--; f.configure() })
	h := f.startHost()
	require.Greater(t, time.Since(restored), rewriteDelay, "ready before the operator has written again")
	h.requireRejected(t, "key-2", 500*time.Millisecond)
	require.Equal(t, http.StatusOK, h.status(t, "again", apiKey))
	started := time.Now()
	f.startHost()
	require.Less(t, time.Since(started), rewriteDelay, "the next host needs not wait: the era has been known for a while")
}

// Targets that joined after the copy was made are missing in the restored store until they
// have written their entries again. They live, and stay in use; those that do not come back
// are dropped.
func TestTargetsMissingAfterRestoreAreKept(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.revokeWithin = 5 * time.Second // the restored store confirms no configuration for 2.5 s
	f.configure()
	h := f.startHost()
	older := f.store.Copy()
	set := standin.NewEngines()
	joined := f.startEngine(set, "e-1")
	f.register("e-9", engineService, closedAddress(), "ready")
	require.Eventually(t, func() bool { return logContains(h, `"target":"e-9"`) }, waitTimeout, checkInterval)
	f.store.Restore(older)
	for n, end := 0, time.Now().Add(rewriteDelay); time.Now().Before(end); n++ {
		a := send(generationRequest(t.Context(), h, fmt.Sprintf("r-%d", n), shortGeneration))
		require.Equal(t, http.StatusOK, a.status)
	}
	f.register("e-1", engineService, joined.Address(), "ready")
	require.Eventually(t, func() bool { return logContains(h, `"target":"e-9","service":"engines","source":"target_removed"`) }, waitTimeout, checkInterval)
	require.False(t, logContains(h, `"target":"e-1","service":"engines","source":"target_removed"`))
	require.Equal(t, http.StatusOK, send(generationRequest(t.Context(), h, "last", shortGeneration)).status)
}

// The copy shows a target as ready that has announced since that it leaves.
func TestLeavingTargetStaysLeavingAfterRestore(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.revokeWithin = 5 * time.Second // the restored store confirms no configuration for 2.5 s
	f.configure()
	set := standin.NewEngines()
	engines := []*standin.Engine{f.startEngine(set, "e-1"), f.startEngine(set, "e-2")}
	h := f.startHost()
	older := f.store.Copy()
	f.register("e-1", engineService, engines[0].Address(), "draining")
	require.Eventually(t, func() bool { return logContains(h, "target is leaving") }, waitTimeout, checkInterval)
	f.store.Restore(older)
	require.Eventually(t, func() bool { return logContains(h, "came back from an older copy") }, waitTimeout, checkInterval)
	before := len(engines[0].Started())
	for n := range 20 {
		require.Equal(t, http.StatusOK, send(generationRequest(t.Context(), h, fmt.Sprintf("r-%d", n), shortGeneration)).status)
	}
	require.Len(t, engines[0].Started(), before)
}

// A restored store has lost the entries and leases of hosts. They register again within two
// seconds, though their leases are renewed only every five, and do not touch the leases that
// the store has given out again.
func TestHostsRegisterAgainAfterRestore(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure()
	older := f.store.Copy()
	f.startHost()
	f.startHost()
	f.store.Restore(older)
	reused, err := f.store.Grant(t.Context(), time.Second)
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		entries, _, err := f.store.List(t.Context(), "corianderhitch/hosts/", "", 0)
		return err == nil && len(entries) == 2
	}, 2*time.Second, checkInterval)
	time.Sleep(1200 * time.Millisecond)
	require.ErrorIs(t, f.store.KeepAlive(t.Context(), reused), ports.ErrLeaseExpired, "a host renewed a lease that is not its own")
}

// Each host logs the change of the era once.
func TestChangeOfEraIsLoggedOnce(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure()
	hosts := []*host{f.startHost(), f.startHost(), f.startHost()}
	f.store.Restore(f.store.Copy())
	for _, h := range hosts {
		require.Eventually(t, func() bool { return logContains(h, "came back from an older copy") }, waitTimeout, checkInterval)
	}
	time.Sleep(500 * time.Millisecond)
	for _, h := range hosts {
		require.Equal(t, 1, strings.Count(h.logs.String(), "came back from an older copy"))
	}
}
