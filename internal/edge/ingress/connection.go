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
	// conn is the connection itself, nil in tests without OpenConnections.
	conn *callerConn
}

type connectionKey struct{}

// WithConnection is the ConnContext of the callers' http.Server.
func WithConnection(ctx context.Context, c net.Conn) context.Context {
	conn, _ := c.(*callerConn)
	return context.WithValue(ctx, connectionKey{}, &connection{openedAt: bootclock.Now(), conn: conn})
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

// receiveBody states whether the body of the current request is incomplete.
func (c *connection) receiveBody(incomplete bool) {
	if c.conn != nil {
		c.conn.receivesBody.Store(incomplete)
	}
}
