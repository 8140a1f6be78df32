package rpcconn

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type echo struct{ release chan struct{} }

func (e *echo) Say(args string, reply *string) error { *reply = args; return nil }
func (e *echo) Fail(string, *string) error           { return errors.New("no") }
func (e *echo) Hang(string, *string) error           { <-e.release; return nil }

func start(t *testing.T) (*Server, *echo) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	services := rpc.NewServer()
	e := &echo{release: make(chan struct{})}
	require.NoError(t, services.RegisterName("Echo", e))
	return Serve(listener, services), e
}

func TestCallOutcomes(t *testing.T) {
	server, e := start(t)
	defer server.Stop()
	defer close(e.release)
	pool := NewPool(TCP)
	defer pool.Close()

	var reply string
	require.NoError(t, pool.Call(t.Context(), server.Address(), "Echo.Say", "hi", &reply))
	require.Equal(t, "hi", reply)

	var remote *RemoteError
	require.ErrorAs(t, pool.Call(t.Context(), server.Address(), "Echo.Fail", "", &reply), &remote)

	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	var dropped string
	require.ErrorIs(t, pool.Call(ctx, server.Address(), "Echo.Hang", "", &dropped), ErrBroken)
}

func TestPoolReconnectsAfterServerRestart(t *testing.T) {
	server, _ := start(t)
	pool := NewPool(TCP)
	defer pool.Close()
	var reply string
	require.NoError(t, pool.Call(t.Context(), server.Address(), "Echo.Say", "a", &reply))
	server.Stop()
	require.Error(t, pool.Call(t.Context(), server.Address(), "Echo.Say", "b", &reply))
	require.ErrorIs(t, pool.Call(t.Context(), server.Address(), "Echo.Say", "b", &reply), ErrNotSent)

	listener, err := net.Listen("tcp", server.Address())
	require.NoError(t, err)
	services := rpc.NewServer()
	require.NoError(t, services.RegisterName("Echo", &echo{}))
	again := Serve(listener, services)
	defer again.Stop()
	require.NoError(t, pool.Call(t.Context(), again.Address(), "Echo.Say", "c", &reply))
	require.Equal(t, "c", reply)
}

func TestTrafficCountsBothEnds(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	services := rpc.NewServer()
	require.NoError(t, services.RegisterName("Echo", &echo{}))
	var callee, caller Traffic
	server := Serve(callee.Listener(listener), services)
	pool := NewPool(caller.Dialer(TCP))

	var reply string
	require.NoError(t, pool.Call(t.Context(), server.Address(), "Echo.Say", "hi", &reply))
	pool.Close()
	server.Stop()
	require.Positive(t, caller.Out())
	require.Equal(t, caller.Out(), callee.In())
	require.Equal(t, caller.In(), callee.Out())
}
