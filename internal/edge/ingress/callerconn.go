package ingress

import (
	"net"
	"net/http"
	"sync/atomic"
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
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.state.CompareAndSwap(connIdle, connReading) && c.state.Load() == connClosed {
		return 0, net.ErrClosed
	}
	return n, err
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
func (c *callerConn) CloseIfIdle() bool {
	if !c.state.CompareAndSwap(connIdle, connClosed) {
		return false
	}
	_ = c.Conn.Close()
	return true
}

// observe records the state in which the server sees the connection.
func (c *callerConn) observe(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.state.CompareAndSwap(connReading, connActive)
	case http.StateIdle:
		c.state.CompareAndSwap(connActive, connIdle)
	case http.StateClosed:
		if c.state.Swap(connClosed) != connClosed {
			_ = c.Conn.Close()
		}
	}
}
