package ingress

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// slowConn delays what it has read, as a process does that is not scheduled at that moment.
type slowConn struct {
	net.Conn
	read  chan struct{} // receives when bytes were read
	delay time.Duration
}

func (c *slowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.read <- struct{}{}
		time.Sleep(c.delay)
	}
	return n, err
}

// slowListener makes its connections slow.
type slowListener struct {
	net.Listener
	read chan struct{}
}

func (l slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &slowConn{conn, l.read, 30 * time.Millisecond}, err
}

// The request was passed on to its target, and the caller got no answer.
func TestRequestWhoseHeadIsReadWhileIdleConnectionsCloseIsAnsweredOrNeverRead(t *testing.T) {
	for _, after := range []time.Duration{0, time.Millisecond, 29 * time.Millisecond, 30 * time.Millisecond, 31 * time.Millisecond} {
		for range 10 {
			testHeadReadWhileClosing(t, after)
		}
	}
}

func testHeadReadWhileClosing(t *testing.T, after time.Duration) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	slow := slowListener{listener, make(chan struct{}, 100)}
	connections := NewOpenConnections(slow, func(net.Conn, http.ConnState) {})
	var served, canceled atomic.Int32
	idle := make(chan struct{}, 10)
	server := &http.Server{
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			served.Add(1)
			time.Sleep(time.Millisecond)
			if r.Context().Err() != nil {
				canceled.Add(1)
			}
		}),
		ConnState: func(c net.Conn, state http.ConnState) {
			connections.ConnState(c, state)
			if state == http.StateIdle {
				idle <- struct{}{}
			}
		},
	}
	go func() { _ = server.Serve(connections) }()
	defer func() { _ = server.Close() }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	const request = "GET / HTTP/1.1\r\nHost: desk.example\r\n\r\n"
	_, err = conn.Write([]byte(request))
	require.NoError(t, err)
	_, err = http.ReadResponse(reader, nil)
	require.NoError(t, err)
	<-idle
	for len(slow.read) > 0 {
		<-slow.read
	}
	_, err = conn.Write([]byte(request))
	require.NoError(t, err)
	<-slow.read
	time.Sleep(after)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	require.True(t, connections.Drain(ctx, server))
	_, err = http.ReadResponse(reader, nil)
	require.Equal(t, served.Load() == 2, err == nil, "a request that was read must be answered")
	require.Zero(t, canceled.Load())
}

func TestIdleConnectionIsClosedUnlessARequestHasBegun(t *testing.T) {
	var closing atomic.Bool
	own, callers := net.Pipe()
	defer callers.Close()
	c := &callerConn{Conn: own, closingIdle: &closing}
	go func() { _, _ = callers.Write([]byte("GET")) }()
	_, err := c.Read(make([]byte, 3))
	require.NoError(t, err)
	require.False(t, c.CloseIfIdle())
	closing.Store(true)
	require.NoError(t, c.Close())
	go func() { _, _ = callers.Write([]byte(" / ")) }()
	_, err = c.Read(make([]byte, 3))
	require.NoError(t, err, "the connection must not be closed")
	c.observe(http.StateActive)
	require.NoError(t, c.Close(), "the server may take a connection for idle that has just become active")
	go func() { _, _ = callers.Write([]byte("body")) }()
	_, err = c.Read(make([]byte, 4))
	require.NoError(t, err)
	c.observe(http.StateIdle)
	require.True(t, c.CloseIfIdle())
	_, err = c.Read(make([]byte, 3))
	require.Error(t, err)
}

func TestConnectionWhoseServiceEndsWhileIdleOnesCloseIsClosed(t *testing.T) {
	var closing atomic.Bool
	own, callers := net.Pipe()
	defer callers.Close()
	c := &callerConn{Conn: own, closingIdle: &closing}
	go func() { _, _ = callers.Write([]byte("GET")) }()
	_, err := c.Read(make([]byte, 3))
	require.NoError(t, err)
	c.observe(http.StateActive)
	closing.Store(true)
	require.NoError(t, c.Close())
	c.observe(http.StateClosed)
	_, err = callers.Read(make([]byte, 1))
	require.Error(t, err)
}
