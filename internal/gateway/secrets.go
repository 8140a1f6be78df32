package gateway

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"

	"corianderhitch/internal/rpcconn"
	"corianderhitch/internal/tlskeys"
)

// secrets are the keys of resume tokens and the TLS material. Both take up
// changed files without a restart.
type secrets struct {
	keys     *tlskeys.ReloadingKeyring
	material *tlskeys.Material // nil without TLS
}

func openSecrets(s Settings, log *slog.Logger) (*secrets, error) {
	keys, err := tlskeys.OpenKeyring(s.KeyringSettings, s.TokenKeys, log)
	if err != nil {
		return nil, err
	}
	opened := &secrets{keys: keys}
	if s.TLSSettings.Enabled() {
		opened.material, err = tlskeys.Open(s.TLSSettings, log)
	}
	return opened, err
}

// dialer connects to agents.
func (s *secrets) dialer() rpcconn.Dialer {
	if s.material == nil {
		return rpcconn.TCP
	}
	return s.material.Dial
}

// serve serves callers.
func (s *secrets) serve(server *http.Server, listener net.Listener) error {
	if s.material == nil {
		return server.Serve(listener)
	}
	server.TLSConfig = s.material.CallerConfig()
	return server.ServeTLS(listener, "", "")
}

// watch takes up changed files until ctx ends.
func (s *secrets) watch(ctx context.Context) {
	var duties sync.WaitGroup
	duties.Go(func() { s.keys.Watch(ctx, nil) })
	if s.material != nil {
		duties.Go(func() { s.material.Watch(ctx, nil) })
	}
	duties.Wait()
}
