package tlskeys

import (
	"bytes"
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/rpc"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"corianderhitch/internal/rpcconn"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const hostName = "hosts.example"

func inAnHour() time.Time { return time.Now().Add(time.Hour) }

// Echo is a net/rpc service.
type Echo struct{}

// Say returns its argument.
func (Echo) Say(text string, reply *string) error { *reply = text; return nil }

// pair is a server host and a client host that trust the same authority.
type pair struct {
	server, client *host
	serverMaterial *Material
	clientMaterial *Material
	log            bytes.Buffer
	address        string
}

func newPair(t *testing.T, a *authority) *pair {
	p := &pair{server: newHost(t), client: newHost(t)}
	for _, h := range []*host{p.server, p.client} {
		cert, key := a.issue(hostName, inAnHour())
		h.install(cert, key, a.pem())
	}
	var err error
	log := slog.New(slog.NewTextHandler(&p.log, nil))
	p.serverMaterial, err = Open(p.server.settings, log)
	require.NoError(t, err)
	p.clientMaterial, err = Open(p.client.settings, log)
	require.NoError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	services := rpc.NewServer()
	require.NoError(t, services.Register(Echo{}))
	s := rpcconn.Serve(p.serverMaterial.Listen(listener), services)
	t.Cleanup(s.Stop)
	p.address = s.Address()
	return p
}

// callNewConn calls Echo.Say over a new connection.
func (p *pair) callNewConn(t *testing.T, m *Material) error {
	t.Helper()
	pool := rpcconn.NewPool(m.Dial)
	defer pool.Close()
	return p.callOver(t, pool)
}

func (p *pair) callOver(t *testing.T, pool *rpcconn.Pool) error {
	t.Helper()
	var reply string
	err := pool.Call(t.Context(), p.address, "Echo.Say", "hello", &reply)
	if err == nil {
		require.Equal(t, "hello", reply)
	}
	return err
}

func TestAuthorityRotationKeepsOpenConnections(t *testing.T) {
	older, newer := newAuthority(t, "older"), newAuthority(t, "newer")
	p := newPair(t, older)
	open := rpcconn.NewPool(p.clientMaterial.Dial)
	defer open.Close()
	require.NoError(t, p.callOver(t, open))

	// Step 1: all hosts trust both authorities.
	for _, h := range []*host{p.server, p.client} {
		h.write(h.settings.TLSCA, older.pem()+newer.pem())
	}
	p.serverMaterial.reloadIfChanged()
	p.clientMaterial.reloadIfChanged()
	// Step 2: hosts get certificates of the new authority one by one.
	cert, key := newer.issue(hostName, inAnHour())
	p.server.install(cert, key, older.pem()+newer.pem())
	p.serverMaterial.reloadIfChanged()
	require.NoError(t, p.callNewConn(t, p.clientMaterial), "new server, old client")
	cert, key = newer.issue(hostName, inAnHour())
	p.client.install(cert, key, older.pem()+newer.pem())
	p.clientMaterial.reloadIfChanged()
	require.NoError(t, p.callNewConn(t, p.clientMaterial))
	// Step 3: all hosts stop trusting the old authority.
	for _, h := range []*host{p.server, p.client} {
		h.write(h.settings.TLSCA, newer.pem())
	}
	p.serverMaterial.reloadIfChanged()
	p.clientMaterial.reloadIfChanged()
	require.NoError(t, p.callNewConn(t, p.clientMaterial))
	require.NoError(t, p.callOver(t, open), "a connection opened before the rotation still works")
	require.NotContains(t, p.log.String(), "rejected")

	// A host whose certificate is still from the old authority is rejected.
	unrotated := newHost(t)
	cert, key = older.issue(hostName, inAnHour())
	unrotated.install(cert, key, older.pem()+newer.pem())
	m, err := Open(unrotated.settings, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	require.Error(t, p.callNewConn(t, m))
}

func TestUntrustedClientsAreRejected(t *testing.T) {
	a := newAuthority(t, "a")
	p := newPair(t, a)
	untrusted := newHost(t)
	b := newAuthority(t, "b")
	cert, key := b.issue(hostName, inAnHour())
	untrusted.install(cert, key, a.pem()+b.pem())
	m, err := Open(untrusted.settings, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	require.Error(t, p.callNewConn(t, m), "the server does not trust the client's authority")

	plain, err := rpcconn.TCP(t.Context(), p.address)
	require.NoError(t, err)
	defer func() { _ = plain.Close() }()
	_, err = plain.Write([]byte("not TLS at all, but long enough to be read"))
	require.NoError(t, err)
	require.NoError(t, plain.SetReadDeadline(time.Now().Add(10*time.Second)))
	var answer [512]byte
	for err == nil {
		_, err = plain.Read(answer[:])
	}
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the server closes the connection")
	require.NoError(t, p.callNewConn(t, p.clientMaterial), "other clients are still served")
}

func TestPeerCertificateMustCarryPeerName(t *testing.T) {
	a := newAuthority(t, "a")
	p := newPair(t, a)
	p.serverMaterial.settings.TLSPeerName = hostName
	p.clientMaterial.settings.TLSPeerName = hostName
	require.NoError(t, p.callNewConn(t, p.clientMaterial))
	other := newHost(t)
	cert, key := a.issue("callers.example", inAnHour())
	other.install(cert, key, a.pem())
	m, err := Open(other.settings, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	require.Error(t, p.callNewConn(t, m))
}

func TestInvalidFilesKeepCurrentMaterial(t *testing.T) {
	a, b := newAuthority(t, "a"), newAuthority(t, "b")
	cert, key := a.issue(hostName, inAnHour())
	expired, expiredKey := a.issue(hostName, time.Now().Add(-time.Minute))
	foreign, foreignKey := b.issue(hostName, inAnHour())
	cases := map[string]struct{ cert, key, authorities, text string }{
		"truncated certificate":      {cert[:len(cert)/2], key, a.pem(), "do not match"},
		"truncated key":              {cert, key[:len(key)/2], a.pem(), "do not match"},
		"key of another certificate": {cert, expiredKey, a.pem(), "do not match"},
		"empty file":                 {"", key, a.pem(), "do not match"},
		"truncated authority":        {cert, key, a.pem() + b.pem()[:100], "write the complete file"},
		"no authority":               {cert, key, "", "write the complete file"},
		"key as authority":           {cert, key, key, "certificates only"},
		"wrong authority":            {foreign, foreignKey, a.pem(), "not issued by an authority in --tls-ca"},
		"expired":                    {expired, expiredKey, a.pem(), "expired at"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newPair(t, a)
			before := p.serverMaterial.current.Load()
			p.server.install(c.cert, c.key, c.authorities)
			p.serverMaterial.reloadIfChanged()
			p.serverMaterial.reloadIfChanged()
			require.Same(t, before, p.serverMaterial.current.Load())
			require.Contains(t, p.log.String(), c.text)
			require.Equal(t, 1, bytes.Count(p.log.Bytes(), []byte("previous material stays in use")), "logged once")
			require.NoError(t, p.callNewConn(t, p.clientMaterial))
			_, err := Open(p.server.settings, slog.New(slog.DiscardHandler))
			require.ErrorContains(t, err, c.text, "Open rejects such files")

			p.server.install(cert, key, a.pem())
			p.serverMaterial.reloadIfChanged()
			require.NotSame(t, before, p.serverMaterial.current.Load(), "valid files are loaded")
			require.NoError(t, p.callNewConn(t, p.clientMaterial))
		})
	}
}

func TestOpenNamesMissingSettings(t *testing.T) {
	_, err := Open(Settings{TLSCert: "x"}, slog.New(slog.DiscardHandler))
	require.ErrorContains(t, err, "--tls-cert, --tls-key and --tls-ca")
	require.True(t, Settings{TLSKey: "x"}.Enabled())
	require.False(t, Settings{}.Enabled())
}

func TestWatchReloadsOnSignalAndStops(t *testing.T) {
	a := newAuthority(t, "a")
	p := newPair(t, a)
	before := p.serverMaterial.current.Load()
	cert, key := a.issue(hostName, inAnHour())
	p.server.install(cert, key, a.pem())
	ctx, cancel := context.WithCancel(t.Context())
	reload := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.serverMaterial.Watch(ctx, reload)
	}()
	reload <- struct{}{}
	reload <- struct{}{} // received only after the first check has ended
	require.NotSame(t, before, p.serverMaterial.current.Load())
	cancel()
	<-done
}

func TestCallersNeedNoCertificate(t *testing.T) {
	a := newAuthority(t, "a")
	p := newPair(t, a)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(204) }))
	server.Listener = tls.NewListener(server.Listener, p.serverMaterial.CallerConfig())
	server.Start()
	defer server.Close()
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: p.clientMaterial.Authorities(), MinVersion: tls.VersionTLS12}}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	response, err := client.Get("https://" + server.Listener.Addr().String())
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, 204, response.StatusCode)
}
