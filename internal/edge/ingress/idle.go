package ingress

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/wait"
)

const (
	// defaultIdleTimeout applies if the configuration states no idle timeout.
	defaultIdleTimeout = 15 * time.Second
	// idleMargin is how much longer than the idle timeout connections stay open, since a
	// request may be on its way.
	idleMargin = time.Second
	// idleCheckInterval is how often idle connections are looked for.
	idleCheckInterval = time.Second
)

// idleTimeout is the idle timeout that callers rely on. After a change to a shorter one, the
// longer one holds for its own length: a caller may use a connection that has been idle since
// before the change. Its zero value is ready.
type idleTimeout struct {
	configured time.Duration
	earlier    time.Duration // a longer timeout that was configured before
	until      bootclock.Instant
}

// update returns the timeout that holds at the given time.
func (t *idleTimeout) update(configured time.Duration, now bootclock.Instant) time.Duration {
	if configured <= 0 {
		configured = defaultIdleTimeout
	}
	if configured < t.configured && (now >= t.until || t.configured > t.earlier) {
		t.earlier, t.until = t.configured, now.Add(t.configured)
	}
	t.configured = configured
	if now < t.until {
		return max(configured, t.earlier)
	}
	return configured
}

// IdleConnections closes the connections of callers that have been idle for longer than the
// configuration allows. It is safe for concurrent use.
type IdleConnections struct {
	// Configured returns the idle timeout of the configuration in force, 0 if it states none.
	Configured func() time.Duration

	mu        sync.Mutex
	idleSince map[net.Conn]bootclock.Instant // guarded by mu
	timeout   idleTimeout                    // guarded by mu
}

// ConnState is the ConnState hook of the callers' http.Server.
func (i *IdleConnections) ConnState(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if state != http.StateIdle {
		delete(i.idleSince, c)
		return
	}
	if i.idleSince == nil {
		i.idleSince = make(map[net.Conn]bootclock.Instant)
	}
	now := bootclock.Now()
	i.idleSince[c] = now
	i.timeout.update(i.Configured(), now) // the one that this connection's caller may rely on
}

// Run closes connections until ctx ends.
func (i *IdleConnections) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, idleCheckInterval)
		for _, c := range i.expired(bootclock.Now()) {
			if conn, ok := c.(*callerConn); ok {
				conn.CloseIfIdle()
				continue
			}
			_ = c.Close()
		}
	}
}

// expired returns the connections that have been idle for too long.
func (i *IdleConnections) expired(now bootclock.Instant) []net.Conn {
	i.mu.Lock()
	defer i.mu.Unlock()
	limit := i.timeout.update(i.Configured(), now) + idleMargin
	var idle []net.Conn
	for c, since := range i.idleSince {
		if now.Sub(since) > limit {
			idle = append(idle, c)
		}
	}
	return idle
}
