package edge_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/platform/headers"
)

// A host that could not read the configuration, though the store answered it otherwise, ran requests on
// public routes by an old one for as long as that lasted.
func TestHostWithAnOldConfigurationRunsNoRequestsWhileTheStoreAnswersIt(t *testing.T) {
	f := newFleet(t)
	f.applyWithin, f.revokeWithin, f.publicRoute = applyBound, 5*time.Second, true
	f.configure()
	target := f.startPlainTarget("d-1")
	h := f.startHost()
	h.store.operatorSilent.Store(true)
	f.publicRoute = false
	f.configure()
	for i := range 30 { // entries of targets change: the store answers
		f.register(fmt.Sprint("d-new-", i), "other", "127.0.0.1:9", "ready")
		time.Sleep(applyBound / 20)
	}
	a := send(h.publicRequest(t, "r-1"))
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	require.NotEmpty(t, a.header.Get(headers.RetryAfter))
	require.Empty(t, target.Requests())

	h.store.operatorSilent.Store(false)
	require.Eventually(t, func() bool { return send(h.publicRequest(t, "r-2")).status == http.StatusNotFound }, catchUpBound, 50*time.Millisecond)
}

// Without any answer of the store the configuration may be the newest: callers of public routes are served.
func TestHostWithoutAStoreServesPublicRoutes(t *testing.T) {
	f := newFleet(t)
	f.applyWithin, f.revokeWithin, f.publicRoute = applyBound, 5*time.Second, true
	f.configure()
	f.startPlainTarget("d-1")
	h := f.startHost()
	h.store.setPartitioned(true)
	time.Sleep(2 * applyBound)
	require.Equal(t, http.StatusOK, send(h.publicRequest(t, "r-1")).status)
}

func (h *host) publicRequest(t *testing.T, id string) *http.Request {
	r := h.request(t.Context(), http.MethodGet, "open", id, nil)
	r.Header.Del(headers.Credentials)
	return r
}
