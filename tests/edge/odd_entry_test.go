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

// oddEntries are entries of another writer, with the address of a target that takes requests. They name
// no target to use.
func oddEntries(address string) map[string]string {
	entry := func(replacements ...string) string {
		valid := string(standin.TargetEntry(plainService, address, "ready", 6))
		return strings.NewReplacer(replacements...).Replace(valid)
	}
	nested := strings.Repeat("[", 5000) + strings.Repeat("]", 5000)
	host, _, _ := strings.Cut(address, ":")
	return map[string]string{
		"nested deeply":               entry(`"sequence":1`, `"sequence":`+nested),
		"nested beyond any depth":     strings.Repeat(`{"a":`, 200_000),
		"slots too large":             entry(`"slots":6`, `"slots":9000000000000000000`),
		"slots beyond their type":     entry(`"slots":6`, `"slots":1e400`),
		"negative slots":              entry(`"slots":6`, `"slots":-4`),
		"no slots":                    entry(`"slots":6,`, ``),
		"warm-up too long":            entry(`"coldRemainingMs":0`, `"coldRemainingMs":1e300`),
		"negative warm-up":            entry(`"coldRemainingMs":0`, `"coldRemainingMs":-1`),
		"sequence beyond its type":    entry(`"sequence":1`, `"sequence":1e400`),
		"sequence of another type":    entry(`"sequence":1`, `"sequence":"one"`),
		"start before 1970":           entry(`"born":1700000000000`, `"born":-9`),
		"start beyond whole numbers":  entry(`"born":1700000000000`, `"born":9223372036854775807`),
		"port out of range":           entry(address, host+":70000"),
		"no port":                     entry(address, host+":0"),
		"no address":                  entry(address, "0.0.0.0:80"),
		"state of no meaning":         entry(`"ready"`, `"resting"`),
		"null":                        "null",
		"no bytes":                    "",
		"a long text for a service":   entry(`"`+plainService+`"`, `"`+strings.Repeat("s", 70_000)+`"`),
		"failure domain not a string": entry(`"zone":"a"`, `"zone":7`),
	}
}

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
	for name, value := range oddEntries(odd.Address()) {
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
