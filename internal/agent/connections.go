package agent

import (
	"context"
	"log/slog"
	"net"

	"corianderhitch/internal/rpcconn"
	"corianderhitch/internal/tlskeys"
)

// connections opens and accepts the net/rpc connections of an agent. It counts their
// traffic and applies TLS if that is enabled.
type connections struct {
	traffic  *rpcconn.Traffic
	material *tlskeys.Material // nil without TLS
	dial     rpcconn.Dialer
}

// newConnections loads the TLS files if TLS is enabled. It opens no connection.
func newConnections(log *slog.Logger, s TLSSettings) (*connections, error) {
	c := &connections{traffic: &rpcconn.Traffic{}}
	c.dial = c.traffic.Dialer(rpcconn.TCP)
	if !s.Enabled() {
		return c, nil
	}
	material, err := tlskeys.Open(s, log)
	if err != nil {
		return nil, err
	}
	c.material = material
	c.dial = c.traffic.Dialer(material.Dial)
	return c, nil
}

// listen wraps the listener of the net/rpc server with traffic counting and TLS.
func (c *connections) listen(listener net.Listener) net.Listener {
	counted := c.traffic.Listener(listener)
	if c.material == nil {
		return counted
	}
	return c.material.Listen(counted)
}

// watch reloads changed TLS files until ctx ends.
func (c *connections) watch(ctx context.Context) {
	if c.material != nil {
		c.material.Watch(ctx, nil)
	}
}
