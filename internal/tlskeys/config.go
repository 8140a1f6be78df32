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

// handshakeTimeout bounds a TLS handshake, so that a caller fails over from a host
// that becomes unreachable during the handshake about as fast as from one that
// rejects connections.
const handshakeTimeout = time.Second

// CallerConfig returns the TLS configuration of the listener for callers' HTTPS
// requests. It requires no client certificate, since callers authenticate by API
// key. Each handshake uses the current certificate.
func (m *Material) CallerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"h2", "http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return m.current.Load().certificate, nil
		},
	}
}

// ServerConfig returns the TLS configuration of the listener for other hosts. Each
// handshake uses the credentials that are current at that time and requires a
// client certificate from a trusted authority.
func (m *Material) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return m.currentServerConfig(), nil
		},
	}
}

func (m *Material) currentServerConfig() *tls.Config {
	current := m.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*current.certificate},
		ClientCAs:    current.authorities,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		// A resumed session would bypass the removal of an authority.
		SessionTicketsDisabled: true,
		VerifyConnection:       m.verifyPeerName,
	}
}

// verifyPeerName rejects a client certificate that doesn't carry the name in
// --tls-peer-name, if that is set: the authority may issue certificates to others
// than hosts.
func (m *Material) verifyPeerName(state tls.ConnectionState) error {
	if m.settings.TLSPeerName == "" || len(state.PeerCertificates) == 0 {
		return nil
	}
	err := state.PeerCertificates[0].VerifyHostname(m.settings.TLSPeerName)
	return eris.Wrap(err, "the peer's certificate does not carry the name in --tls-peer-name; issue one that does")
}

// ClientConfig returns the TLS configuration for one connection to the host at
// address (ip:port), with the current credentials. Call it for each connection, so
// that new ones use reloaded credentials.
func (m *Material) ClientConfig(address string) *tls.Config {
	current := m.current.Load()
	name := m.settings.TLSPeerName
	if name == "" {
		name = hostOf(address)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*current.certificate},
		RootCAs:      current.authorities,
		ServerName:   name,
	}
}

// Authorities returns the currently trusted authorities.
func (m *Material) Authorities() *x509.CertPool { return m.current.Load().authorities }

// Dial opens a TLS connection to the host at address (ip:port). It is an
// rpcconn.Dialer.
func (m *Material) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := rpcconn.TCP(ctx, address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	tlsConn := tls.Client(conn, m.ClientConfig(address))
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, eris.Wrapf(err, "TLS handshake with %s failed; compare --tls-ca and the certificates of both hosts", address)
	}
	return tlsConn, nil
}

var _ rpcconn.Dialer = (*Material)(nil).Dial

// Listen returns a listener that serves other hosts over TLS on the connections
// that listener accepts.
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
