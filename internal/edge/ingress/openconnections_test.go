package ingress_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/ingress"
)

func TestRequestThatIsReadAfterTheServerBeganToCloseIsDropped(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	connections := ingress.NewOpenConnections(listener, func(net.Conn, http.ConnState) {})
	accepted := make(chan struct{}, 2)
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }),
		ConnState: func(c net.Conn, state http.ConnState) {
			connections.ConnState(c, state)
			if state == http.StateNew {
				accepted <- struct{}{}
			}
		},
	}
	go func() { _ = server.Serve(connections) }()
	t.Cleanup(func() { _ = server.Close() })
	connection, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = connection.Close() }()
	<-accepted
	drained := make(chan bool, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		drained <- connections.Drain(ctx, server)
	}()
	require.Eventually(t, func() bool {
		other, err := net.Dial("tcp", listener.Addr().String())
		if err == nil {
			_ = other.Close()
		}
		return err != nil
	}, 5*time.Second, 5*time.Millisecond)
	_, err = connection.Write([]byte(strings.ReplaceAll("GET / HTTP/1.1\nHost: desk.example\n\n", "\n", "\r\n")))
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	require.NoError(t, err, "the request was read and its connection closed without an answer")
	require.Equal(t, http.StatusNoContent, response.StatusCode)
	require.True(t, response.Close)
	require.True(t, <-drained)
}

// lateListener is a listener that accepts its only connection just before it is closed, and whose
// server is not scheduled until some time later.
type lateListener struct {
	net.Listener
	conn   chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *lateListener) Accept() (net.Conn, error) {
	<-l.closed
	select {
	case conn := <-l.conn:
		time.Sleep(50 * time.Millisecond)
		return conn, nil
	default:
		return nil, net.ErrClosed
	}
}

func (l *lateListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// The process ended with the request of such a connection in progress.
func TestConnectionAcceptedAsTheServerBeganToCloseIsAwaited(t *testing.T) {
	own, callers := net.Pipe()
	listener := &lateListener{conn: make(chan net.Conn, 1), closed: make(chan struct{})}
	listener.conn <- own
	connections := ingress.NewOpenConnections(listener, func(net.Conn, http.ConnState) {})
	var answered atomic.Bool
	server := &http.Server{ConnState: connections.ConnState, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { answered.Store(true) })}
	go func() { _ = server.Serve(connections) }()
	t.Cleanup(func() { _ = server.Close() })
	go func() {
		_, _ = callers.Write([]byte("GET / HTTP/1.1\r\nHost: desk.example\r\n\r\n"))
		_, _ = http.ReadResponse(bufio.NewReader(callers), nil)
		_ = callers.Close()
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	require.True(t, connections.Drain(ctx, server))
	require.True(t, answered.Load(), "the server was drained before the request was answered")
}
