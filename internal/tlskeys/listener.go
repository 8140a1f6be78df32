package tlskeys

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
)

// handshakeListener accepts TLS connections and limits the time of their handshakes.
type handshakeListener struct {
	net.Listener
	config *tls.Config
}

// Accept implements net.Listener. The handshake runs in the goroutine that first reads
// from or writes to the connection, so that a slow peer doesn't block others.
func (l *handshakeListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &handshakeConn{Conn: tls.Server(conn, l.config)}, nil
}

// handshakeConn runs its handshake once, before the first Read or Write.
type handshakeConn struct {
	*tls.Conn
	once sync.Once
	err  error
}

// Read implements net.Conn.
func (c *handshakeConn) Read(b []byte) (int, error) {
	if err := c.handshake(); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// Write implements net.Conn.
func (c *handshakeConn) Write(b []byte) (int, error) {
	if err := c.handshake(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

func (c *handshakeConn) handshake() error {
	c.once.Do(func() {
		ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
		defer cancel()
		c.err = c.HandshakeContext(ctx)
	})
	return c.err
}
