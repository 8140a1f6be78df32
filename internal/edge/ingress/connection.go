package ingress

import (
	"context"
	"net"
	"time"

	"corianderhitch/internal/edge/bootclock"
)

// connection is what is logged of a caller's connection. It serves one request at a time.
type connection struct {
	openedAt bootclock.Instant
	requests int // including the current one
}

type connectionKey struct{}

// WithConnection is the ConnContext of the callers' http.Server.
func WithConnection(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, &connection{openedAt: bootclock.Now()})
}

// recordRequest counts a request on its connection, which it returns. Without
// WithConnection the connection is taken to be new.
func recordRequest(ctx context.Context) *connection {
	c, ok := ctx.Value(connectionKey{}).(*connection)
	if !ok {
		c = &connection{openedAt: bootclock.Now()}
	}
	c.requests++
	return c
}

func (c *connection) age() time.Duration { return bootclock.Since(c.openedAt) }
