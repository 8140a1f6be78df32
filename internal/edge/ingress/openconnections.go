package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// OpenConnections ends a server without dropping requests: http.Server.Shutdown closes the
// connection of a request that it reads after its call, without an answer. It is safe for
// concurrent use.
//
// It is the listener of the server, so that it knows when the server has taken note of the last
// connection: until then, an accepted one is not counted as open yet.
type OpenConnections struct {
	net.Listener
	next func(net.Conn, http.ConnState)
	// closingIdle is set while the server closes its idle connections.
	closingIdle atomic.Bool
	ended       chan struct{} // closed when no more connections are accepted
	endedOnce   sync.Once

	mu     sync.Mutex
	open   int           // guarded by mu
	closed chan struct{} // guarded by mu; closed when no connection is open, nil unless awaited
}

// NewOpenConnections returns the connections that a server accepts from the listener. next is
// called on each change of a connection's state.
func NewOpenConnections(listener net.Listener, next func(net.Conn, http.ConnState)) *OpenConnections {
	return &OpenConnections{Listener: listener, next: next, ended: make(chan struct{})}
}

// Accept implements net.Listener.
func (o *OpenConnections) Accept() (net.Conn, error) {
	conn, err := o.Listener.Accept()
	if errors.Is(err, net.ErrClosed) {
		o.endedOnce.Do(func() { close(o.ended) })
	}
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn, closingIdle: &o.closingIdle}, nil
}

// ConnState is the ConnState hook of the server.
func (o *OpenConnections) ConnState(c net.Conn, state http.ConnState) {
	if conn, ok := c.(*callerConn); ok {
		conn.observe(state)
	}
	o.next(c, state)
	o.mu.Lock()
	defer o.mu.Unlock()
	switch state {
	case http.StateNew:
		o.open++
	case http.StateClosed, http.StateHijacked:
		o.open--
	}
	if o.open == 0 && o.closed != nil {
		close(o.closed)
		o.closed = nil
	}
}

// Drain accepts no further connections, closes idle ones, and the others after their next
// response. It reports whether all were closed before ctx ended.
func (o *OpenConnections) Drain(ctx context.Context, server *http.Server) bool {
	_ = o.Listener.Close()
	o.closingIdle.Store(true)
	server.SetKeepAlivesEnabled(false) // also closes idle connections
	o.closingIdle.Store(false)
	select {
	case <-o.ended:
	case <-ctx.Done():
		return false
	}
	o.mu.Lock()
	if o.open == 0 {
		o.mu.Unlock()
		return true
	}
	closed := make(chan struct{})
	o.closed = closed
	o.mu.Unlock()
	select {
	case <-closed:
		return true
	case <-ctx.Done():
		return false
	}
}
