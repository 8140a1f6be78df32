package tlskeys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// authority is a certificate authority for tests.
type authority struct {
	t           *testing.T
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

func newAuthority(t *testing.T, name string) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	certificate, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return &authority{t: t, certificate: certificate, key: key, serial: 1}
}

func (a *authority) pem() string { return encodePEM("CERTIFICATE", a.certificate.Raw) }

// issue returns a PEM certificate for name and its PEM private key.
func (a *authority) issue(name string, expires time.Time) (cert, key string) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(a.t, err)
	a.serial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     expires,
		DNSNames:     []string{name},
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &private.PublicKey, a.key)
	require.NoError(a.t, err)
	raw, err := x509.MarshalPKCS8PrivateKey(private)
	require.NoError(a.t, err)
	return encodePEM("CERTIFICATE", der), encodePEM("PRIVATE KEY", raw)
}

func encodePEM(kind string, der []byte) string {
	return string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}))
}

// host holds the TLS files of one host in a temporary directory.
type host struct {
	t        *testing.T
	settings Settings
}

func newHost(t *testing.T) *host {
	dir := t.TempDir()
	return &host{t: t, settings: Settings{
		TLSCert:   filepath.Join(dir, "cert.pem"),
		TLSKey:    filepath.Join(dir, "key.pem"),
		TLSCA:     filepath.Join(dir, "ca.pem"),
		TLSReload: time.Hour, // tests call reloadIfChanged
	}}
}

func (h *host) write(file, text string) {
	require.NoError(h.t, os.WriteFile(file, []byte(text), 0o600))
}

func (h *host) install(cert, key, authorities string) {
	h.write(h.settings.TLSCert, cert)
	h.write(h.settings.TLSKey, key)
	h.write(h.settings.TLSCA, authorities)
}
