package plain

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/draining"
	"corianderhitch/internal/edge/ejection"
	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/memquota"
	"corianderhitch/internal/edge/policy"
	"corianderhitch/internal/edge/stall"
	"corianderhitch/internal/edge/targetconn"
	"corianderhitch/internal/edge/targetnotice"
	"corianderhitch/internal/edge/targets"
)

// signedWire takes all responses for complete answers of their targets.
type signedWire struct{ plainWire }

func (signedWire) NotExecuted(int, http.Header) bool               { return false }
func (signedWire) Signed(http.Header) bool                         { return true }
func (signedWire) SetRetryAfter(http.Header, time.Duration)        {}
func (signedWire) RequestID(http.Header) string                    { return "" }
func (signedWire) TargetNotice(int, http.Header) edge.TargetNotice { return edge.TargetNotice{} }

// startLargeBodies returns a server with one target, which answers with as many bytes as the path
// names.
func startLargeBodies(t *testing.T, quota *memquota.Quota) *Server {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		size, err := strconv.Atoi(r.URL.Path[1:])
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		_, _ = w.Write(bytes.Repeat([]byte{'x'}, size))
	}))
	t.Cleanup(target.Close)
	registry := targets.New(targetnotice.New(), func(targets.Target, targets.LeavingNotice) {})
	registry.Apply([]targets.Change{{Name: "t", Target: &targets.Target{ID: "t", Service: "s", Address: target.Listener.Addr().String()}}}, 1)
	return &Server{
		Sender:  &edge.Sender{Wire: signedWire{}, Pool: targetconn.New(signedWire{}.RequestID, openGate{}, func(string) float64 { return 0 })},
		Targets: registry, Inflight: inflight.New("host"), Health: ejection.New(), Drain: draining.New(time.Minute), Stalls: &stall.Detector{},
		RetryBudget: generousBudget, LargeBodies: quota,
	}
}

// call sends a call for size bytes and returns the answer.
func (s *Server) call(t *testing.T, size int, timeout time.Duration) *httptest.ResponseRecorder {
	now := bootclock.Now()
	w := httptest.NewRecorder()
	s.Serve(t.Context(), w, &edge.AuthorizedCall{
		Call: &edge.Call{ID: "r", Method: http.MethodGet, URI: "/" + strconv.Itoa(size), Host: "h"}, Service: &policy.Service{Name: "s"}, Log: slog.New(slog.DiscardHandler),
		Route: &policy.Route{Name: "route", Kind: policy.NonIdempotent, MaxAttempts: 1}, Received: now, Arrived: now,
		Deadline: now.Add(timeout), StillAuthorized: func(context.Context) bool { return true },
	})
	return w
}

// Each of many large answers was held whole, which is more than the memory of a small host.
func TestLargeAnswersWaitForMemory(t *testing.T) {
	quota := memquota.New(maxBodyBytes)
	s := startLargeBodies(t, quota)
	giveBack, err := quota.Take(t.Context(), maxBodyBytes)
	require.NoError(t, err)
	large := make(chan *httptest.ResponseRecorder, 1)
	go func() { large <- s.call(t, maxBodyBytes, time.Minute) }()
	small := s.call(t, smallBodyBytes, time.Minute)
	require.Equal(t, http.StatusOK, small.Code, "small answers need no share")
	require.Equal(t, smallBodyBytes, small.Body.Len())
	select {
	case <-large:
		t.Fatal("a large answer was read without memory for it")
	case <-time.After(100 * time.Millisecond):
	}
	giveBack()
	answer := <-large
	require.Equal(t, http.StatusOK, answer.Code)
	require.Equal(t, maxBodyBytes, answer.Body.Len())
	require.Eventually(t, func() bool { return quota.Taken() == 0 }, time.Second, time.Millisecond)
}

func TestMemoryOfLargeAnswersIsGivenBack(t *testing.T) {
	quota := memquota.New(maxBodyBytes)
	s := startLargeBodies(t, quota)
	for _, c := range []struct{ size, status int }{
		{smallBodyBytes + 1, http.StatusOK}, {maxBodyBytes, http.StatusOK}, {maxBodyBytes + 1, http.StatusBadGateway}, {2 * maxBodyBytes, http.StatusBadGateway},
	} {
		require.Equal(t, c.status, s.call(t, c.size, time.Minute).Code)
		require.Eventually(t, func() bool { return quota.Taken() == 0 }, time.Second, time.Millisecond, "%d bytes", c.size)
	}
}

func TestTargetIsNotBlamedForMemoryOfTheHost(t *testing.T) {
	quota := memquota.New(maxBodyBytes)
	s := startLargeBodies(t, quota)
	giveBack, err := quota.Take(t.Context(), maxBodyBytes)
	require.NoError(t, err)
	defer giveBack()
	require.Equal(t, http.StatusGatewayTimeout, s.call(t, maxBodyBytes, 100*time.Millisecond).Code)
	require.InDelta(t, 1.0, s.Health.FailureCost("t"), 0)
}
