package ingress

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// OpenConnections ends a server without dropping requests: http.Server.Shutdown closes the
// connection of a request that it reads after its call, without an answer. It is safe for
// concurrent use.
type OpenConnections struct {
	listener net.Listener
	next     func(net.Conn, http.ConnState)

	mu     sync.Mutex
	open   int           // guarded by mu
	closed chan struct{} // guarded by mu; closed when no connection is open, nil unless awaited
}

// NewOpenConnections returns the connections that a server accepts from the listener. next is
// called on each change of a connection's state.
func NewOpenConnections(listener net.Listener, next func(net.Conn, http.ConnState)) *OpenConnections {
	return &OpenConnections{listener: listener, next: next}
}

// ConnState is the ConnState hook of the server.
func (o *OpenConnections) ConnState(c net.Conn, state http.ConnState) {
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
	_ = o.listener.Close()
	server.SetKeepAlivesEnabled(false)
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
