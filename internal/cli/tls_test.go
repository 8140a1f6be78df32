package cli

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"log/slog"
	"math/big"
	"net"
	"net/rpc"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/rpcconn"
	"corianderhitch/internal/tlskeys"
)

// tlsFiles writes a new self-signed certificate for 127.0.0.1, which is its own CA,
// and its key.
func tlsFiles(t *testing.T) tlskeys.Settings {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)
	write := func(name, kind string, der []byte) string {
		file := filepath.Join(t.TempDir(), name)
		require.NoError(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
		return file
	}
	certFile := write("cert.pem", "CERTIFICATE", cert)
	return tlskeys.Settings{TLSCert: certFile, TLSKey: write("key.pem", "PRIVATE KEY", private), TLSCA: certFile, TLSReload: time.Hour}
}

func TestAgentCallsUseMutualTLS(t *testing.T) {
	f := newFixture(t)
	files := tlsFiles(t)
	material, err := tlskeys.Open(files, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	services := rpc.NewServer()
	require.NoError(t, services.RegisterName("Control", f.control))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	agent := rpcconn.Serve(material.Listen(listener), services)
	defer agent.Stop()

	run := func(s tlskeys.Settings) (int, string) {
		var out, errs bytes.Buffer
		code := Run(t.Context(), []string{"explain", "r-1", "--account", "skippers", "--store", f.storeURL, "--agent", agent.Address(),
			"--tls-cert", s.TLSCert, "--tls-key", s.TLSKey, "--tls-ca", s.TLSCA}, &out, &errs)
		return code, out.String() + errs.String()
	}
	code, text := run(files)
	require.Equal(t, ExitOK, code, text)
	require.Contains(t, text, "engine-3")
	code, text = run(tlsFiles(t))
	require.Equal(t, ExitUnreachable, code, text)
	require.Contains(t, text, "compare --tls-ca")
	code, text = run(tlskeys.Settings{})
	require.Equal(t, ExitUnreachable, code, text)
}
