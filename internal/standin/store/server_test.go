package store

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/platform/memstore"
)

func request(s *Server, method, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w
}

func TestMalformedRequestsAreRejectedWithoutEffect(t *testing.T) {
	memStore := memstore.New(memstore.Options{})
	s := New(memStore)
	for _, call := range [][2]string{
		{http.MethodPut, "/v1/kv?key=k&if=x"},
		{http.MethodPut, "/v1/kv?key=k&if=0&lease=x"},
		{http.MethodDelete, "/v1/kv?key=k&if=1.5"},
		{http.MethodGet, "/v1/list?limit=x"},
		{http.MethodGet, "/v1/watch?after=x"},
		{http.MethodPost, "/v1/leases?ttl=soon"},
		{http.MethodPost, "/v1/leases/x"},
		{http.MethodDelete, "/v1/leases/x"},
		{http.MethodPut, "/admin/targets"},
	} {
		w := request(s, call[0], call[1], "")
		require.Equal(t, http.StatusBadRequest, w.Code, call)
		require.Contains(t, w.Body.String(), `"code":"bad-request"`, call)
	}
	require.Zero(t, memStore.Counts().Writes)
}

func TestPatchKeepsUnnamedFaults(t *testing.T) {
	memStore := memstore.New(memstore.Options{})
	memStore.SetFault(memstore.Fault{HostListLag: time.Second})
	s := New(memStore)
	require.Equal(t, http.StatusOK, request(s, http.MethodPatch, "/admin/fault", `{"outage":true}`).Code)
	require.Equal(t, memstore.Fault{Outage: true, HostListLag: time.Second}, memStore.Fault())
	require.Equal(t, http.StatusOK, request(s, http.MethodPut, "/admin/fault", `{}`).Code)
	require.Equal(t, memstore.Fault{}, memStore.Fault())
}
