package edge_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/platform/headers"
	"corianderhitch/platform/standin"
)

func TestPlainCallIsForwardedUnchanged(t *testing.T) {
	_, h, targets := startPlainFleet(t, 1)
	target := targets[0]
	r := h.request(t.Context(), http.MethodPost, "hold", "r-1", []byte("two berths"))
	r.Header.Set(headers.Account, "forged")
	r.Header.Set(headers.MemoryLease, "forged")
	r.Header.Set(headers.ContinueFrom, "forged")
	r.Header.Set("Trip", "7")
	a := send(r)
	require.NoError(t, a.err)
	require.Equal(t, http.StatusOK, a.status)
	require.Equal(t, "done r-1", a.body)
	require.Equal(t, "signed", a.header.Get(headers.Signature))
	seen := target.Requests()
	require.Len(t, seen, 1)
	require.Equal(t, "/hold/x?y=%2F1", seen[0].RequestURI)
	require.Equal(t, account, seen[0].Header.Get(headers.Account))
	require.Equal(t, "7", seen[0].Header.Get("Trip"))
	require.Empty(t, seen[0].Header.Get(headers.Credentials))
	require.Empty(t, seen[0].Header.Get(headers.MemoryLease))
	require.Empty(t, seen[0].Header.Get(headers.ContinueFrom))
	require.NotEmpty(t, seen[0].Header.Get(headers.Deadline))
}

func TestRejectionsBeforeDispatch(t *testing.T) {
	_, h, targets := startPlainFleet(t, 1)
	target := targets[0]
	for name, c := range map[string]struct {
		change func(*http.Request)
		body   []byte
		want   int
	}{
		"unknown route": {change: func(r *http.Request) { r.URL.Path = "/none/x" }, want: http.StatusNotFound},
		"unknown host":  {change: func(r *http.Request) { r.Host = "other.example" }, want: http.StatusNotFound},
		"unknown key":   {change: func(r *http.Request) { r.Header.Set(headers.Credentials, headers.Bearer+"none") }, want: http.StatusUnauthorized},
		"no key":        {change: func(r *http.Request) { r.Header.Del(headers.Credentials) }, want: http.StatusUnauthorized},
		"too large":     {change: func(*http.Request) {}, body: make([]byte, 70000), want: http.StatusRequestEntityTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			r := h.request(t.Context(), http.MethodPost, "hold", "r-"+name, c.body)
			c.change(r)
			require.Equal(t, c.want, send(r).status)
		})
	}
	require.Empty(t, target.Requests())
}

// The route is not idempotent, so that a failed call must not be retried, not even a GET,
// which HTTP itself allows to repeat.
func TestNonIdempotentCallIsSentOnce(t *testing.T) {
	for name, handler := range map[string]func(http.ResponseWriter, *http.Request){
		"closed without an answer": closeWithoutAnswer,
		"reset":                    func(w http.ResponseWriter, _ *http.Request) { writeAndReset(w, "HTTP/1.1 200") },
		"no HTTP":                  func(w http.ResponseWriter, _ *http.Request) { writeRaw(w, "nonsense\r\n\r\n") },
		"unsigned success":         func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) },
		"body cut short": func(w http.ResponseWriter, _ *http.Request) {
			writeRaw(w, "HTTP/1.1 200 OK\r\n"+headers.Signature+": s\r\nContent-Length: 10\r\n\r\nabc")
		},
		"body without length reset": func(w http.ResponseWriter, _ *http.Request) {
			writeAndReset(w, "HTTP/1.1 200 OK\r\n"+headers.Signature+": s\r\n\r\nabc")
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, h, targets := startPlainFleet(t, 2)
			target, other := targets[0], targets[1]
			require.Equal(t, http.StatusOK, send(h.request(t.Context(), http.MethodGet, "hold", "warm", nil)).status)
			target.SetHandler(handler)
			other.SetHandler(handler)
			before := totalRequests(target, other)
			a := send(h.request(t.Context(), http.MethodGet, "hold", "r-1", nil))
			require.NoError(t, a.err)
			require.Equal(t, http.StatusBadGateway, a.status)
			require.Equal(t, 1, totalRequests(target, other)-before)
		})
	}
}

func TestTargetRejectionIsReportedAsNotRun(t *testing.T) {
	_, h, targets := startPlainFleet(t, 1)
	target := targets[0]
	target.SetHandler(standin.Reject)
	a := send(h.request(t.Context(), http.MethodPost, "hold", "r-1", nil))
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	require.NotEmpty(t, a.header.Get("Retry-After"))
	require.Len(t, target.Requests(), 1)
}

func TestIdempotentCallIsRetried(t *testing.T) {
	for name, handler := range map[string]func(http.ResponseWriter, *http.Request){
		"failed": standin.Fail, "closed": closeWithoutAnswer, "shed": standin.Reject,
		"hangs": func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
	} {
		t.Run(name, func(t *testing.T) {
			_, h, targets := startPlainFleet(t, 2)
			targets[0].SetHandler(handler)
			for i := range 6 {
				a := send(h.request(t.Context(), http.MethodGet, "check", fmt.Sprintf("r-%d", i), nil))
				require.NoError(t, a.err)
				require.Equal(t, http.StatusOK, a.status)
			}
		})
	}
}

func TestTargetErrorIsForwarded(t *testing.T) {
	_, h, targets := startPlainFleet(t, 1)
	target := targets[0]
	target.SetHandler(standin.Fail)
	a := send(h.request(t.Context(), http.MethodPost, "hold", "r-1", nil))
	require.Equal(t, http.StatusInternalServerError, a.status)
	require.Equal(t, "signed", a.header.Get(headers.Signature))
}

// A target sends a second response on a keep-alive connection, before the next request or
// just ahead of that request's own response. It must not reach the next caller.
func TestUnsolicitedResponseIsNotGivenToNextRequest(t *testing.T) {
	response := func(id string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: %d\r\n\r\n%s", headers.RequestID, id, headers.Signature, len(id), id)
	}
	for name, answer := range map[string]func(last *string, r *http.Request) string{
		"at once": func(_ *string, r *http.Request) string {
			id := r.Header.Get(headers.RequestID)
			return response(id) + response(id)
		},
		"late": func(last *string, r *http.Request) string {
			unsolicited := ""
			if *last != "" {
				unsolicited = response(*last)
			}
			*last = r.Header.Get(headers.RequestID)
			return unsolicited + response(*last)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.configure()
			last := ""
			f.startRawTarget("d-1", func(n int, r *http.Request) string {
				if n == 0 {
					last = ""
				}
				return answer(&last, r)
			})
			h := f.startHost()
			for i := range 5 {
				id := fmt.Sprintf("r-%d", i)
				a := send(h.request(t.Context(), http.MethodPost, "hold", id, nil))
				require.Equal(t, http.StatusOK, a.status)
				require.Equal(t, id, a.body)
			}
		})
	}
}

func TestRequestReachingAnotherInstanceIsNotRun(t *testing.T) {
	f, h, targets := startPlainFleet(t, 1)
	target := targets[0]
	f.register("d-1", plainService, target.Address(), "draining")
	f.register("d-9", plainService, target.Address(), "ready") // the list gives d-1's address to d-9, but d-1 still answers there
	require.Eventually(t, func() bool {
		return send(h.request(t.Context(), http.MethodPost, "hold", "r-1", nil)).status == http.StatusServiceUnavailable
	}, waitTimeout, checkInterval)
}

func TestGatewayTimeoutAtDeadline(t *testing.T) {
	_, h, targets := startPlainFleet(t, 1)
	target := targets[0]
	target.SetHandler(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	r := h.request(t.Context(), http.MethodPost, "hold", "r-1", nil)
	standin.SetDeadline(r, 300*time.Millisecond)
	sentAt := time.Now()
	a := send(r)
	require.Equal(t, http.StatusGatewayTimeout, a.status)
	require.Less(t, time.Since(sentAt), 800*time.Millisecond)
}
