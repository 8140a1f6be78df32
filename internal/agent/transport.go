package agent

import (
	"context"
	"log/slog"
	"net"

	"corianderhitch/internal/rpcconn"
	"corianderhitch/internal/tlskeys"
)

// transport is how this agent reaches others and is reached: over plain TCP, or
// over mutual TLS with material that is replaced without a restart.
type transport struct {
	traffic  *rpcconn.Traffic
	material *tlskeys.Material // nil without TLS
}

func openTransport(s Settings, log *slog.Logger) (*transport, error) {
	t := &transport{traffic: &rpcconn.Traffic{}}
	if !s.TLSSettings.Enabled() {
		return t, nil
	}
	material, err := tlskeys.Open(s.TLSSettings, log)
	t.material = material
	return t, err
}

// dialer counts the bytes of calls to others, before encryption.
func (t *transport) dialer() rpcconn.Dialer {
	if t.material == nil {
		return t.traffic.Dialer(rpcconn.TCP)
	}
	return t.traffic.Dialer(t.material.Dial)
}

func (t *transport) listener(plain net.Listener) net.Listener {
	if t.material == nil {
		return t.traffic.Listener(plain)
	}
	return t.material.Listen(t.traffic.Listener(plain))
}

// watch takes up changed files until ctx ends.
func (t *transport) watch(ctx context.Context) {
	if t.material != nil {
		t.material.Watch(ctx, nil)
	}
}
