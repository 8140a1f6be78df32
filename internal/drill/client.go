package drill

import (
	"math/rand/v2"
	"sync"
	"time"
)

// client is a caller with connections that it keeps.
type client struct {
	name    string
	domain  string
	account int
	traffic *traffic

	mu     sync.Mutex
	random *rand.Rand    // guarded by mu
	idle   []*connection // guarded by mu
}

// connect returns a connection: a kept one that the host hasn't closed, otherwise a new one.
// Repeats always use a new one.
func (c *client) connect(tried map[*host]bool) (*connection, *host, error) {
	if len(tried) == 0 {
		if conn := c.takeIdle(); conn != nil {
			return conn, conn.host, nil
		}
	}
	f := c.traffic.fleet
	h := f.front.choose(c.domain, c.name, tried)
	conn, err := dial(h, f.platform.CallerAddress(h.ip))
	return conn, h, err
}

// takeIdle returns the kept connection that was used last, nil if there is none.
func (c *client) takeIdle() *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeStale()
	if len(c.idle) == 0 {
		return nil
	}
	conn := c.idle[len(c.idle)-1]
	c.idle = c.idle[:len(c.idle)-1]
	return conn
}

// keep keeps a connection for the next request.
func (c *client) keep(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.idle = time.Now()
	c.idle = append(c.idle, conn)
}

// idleShare is the part of the hosts' idle limit that callers use.
const idleShare = 0.8

// closeStale closes the connections that have been idle for too long and those that the host
// has closed. Callers hold mu.
func (c *client) closeStale() {
	limit := time.Duration(idleShare * float64(c.traffic.fleet.deployment.IdleTimeout))
	var kept []*connection
	for _, conn := range c.idle {
		if time.Since(conn.idle) > limit || conn.isClosed() {
			_ = conn.Close()
			continue
		}
		kept = append(kept, conn)
	}
	c.idle = kept
}

func (c *client) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		_ = conn.Close()
	}
	c.idle = nil
}

// draw calls a function with the client's source of random numbers.
func (c *client) draw(f func(*rand.Rand)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c.random)
}
