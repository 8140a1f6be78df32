package outbound

import (
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

// errConnClosed is returned by writes after closeAndCount or a refused claim.
var errConnClosed = eris.New("outbound: connection is closed; open another one")

// countingConn counts the bytes that were written to a connection. After closeAndCount
// no more are written, so that the count is final.
type countingConn struct {
	net.Conn

	mu      sync.Mutex
	written int64 // guarded by mu
	claimed bool  // guarded by mu; by a request whose response doesn't allow another one
	closed  bool  // guarded by mu
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, errConnClosed
	}
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

// count returns the number of bytes written so far.
func (c *countingConn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// claim assigns the connection to a request and returns the number of bytes written before it. If an earlier
// request has not released the connection, writes fail before their first byte.
func (c *countingConn) claim() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = c.closed || c.claimed
	c.claimed = true
	return c.written
}

// release lets another request have the connection.
func (c *countingConn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.claimed = false
}

// closeAndCount closes the connection and returns the final number of bytes written. No
// byte is sent after it has returned.
func (c *countingConn) closeAndCount() int64 {
	_ = c.Close() // unblocks a Write, which holds mu
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	return c.written
}
