package edge_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	ports "corianderhitch/internal/platform"
	"corianderhitch/platform"
	"corianderhitch/platform/standin"
)

// LOST, UNASKED: hosts that read the list sent requests to what another writer's entry names, or stopped
// following it.
func TestEntryOfAnotherWriterNamesNoTarget(t *testing.T) {
	t.Parallel()
	start := func(id string) *standin.PlainTarget {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		target := standin.StartPlainTarget(id, listener)
		t.Cleanup(target.Close)
		return target
	}
	odd, sound := start("odd"), start("sound")
	for name, value := range standin.OddTargetEntries(plainService, odd.Address()) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			name := strings.ReplaceAll(name, " ", "-")
			f := newFleet(t)
			f.configure()
			key := platform.TargetPrefix + "odd"
			put := func(value []byte) {
				_, err := f.store.Put(t.Context(), key, value, ports.AnyRevision, 0)
				require.NoError(t, err)
			}
			put([]byte(value)) // listed
			f.register("sound", plainService, sound.Address(), "ready")
			h := f.startHost()
			requireServedElsewhere(t, h, odd, name+"-listed")
			put(standin.TargetEntry(plainService, odd.Address(), "ready", 6))
			require.NoError(t, f.store.Delete(t.Context(), platform.TargetPrefix+"sound", ports.AnyRevision))
			require.Eventually(t, func() bool {
				send(h.request(t.Context(), http.MethodPost, "hold", name+"-good", nil))
				return len(requestsOf(odd, name+"-good")) > 0
			}, waitTimeout, 20*time.Millisecond, "a sound entry takes the place of an odd one")
			f.register("sound", plainService, sound.Address(), "ready")
			put([]byte(value)) // changed
			require.Eventually(t, func() bool { return strings.Count(h.logs.String(), "targets: entry ignored") >= 2 }, waitTimeout, checkInterval)
			require.Eventually(t, func() bool {
				return send(h.request(t.Context(), http.MethodPost, "hold", name+"-back", nil)).status == http.StatusOK
			}, waitTimeout, 20*time.Millisecond)
			requireServedElsewhere(t, h, odd, name+"-changed")
		})
	}
}

// requireServedElsewhere sends requests, all of which must be served, none of them by the odd target.
func requireServedElsewhere(t *testing.T, h *host, odd *standin.PlainTarget, id string) {
	t.Helper()
	for i := range 10 {
		a := send(h.request(t.Context(), http.MethodPost, "hold", fmt.Sprint(id, "-", i), nil))
		require.NoError(t, a.err)
		require.Equal(t, http.StatusOK, a.status, a.body)
	}
	require.Empty(t, requestsOf(odd, id+"-"))
}

// requestsOf returns the IDs of the requests that reached a target and begin so.
func requestsOf(target *standin.PlainTarget, prefix string) []string {
	var ids []string
	for _, r := range target.Requests() {
		if strings.HasPrefix(r.ID(), prefix) {
			ids = append(ids, r.ID())
		}
	}
	return ids
}
