package ingress

import (
	"net"
	"net/http"
	"sync/atomic"

	"corianderhitch/internal/edge/bootclock"
)

// States of a callerConn. net/http tells of a request only once its whole head has been read;
// between its first byte and then, a connection that still counts as idle must not be closed.
const (
	connIdle    int32 = iota // no byte of a request has been read
	connReading              // a request has begun, and its head is being read
	connActive               // a request is being served
	connClosed
)

// callerConn is a caller's connection. It is closed as idle only if no request has begun on it, in
// one step: a request that begins later is never read. It is safe for concurrent use.
type callerConn struct {
	net.Conn
	state       atomic.Int32
	closingIdle *atomic.Bool // the server closes its idle connections
	guard       *HeadGuard   // nil for none
	head        headCharge   // used by the reader of the connection
	// since is the bootclock.Instant since which the connection is idle, or a request on it incomplete.
	since atomic.Int64
	// receivesBody is whether the body of the request that is served is incomplete.
	receivesBody atomic.Bool
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if c.state.CompareAndSwap(connIdle, connReading) {
		c.since.Store(int64(bootclock.Now()))
	}
	switch c.state.Load() {
	case connClosed:
		return 0, net.ErrClosed
	case connActive:
		if c.receivesBody.Load() {
			c.since.Store(int64(bootclock.Now())) // a body that keeps arriving gives way after one that stands still
		}
	case connReading:
		if c.guard == nil || c.head.scan.over {
			break
		}
		if reason := c.guard.add(&c.head, p[:n]); reason != "" {
			c.guard.end(&c.head)
			c.guard.reject(c.Conn, reason)
			return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: errHeadRejected} // net/http doesn't answer such errors
		}
	}
	return n, err
}

// CloseWrite makes net/http wait for the client to read a last answer before it closes the connection.
func (c *callerConn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return net.ErrClosed
}

// Close implements net.Conn. While the server closes its idle connections, it closes only those
// on which no request has begun. One whose service ends just then is closed by observe.
func (c *callerConn) Close() error {
	if c.closingIdle.Load() {
		c.CloseIfIdle()
		return nil
	}
	c.state.Store(connClosed)
	return c.Conn.Close()
}

// CloseIfIdle closes the connection unless a request has begun, and reports whether it did.
func (c *callerConn) CloseIfIdle() bool { return c.closeIn(connIdle) }

// closeIn closes the connection if it is in the given state, and reports whether it did.
func (c *callerConn) closeIn(state int32) bool {
	if !c.state.CompareAndSwap(state, connClosed) {
		return false
	}
	_ = c.Conn.Close()
	return true
}

// waitsSince returns since when the connection has been idle, or its request incomplete. It returns false if
// a whole request is being served.
func (c *callerConn) waitsSince() (bootclock.Instant, bool) {
	switch c.state.Load() {
	case connIdle, connReading:
	case connActive:
		if !c.receivesBody.Load() {
			return 0, false
		}
	default:
		return 0, false
	}
	return bootclock.Instant(c.since.Load()), true
}

// closeWaiting closes the connection unless a whole request is being served, and reports whether it did.
func (c *callerConn) closeWaiting() bool {
	if c.closeIn(connIdle) || c.closeIn(connReading) {
		return true
	}
	return c.receivesBody.Load() && c.closeIn(connActive)
}

// observe records the state in which the server sees the connection.
func (c *callerConn) observe(state http.ConnState) {
	switch state {
	case http.StateActive:
		// A pipelined request needs no further read, so that its connection still counts as idle.
		if !c.state.CompareAndSwap(connReading, connActive) {
			c.state.CompareAndSwap(connIdle, connActive)
		}
		c.endHead()
	case http.StateIdle:
		c.since.Store(int64(bootclock.Now()))
		c.head.begin()
		c.state.CompareAndSwap(connActive, connIdle)
	case http.StateClosed:
		c.endHead()
		if c.state.Swap(connClosed) != connClosed {
			_ = c.Conn.Close()
		}
	}
}

func (c *callerConn) endHead() {
	if c.guard != nil {
		c.guard.end(&c.head)
	}
}
