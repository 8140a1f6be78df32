package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"corianderhitch/internal/edge/bootclock"
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

	// Bound is how many connections may be open, 0 for any number. Beyond it, the one that has been idle or
	// has had an incomplete request the longest is closed for a new one. The fields are set before Accept.
	Bound int
	// Guard bounds the heads of requests; nil for no bound.
	Guard *HeadGuard
	// Closed is called for each connection that is closed for the bound, with the reason.
	Closed func(reason string)

	mu     sync.Mutex
	conns  map[*callerConn]struct{} // guarded by mu; accepted and not closed yet
	open   int                      // guarded by mu
	closed chan struct{}            // guarded by mu; closed when no connection is open, nil unless awaited
}

// NewOpenConnections returns the connections that a server accepts from the listener. next is
// called on each change of a connection's state.
func NewOpenConnections(listener net.Listener, next func(net.Conn, http.ConnState)) *OpenConnections {
	return &OpenConnections{Listener: listener, next: next, ended: make(chan struct{})}
}

// Accept implements net.Listener.
func (o *OpenConnections) Accept() (net.Conn, error) {
	for {
		conn, err := o.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			o.endedOnce.Do(func() { close(o.ended) })
		}
		if err != nil {
			return nil, err
		}
		c := &callerConn{Conn: conn, closingIdle: &o.closingIdle, guard: o.Guard}
		c.since.Store(int64(bootclock.Now()))
		if o.admit(c) {
			return c, nil
		}
		_ = conn.Close()
	}
}

// Reasons for which connections are closed.
const (
	reasonWaiting = "longest_waiting" // closed for a new one
	reasonFull    = "all_serving"     // a new one is closed, since requests are served on all others
)

// admit makes room for a new connection and reports whether there is.
func (o *OpenConnections) admit(c *callerConn) bool {
	o.mu.Lock()
	closed, fits := 0, true
	for o.Bound > 0 && len(o.conns) >= o.Bound && fits {
		if fits = o.closeLongestWaiting(); fits {
			closed++
		}
	}
	if fits {
		if o.conns == nil {
			o.conns = make(map[*callerConn]struct{})
		}
		o.conns[c] = struct{}{}
	}
	o.mu.Unlock()
	if o.Closed != nil {
		for range closed {
			o.Closed(reasonWaiting)
		}
		if !fits {
			o.Closed(reasonFull)
		}
	}
	return fits
}

// closeLongestWaiting closes the connection that has been idle, or has had an incomplete request, the
// longest. It returns false if there is none. It needs mu.
func (o *OpenConnections) closeLongestWaiting() bool {
	for {
		var longest *callerConn
		var since bootclock.Instant
		for c := range o.conns {
			if at, waits := c.waitsSince(); waits && (longest == nil || at < since) {
				longest, since = c, at
			}
		}
		if longest == nil {
			return false
		}
		if longest.closeWaiting() {
			delete(o.conns, longest)
			return true
		}
	}
}

// Len returns how many connections are open.
func (o *OpenConnections) Len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.conns)
}

// ConnState is the ConnState hook of the server.
func (o *OpenConnections) ConnState(c net.Conn, state http.ConnState) {
	conn, ok := c.(*callerConn)
	if ok {
		conn.observe(state)
	}
	o.next(c, state)
	o.mu.Lock()
	defer o.mu.Unlock()
	if ok && (state == http.StateClosed || state == http.StateHijacked) {
		delete(o.conns, conn)
	}
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
