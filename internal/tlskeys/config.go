package tlskeys

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"corianderhitch/internal/rpcconn"
)

// handshakeTimeout bounds a TLS handshake, so that a host that is cut off in the
// middle fails over about as fast as one that refuses.
const handshakeTimeout = time.Second

// CallerConfig returns the configuration of a listener for callers' HTTPS.
// Callers authenticate by their keys, not by certificates.
func (m *Material) CallerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"h2", "http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return m.current.Load().certificate, nil
		},
	}
}

// ServerConfig returns the configuration of a listener for other hosts. Each
// handshake uses the material in force then; peers must show a certificate of a
// trusted authority.
func (m *Material) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return m.serverConfigNow(), nil
		},
	}
}

func (m *Material) serverConfigNow() *tls.Config {
	now := m.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*now.certificate},
		ClientCAs:    now.authorities,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		// A resumed session would outlive an authority that was removed.
		SessionTicketsDisabled: true,
		VerifyConnection:       m.verifyPeerName,
	}
}

// verifyPeerName refuses clients whose certificate is of a trusted authority,
// but not of a host, where hosts have a common name.
func (m *Material) verifyPeerName(state tls.ConnectionState) error {
	if m.settings.TLSPeerName == "" || len(state.PeerCertificates) == 0 {
		return nil
	}
	err := state.PeerCertificates[0].VerifyHostname(m.settings.TLSPeerName)
	return eris.Wrap(err, "the peer's certificate is of no host; issue one with the name of --tls-peer-name")
}

// ClientConfig returns the configuration of one connection to the host at
// ip:port, with the material in force now. Make one for each connection.
func (m *Material) ClientConfig(address string) *tls.Config {
	now := m.current.Load()
	name := m.settings.TLSPeerName
	if name == "" {
		name = hostOf(address)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*now.certificate},
		RootCAs:      now.authorities,
		ServerName:   name,
	}
}

// Authorities returns the trusted authorities in force.
func (m *Material) Authorities() *x509.CertPool { return m.current.Load().authorities }

// Dial connects to another host; it is an rpcconn.Dialer.
func (m *Material) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := rpcconn.TCP(ctx, address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	secure := tls.Client(conn, m.ClientConfig(address))
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, eris.Wrapf(err, "TLS with %s failed; compare --tls-ca and the certificates of both hosts", address)
	}
	return secure, nil
}

var _ rpcconn.Dialer = (*Material)(nil).Dial

// Listen wraps a listener for other hosts.
func (m *Material) Listen(listener net.Listener) net.Listener {
	return &handshakeListener{Listener: listener, config: m.ServerConfig()}
}

func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}
