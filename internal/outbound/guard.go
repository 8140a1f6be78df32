package outbound

import (
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

// errSealed is returned by writes to a sealed connection.
var errSealed = eris.New("outbound: connection is sealed; open another one")

// guardedConn counts the bytes that left on a connection and can be sealed, so
// that a count of zero stays true.
type guardedConn struct {
	net.Conn

	mu      sync.Mutex
	written int64 // guarded by mu
	sealed  bool  // guarded by mu
}

// Write implements net.Conn.
func (c *guardedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return 0, errSealed
	}
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

// count returns the bytes written so far.
func (c *guardedConn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal closes the connection and returns the final number of bytes written.
// No byte leaves after seal has returned.
func (c *guardedConn) seal() int64 {
	_ = c.Close() // ends a blocked Write, which holds mu
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}
