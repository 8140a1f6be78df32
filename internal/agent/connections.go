package agent

import (
	"context"
	"log/slog"
	"net"

	"corianderhitch/internal/rpcconn"
	"corianderhitch/internal/tlskeys"
)

// links makes the net/rpc connections of an agent: counted, and with TLS if it
// is on.
type links struct {
	traffic  *rpcconn.Traffic
	material *tlskeys.Material // nil without TLS
	dial     rpcconn.Dialer
}

func openLinks(log *slog.Logger, s TLSSettings) (*links, error) {
	l := &links{traffic: &rpcconn.Traffic{}}
	l.dial = l.traffic.Dialer(rpcconn.TCP)
	if !s.Enabled() {
		return l, nil
	}
	material, err := tlskeys.Open(s, log)
	if err != nil {
		return nil, err
	}
	l.material = material
	l.dial = l.traffic.Dialer(material.Dial)
	return l, nil
}

// listen wraps the listener of the net/rpc server.
func (l *links) listen(listener net.Listener) net.Listener {
	counted := l.traffic.Listener(listener)
	if l.material == nil {
		return counted
	}
	return l.material.Listen(counted)
}

// watch takes up changed TLS files until ctx ends.
func (l *links) watch(ctx context.Context) {
	if l.material != nil {
		l.material.Watch(ctx, nil)
	}
}
