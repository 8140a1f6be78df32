package agent

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

	"corianderhitch/api/control"
	"corianderhitch/internal/logging"
	"corianderhitch/internal/platform/memstore"
	"corianderhitch/internal/rpcconn"
)

// writeCertificate writes a self-signed certificate, which is also the CA, and its key.
// It returns the settings that use them.
func writeCertificate(t *testing.T) TLSSettings {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "hosts"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)
	dir := t.TempDir()
	write := func(name, kind string, bytes []byte) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: bytes}), 0o600))
		return path
	}
	cert := write("cert.pem", "CERTIFICATE", der)
	return TLSSettings{TLSCert: cert, TLSKey: write("key.pem", "PRIVATE KEY", keyDER), TLSCA: cert, TLSReload: time.Hour}
}

func TestAgentsRequireTLSClientCertificate(t *testing.T) {
	store := memstore.New(memstore.Options{PollLimit: time.Second})
	d := &deployment{t: t, store: store, pool: rpcconn.NewPool(rpcconn.TCP)}
	defer d.pool.Close()
	certificate := writeCertificate(t)
	for i := range 2 {
		s := agentSettings(i)
		s.TLSSettings = certificate
		a, err := Start(logging.Discard(), s, store)
		require.NoError(t, err)
		defer a.Stop(t.Context())
		d.agents = append(d.agents, a)
	}
	d.await("members over TLS", func(a *Agent) bool { return len(a.State().Live()) == 2 })
	require.Error(t, d.pool.Call(t.Context(), d.agents[0].Address(), "Peer.Self", control.Empty{}, new(control.Member)), "a peer without a certificate must be rejected")
}

func TestIncompleteTLSSettingsAreRejected(t *testing.T) {
	s := agentSettings(0)
	s.TLSCert = "cert.pem"
	_, err := Start(logging.Discard(), s, memstore.New(memstore.Options{}))
	require.ErrorContains(t, err, "--tls-key")
}
