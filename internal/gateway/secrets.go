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

// secrets are the resume tokens' keys and the TLS certificates. Both reload changed files
// without a restart.
type secrets struct {
	keys        *tlskeys.ReloadingKeyring
	tlsMaterial *tlskeys.Material // nil without TLS
}

func openSecrets(s Settings, log *slog.Logger) (*secrets, error) {
	keys, err := tlskeys.OpenKeyring(s.KeyringSettings, s.TokenKeys, log)
	if err != nil {
		return nil, err
	}
	opened := &secrets{keys: keys}
	if s.TLSSettings.Enabled() {
		opened.tlsMaterial, err = tlskeys.Open(s.TLSSettings, log)
	}
	return opened, err
}

// dialer returns how to connect to agents, with TLS if it is on.
func (s *secrets) dialer() rpcconn.Dialer {
	if s.tlsMaterial == nil {
		return rpcconn.TCP
	}
	return s.tlsMaterial.Dial
}

// serve serves callers on the listener, with TLS if it is on, until the server closes.
func (s *secrets) serve(server *http.Server, listener net.Listener) error {
	if s.tlsMaterial == nil {
		return server.Serve(listener)
	}
	server.TLSConfig = s.tlsMaterial.CallerConfig()
	return server.ServeTLS(listener, "", "")
}

// watch reloads changed files until ctx ends.
func (s *secrets) watch(ctx context.Context) {
	var watchers sync.WaitGroup
	watchers.Go(func() { s.keys.Watch(ctx, nil) })
	if s.tlsMaterial != nil {
		watchers.Go(func() { s.tlsMaterial.Watch(ctx, nil) })
	}
	watchers.Wait()
}
