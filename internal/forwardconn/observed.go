package forwardconn

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"corianderhitch/internal/edge/bootclock"
)

// waits tells how long no target has sent anything while requests wait for an answer. It is safe for
// concurrent use.
type waits struct {
	mu     sync.Mutex
	count  int               // guarded by mu; connections that were written to and not read since
	begun  bootclock.Instant // guarded by mu; when count was last 0
	readAt bootclock.Instant // guarded by mu; when a target last sent something
}

func (w *waits) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.count == 0 {
		w.begun = bootclock.Now()
	}
	w.count++
}

func (w *waits) end(read bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.count--
	if read {
		w.readAt = bootclock.Now()
	}
}

// silence returns how long requests have waited while no target sent anything, 0 if none waits.
func (w *waits) silence() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.count == 0 {
		return 0
	}
	return bootclock.Since(max(w.begun, w.readAt))
}

// observedConn is a connection of this host to a target. It records whether the connection could be
// used, once, and whether a request waits on it.
type observedConn struct {
	net.Conn
	waits    *waits
	opened   func(usable bool)
	written  atomic.Bool // something was written
	settled  atomic.Bool // opened was called, or this host has closed the connection
	awaiting atomic.Bool // counted in waits
}

// Read implements net.Conn.
func (c *observedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 || err != nil {
		if c.awaiting.CompareAndSwap(true, false) {
			c.waits.end(n > 0)
		}
		idleEnd := errors.Is(err, io.EOF) && !c.written.Load()
		failed := n == 0 && !idleEnd && !errors.Is(err, net.ErrClosed)
		if (n > 0 || failed) && c.settled.CompareAndSwap(false, true) {
			c.opened(n > 0)
		}
	}
	return n, err
}

// Write implements net.Conn.
func (c *observedConn) Write(b []byte) (int, error) {
	c.written.Store(true)
	if c.awaiting.CompareAndSwap(false, true) {
		c.waits.begin()
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *observedConn) Close() error {
	c.settled.Store(true)
	if c.awaiting.CompareAndSwap(true, false) {
		c.waits.end(false)
	}
	return c.Conn.Close()
}

// forwardedConn is a connection by way of another host.
type forwardedConn struct {
	net.Conn
	closed func()
}

// Close implements net.Conn.
func (c *forwardedConn) Close() error {
	c.closed()
	return c.Conn.Close()
}
