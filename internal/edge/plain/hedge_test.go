package plain

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/draining"
	"corianderhitch/internal/edge/ejection"
	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/policy"
	"corianderhitch/internal/edge/retrybudget"
	"corianderhitch/internal/edge/stall"
	"corianderhitch/internal/edge/targetconn"
	"corianderhitch/internal/edge/targetnotice"
	"corianderhitch/internal/edge/targets"
)

type openGate struct{}

func (openGate) Check(string, *targetconn.Request) targetnotice.Verdict { return targetnotice.Allowed }
func (openGate) Admit(string, *targetconn.Request) (targetnotice.Verdict, func(bool)) {
	return targetnotice.Allowed, func(bool) {}
}
func (openGate) Observe(string, string, *targetconn.Request, int, http.Header, bool) bool {
	return false
}

type plainWire struct{ edge.Wire }

func (plainWire) Encode(*edge.Call, edge.Dispatch, time.Duration) http.Header { return http.Header{} }

// startSilentTargets returns targets that answer nothing, and when each connection is opened.
func startSilentTargets(t *testing.T, n int) (*targets.Registry, <-chan time.Time) {
	registry, opened := targets.New(targetnotice.New(), func(targets.Target, targets.LeavingNotice) {}), make(chan time.Time, 10)
	for i := range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		go func() {
			for {
				connection, err := listener.Accept()
				if err != nil {
					return
				}
				opened <- time.Now()
				t.Cleanup(func() { _ = connection.Close() })
			}
		}()
		id := string(rune('a' + i))
		registry.Apply([]targets.Change{{Name: id, Target: &targets.Target{ID: id, Service: "s", Address: listener.Addr().String()}}}, 1)
	}
	return registry, opened
}

func TestCallIsHedgedAtOnceAfterAStall(t *testing.T) {
	registry, opened := startSilentTargets(t, 2)
	now := bootclock.Now()
	s := &Server{
		Sender: &edge.Sender{Wire: plainWire{}, Pool: targetconn.New(func(http.Header) string { return "" }, openGate{}, func(string) float64 { return 0 })}, Targets: registry,
		Inflight: inflight.New("host"), Health: ejection.New(), Drain: draining.New(time.Minute), Stalls: &stall.Detector{},
		RetryBudget: generousBudget,
	}
	s.Stalls.Beat(now.Add(-time.Second))
	s.Stalls.Beat(now)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	const objective = 200 * time.Millisecond
	r := &run{server: s, ctx: ctx, outcomes: make(chan outcome, 4), tried: make(map[string]bool), call: &edge.AuthorizedCall{
		Call: &edge.Call{ID: "r", Method: http.MethodGet, URI: "/"}, Service: &policy.Service{Name: "s"}, Log: slog.New(slog.DiscardHandler),
		Route: &policy.Route{Name: "route", Kind: policy.Idempotent, MaxAttempts: 2, Objective: objective}, Received: now, Arrived: now,
		Deadline: now.Add(time.Minute), StillAuthorized: func(context.Context) bool { return true },
	}}
	done, started := make(chan struct{}), time.Now()
	go func() {
		defer close(done)
		r.serve()
	}()
	<-opened
	second := <-opened
	require.GreaterOrEqual(t, second.Sub(started), time.Duration(hedgeDelayFactor*float64(objective))+minHedgeDelay)
	cancel()
	<-done
}

// generousBudget grants a few retries.
func generousBudget(string) *retrybudget.Budget {
	b := retrybudget.New(1, 0, time.Minute, bootclock.Now(), func() int { return 1 })
	for range 100 {
		b.RecordRequest()
	}
	return b
}

// answeringWire takes every response for the target's answer.
type answeringWire struct{ plainWire }

func (answeringWire) NotExecuted(int, http.Header) bool { return false }
func (answeringWire) Signed(http.Header) bool           { return true }

// slowHandler is a log handler that holds up the lines about failed sends.
type slowHandler struct{ slog.Handler }

func (slowHandler) Enabled(context.Context, slog.Level) bool { return true }
func (slowHandler) Handle(_ context.Context, r slog.Record) error {
	if r.Message == "plain: send without a good answer" {
		time.Sleep(500 * time.Millisecond)
	}
	return nil
}
func (h slowHandler) WithAttrs([]slog.Attr) slog.Handler { return h }

// The race detector sees the failure: the hedged send still logs when the first one answers.
func TestLoggerOfCallChangesWhileASendLogs(t *testing.T) {
	registry := targets.New(targetnotice.New(), func(targets.Target, targets.LeavingNotice) {})
	connections := make(chan net.Conn, 2)
	for _, id := range []string{"a", "b"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer func() { _ = listener.Close() }()
		go func() {
			if c, err := listener.Accept(); err == nil {
				connections <- c
			}
		}()
		registry.Apply([]targets.Change{{Name: id, Target: &targets.Target{ID: id, Service: "s", Address: listener.Addr().String()}}}, 1)
	}
	s := &Server{
		Sender: &edge.Sender{Wire: answeringWire{}, Pool: targetconn.New(func(http.Header) string { return "" }, openGate{}, func(string) float64 { return 0 })}, Targets: registry,
		Inflight: inflight.New("host"), Health: ejection.New(), Drain: draining.New(time.Minute), Stalls: &stall.Detector{}, RetryBudget: generousBudget,
	}
	now := bootclock.Now()
	call := &edge.AuthorizedCall{
		Call: &edge.Call{ID: "r", Method: http.MethodGet, URI: "/"}, Service: &policy.Service{Name: "s"}, Log: slog.New(slowHandler{slog.DiscardHandler}),
		Route: &policy.Route{Name: "route", Kind: policy.Idempotent, MaxAttempts: 2, Objective: 100 * time.Millisecond}, Received: now, Arrived: now,
		Deadline: now.Add(time.Minute), StillAuthorized: func(context.Context) bool { return true },
	}
	go func() {
		first := <-connections
		hedged := <-connections
		_ = hedged.Close()
		time.Sleep(200 * time.Millisecond)
		_, _ = io.WriteString(first, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}()
	require.Equal(t, "answered", s.Serve(t.Context(), httptest.NewRecorder(), call))
}
