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

func serve(s *Server, method, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w
}

func TestMalformedCallsAreRefusedWithoutEffect(t *testing.T) {
	state := memstore.New(memstore.Options{})
	s := New(state)
	for _, c := range [][2]string{
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
		w := serve(s, c[0], c[1], "")
		require.Equal(t, http.StatusBadRequest, w.Code, c)
		require.Contains(t, w.Body.String(), `"code":"bad-request"`, c)
	}
	require.Zero(t, state.Counts().Writes)
}

func TestPatchKeepsOtherFaults(t *testing.T) {
	state := memstore.New(memstore.Options{})
	state.SetFault(memstore.Fault{HostListLag: time.Second})
	s := New(state)
	require.Equal(t, http.StatusOK, serve(s, http.MethodPatch, "/admin/fault", `{"outage":true}`).Code)
	require.Equal(t, memstore.Fault{Outage: true, HostListLag: time.Second}, state.Fault())
	require.Equal(t, http.StatusOK, serve(s, http.MethodPut, "/admin/fault", `{}`).Code)
	require.Equal(t, memstore.Fault{}, state.Fault())
}
