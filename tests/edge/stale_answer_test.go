package edge_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"corianderhitch/platform/headers"
)

// staleTarget answers the first request of a connection with a rejection. It writes the rejection once
// more, with the ID that the test wants, before its true answer to each later one.
func (f *fleet) startStaleTarget(staleID func(first string) string, ran *[]string) {
	first := ""
	f.startRawTarget("stale", func(n int, r *http.Request) string {
		id := r.Header.Get(headers.RequestID)
		rejection := "HTTP/1.1 503 Service Unavailable\r\n" + headers.NotExecuted + ": 1\r\n" + headers.RetryAfter + ": 0\r\nContent-Length: 0\r\n"
		withID := func(id string) string {
			if id == "" {
				return rejection + "\r\n"
			}
			return rejection + headers.RequestID + ": " + id + "\r\n\r\n"
		}
		if n == 0 {
			first = id
			return withID(id)
		}
		*ran = append(*ran, id)
		return withID(staleID(first)) + fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: signed\r\nContent-Length: 4\r\n\r\ndone", headers.RequestID, id, headers.Signature)
	})
}

// REFUSED: a target wrote an earlier rejection once more on a kept connection, and callers were told
// that requests had not run which it ran.
func TestEarlierRejectionIsNoAnswerToALaterRequest(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		id func(first string) string
	}{
		"with the earlier ID": {func(first string) string { return first }},
		"without an ID":       {func(string) string { return "" }},
	} {
		for _, route := range []string{"hold", "check"} {
			t.Run(name+", "+route, func(t *testing.T) {
				t.Parallel()
				f := newFleet(t)
				f.configure()
				var ran []string
				f.startStaleTarget(c.id, &ran)
				h := f.startHost()
				require.Equal(t, http.StatusServiceUnavailable, send(h.request(t.Context(), http.MethodPost, route, "r-1", nil)).status)
				a := send(h.request(t.Context(), http.MethodPost, route, "r-2", nil))
				require.NoError(t, a.err)
				require.Equal(t, []string{"r-2"}, ran, "the second request came on the kept connection")
				require.Equal(t, http.StatusOK, a.status, a.body)
			})
		}
	}
}
