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

func TestPlainCallPassesUnchanged(t *testing.T) {
	_, h, desks := deskFleet(t, 1)
	d := desks[0]
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
	seen := d.Requests()
	require.Len(t, seen, 1)
	require.Equal(t, "/hold/x?y=%2F1", seen[0].RequestURI)
	require.Equal(t, account, seen[0].Header.Get(headers.Account))
	require.Equal(t, "7", seen[0].Header.Get("Trip"))
	require.Empty(t, seen[0].Header.Get(headers.Credentials))
	require.Empty(t, seen[0].Header.Get(headers.MemoryLease))
	require.Empty(t, seen[0].Header.Get(headers.ContinueFrom))
	require.NotEmpty(t, seen[0].Header.Get(headers.Deadline))
}

func TestRefusalsBeforeATarget(t *testing.T) {
	_, h, desks := deskFleet(t, 1)
	d := desks[0]
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
	require.Empty(t, d.Requests())
}

// A GET may be repeated by HTTP's own rules, not by this route's.
func TestCallThatMayRunOnceIsSentOnce(t *testing.T) {
	for name, behave := range map[string]func(http.ResponseWriter, *http.Request){
		"closed without an answer": closing,
		"reset":                    func(w http.ResponseWriter, _ *http.Request) { reset(w, "HTTP/1.1 200") },
		"no HTTP":                  func(w http.ResponseWriter, _ *http.Request) { raw(w, "nonsense\r\n\r\n") },
		"unsigned success":         func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) },
		"body cut short": func(w http.ResponseWriter, _ *http.Request) {
			raw(w, "HTTP/1.1 200 OK\r\n"+headers.Signature+": s\r\nContent-Length: 10\r\n\r\nabc")
		},
		"body without length reset": func(w http.ResponseWriter, _ *http.Request) {
			reset(w, "HTTP/1.1 200 OK\r\n"+headers.Signature+": s\r\n\r\nabc")
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, h, desks := deskFleet(t, 2)
			d, other := desks[0], desks[1]
			require.Equal(t, http.StatusOK, send(h.request(t.Context(), http.MethodGet, "hold", "warm", nil)).status)
			d.SetHandler(behave)
			other.SetHandler(behave)
			before := total(d, other)
			a := send(h.request(t.Context(), http.MethodGet, "hold", "r-1", nil))
			require.NoError(t, a.err)
			require.Equal(t, http.StatusBadGateway, a.status)
			require.Equal(t, 1, total(d, other)-before)
		})
	}
}

func TestRejectedCallThatMayRunOnceIsRefusedAsNotRun(t *testing.T) {
	_, h, desks := deskFleet(t, 1)
	d := desks[0]
	d.SetHandler(standin.Reject)
	a := send(h.request(t.Context(), http.MethodPost, "hold", "r-1", nil))
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	require.NotEmpty(t, a.header.Get("Retry-After"))
	require.Len(t, d.Requests(), 1)
}

func TestIdempotentCallIsSentAgain(t *testing.T) {
	for name, behave := range map[string]func(http.ResponseWriter, *http.Request){
		"failed": standin.Fail, "closed": closing, "shed": standin.Reject,
		"hangs": func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
	} {
		t.Run(name, func(t *testing.T) {
			_, h, desks := deskFleet(t, 2)
			desks[0].SetHandler(behave)
			for i := range 6 {
				a := send(h.request(t.Context(), http.MethodGet, "check", fmt.Sprintf("r-%d", i), nil))
				require.NoError(t, a.err)
				require.Equal(t, http.StatusOK, a.status)
			}
		})
	}
}

func TestOwnFailureOfATargetIsPassedOn(t *testing.T) {
	_, h, desks := deskFleet(t, 1)
	d := desks[0]
	d.SetHandler(standin.Fail)
	a := send(h.request(t.Context(), http.MethodPost, "hold", "r-1", nil))
	require.Equal(t, http.StatusInternalServerError, a.status)
	require.Equal(t, "signed", a.header.Get(headers.Signature))
}

// A second answer on a kept connection belongs to no request, whether it is
// there before the next request or comes where its answer is due.
func TestStrayAnswerIsNotGivenToTheNextRequest(t *testing.T) {
	text := func(id string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: %d\r\n\r\n%s", headers.RequestID, id, headers.Signature, len(id), id)
	}
	for name, answer := range map[string]func(last *string, r *http.Request) string{
		"at once": func(_ *string, r *http.Request) string {
			id := r.Header.Get(headers.RequestID)
			return text(id) + text(id)
		},
		"late": func(last *string, r *http.Request) string {
			stray := ""
			if *last != "" {
				stray = text(*last)
			}
			*last = r.Header.Get(headers.RequestID)
			return stray + text(*last)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.configure()
			last := ""
			f.rawDesk("d-1", func(n int, r *http.Request) string {
				if n == 0 {
					last = ""
				}
				return answer(&last, r)
			})
			h := f.start()
			for i := range 5 {
				id := fmt.Sprintf("r-%d", i)
				a := send(h.request(t.Context(), http.MethodPost, "hold", id, nil))
				require.Equal(t, http.StatusOK, a.status)
				require.Equal(t, id, a.body)
			}
		})
	}
}

func TestRequestOverAnotherInstanceIsNotRun(t *testing.T) {
	f, h, desks := deskFleet(t, 1)
	d := desks[0]
	f.register("d-1", desk, d.Address(), "draining")
	f.register("d-9", desk, d.Address(), "ready") // the address was taken over, and d-1's process answers
	require.Eventually(t, func() bool {
		return send(h.request(t.Context(), http.MethodPost, "hold", "r-1", nil)).status == http.StatusServiceUnavailable
	}, waitFor, checkEvery)
}

func TestFinalAnswerAtTheRoutesTimeout(t *testing.T) {
	_, h, desks := deskFleet(t, 1)
	d := desks[0]
	d.SetHandler(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	r := h.request(t.Context(), http.MethodPost, "hold", "r-1", nil)
	standin.SetDeadline(r, 300*time.Millisecond)
	began := time.Now()
	a := send(r)
	require.Equal(t, http.StatusGatewayTimeout, a.status)
	require.Less(t, time.Since(began), 800*time.Millisecond)
}
