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

// pair is a server and a client host that trust one authority.
type pair struct {
	server, client *host
	serverM        *Material
	clientM        *Material
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
	p.serverM, err = Open(p.server.settings, log)
	require.NoError(t, err)
	p.clientM, err = Open(p.client.settings, log)
	require.NoError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	services := rpc.NewServer()
	require.NoError(t, services.Register(Echo{}))
	s := rpcconn.Serve(p.serverM.Listen(listener), services)
	t.Cleanup(s.Stop)
	p.address = s.Address()
	return p
}

// say calls over a fresh connection.
func (p *pair) say(t *testing.T, m *Material) error {
	t.Helper()
	pool := rpcconn.NewPool(m.Dial)
	defer pool.Close()
	return p.sayOn(t, pool)
}

func (p *pair) sayOn(t *testing.T, pool *rpcconn.Pool) error {
	t.Helper()
	var reply string
	err := pool.Call(t.Context(), p.address, "Echo.Say", "hello", &reply)
	if err == nil {
		require.Equal(t, "hello", reply)
	}
	return err
}

func TestAuthorityIsReplacedUnderOpenConnections(t *testing.T) {
	older, newer := newAuthority(t, "older"), newAuthority(t, "newer")
	p := newPair(t, older)
	open := rpcconn.NewPool(p.clientM.Dial)
	defer open.Close()
	require.NoError(t, p.sayOn(t, open))

	// Step 1: all hosts trust both authorities.
	for _, h := range []*host{p.server, p.client} {
		h.write(h.settings.TLSCA, older.pem()+newer.pem())
	}
	p.serverM.look()
	p.clientM.look()
	// Step 2: certificates of the new authority, one host after the other.
	cert, key := newer.issue(hostName, inAnHour())
	p.server.install(cert, key, older.pem()+newer.pem())
	p.serverM.look()
	require.NoError(t, p.say(t, p.clientM), "new server, old client")
	cert, key = newer.issue(hostName, inAnHour())
	p.client.install(cert, key, older.pem()+newer.pem())
	p.clientM.look()
	require.NoError(t, p.say(t, p.clientM))
	// Step 3: the old authority is removed.
	for _, h := range []*host{p.server, p.client} {
		h.write(h.settings.TLSCA, newer.pem())
	}
	p.serverM.look()
	p.clientM.look()
	require.NoError(t, p.say(t, p.clientM))
	require.NoError(t, p.sayOn(t, open), "a connection that was open all the time goes on")
	require.NotContains(t, p.log.String(), "refused")

	// A host that still has a certificate of the old authority is refused.
	left := newHost(t)
	cert, key = older.issue(hostName, inAnHour())
	left.install(cert, key, older.pem()+newer.pem())
	m, err := Open(left.settings, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	require.Error(t, p.say(t, m))
}

func TestStrangersAreRefused(t *testing.T) {
	a := newAuthority(t, "a")
	p := newPair(t, a)
	stranger := newHost(t)
	b := newAuthority(t, "b")
	cert, key := b.issue(hostName, inAnHour())
	stranger.install(cert, key, a.pem()+b.pem())
	m, err := Open(stranger.settings, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	require.Error(t, p.say(t, m), "the server does not trust the client's authority")

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
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the server hangs up")
	require.NoError(t, p.say(t, p.clientM), "others are still served")
}

func TestPeersNeedTheHostsName(t *testing.T) {
	a := newAuthority(t, "a")
	p := newPair(t, a)
	p.serverM.settings.TLSPeerName = hostName
	p.clientM.settings.TLSPeerName = hostName
	require.NoError(t, p.say(t, p.clientM))
	other := newHost(t)
	cert, key := a.issue("callers.example", inAnHour())
	other.install(cert, key, a.pem())
	m, err := Open(other.settings, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	require.Error(t, p.say(t, m))
}

func TestBadFilesLeaveTheOldInForce(t *testing.T) {
	a, b := newAuthority(t, "a"), newAuthority(t, "b")
	cert, key := a.issue(hostName, inAnHour())
	expired, expiredKey := a.issue(hostName, time.Now().Add(-time.Minute))
	foreign, foreignKey := b.issue(hostName, inAnHour())
	cases := map[string]struct{ cert, key, authorities, text string }{
		"half a certificate": {cert[:len(cert)/2], key, a.pem(), "no pair"},
		"half a key":         {cert, key[:len(key)/2], a.pem(), "no pair"},
		"key not yet there":  {cert, expiredKey, a.pem(), "no pair"},
		"empty file":         {"", key, a.pem(), "no pair"},
		"half an authority":  {cert, key, a.pem() + b.pem()[:100], "write the file whole"},
		"no authority":       {cert, key, "", "write the file whole"},
		"key as authority":   {cert, key, key, "certificates only"},
		"wrong authority":    {foreign, foreignKey, a.pem(), "not issued by an authority in --tls-ca"},
		"expired":            {expired, expiredKey, a.pem(), "expired at"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newPair(t, a)
			before := p.serverM.current.Load()
			p.server.install(c.cert, c.key, c.authorities)
			p.serverM.look()
			p.serverM.look()
			require.Same(t, before, p.serverM.current.Load())
			require.Contains(t, p.log.String(), c.text)
			require.Equal(t, 1, bytes.Count(p.log.Bytes(), []byte("old material stays in force")), "logged once")
			require.NoError(t, p.say(t, p.clientM))
			_, err := Open(p.server.settings, slog.New(slog.DiscardHandler))
			require.ErrorContains(t, err, c.text, "a start with such files is refused")

			p.server.install(cert, key, a.pem())
			p.serverM.look()
			require.NotSame(t, before, p.serverM.current.Load(), "whole files are taken up")
			require.NoError(t, p.say(t, p.clientM))
		})
	}
}

func TestMissingSettingsAreNamed(t *testing.T) {
	_, err := Open(Settings{TLSCert: "x"}, slog.New(slog.DiscardHandler))
	require.ErrorContains(t, err, "--tls-cert, --tls-key and --tls-ca")
	require.True(t, Settings{TLSKey: "x"}.Enabled())
	require.False(t, Settings{}.Enabled())
}

func TestWatchTakesUpFilesOnSignalAndStops(t *testing.T) {
	a := newAuthority(t, "a")
	p := newPair(t, a)
	before := p.serverM.current.Load()
	cert, key := a.issue(hostName, inAnHour())
	p.server.install(cert, key, a.pem())
	ctx, cancel := context.WithCancel(t.Context())
	reload := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.serverM.Watch(ctx, reload)
	}()
	reload <- struct{}{}
	reload <- struct{}{} // taken only after the first look has ended
	require.NotSame(t, before, p.serverM.current.Load())
	cancel()
	<-done
}

func TestCallersNeedNoCertificate(t *testing.T) {
	a := newAuthority(t, "a")
	p := newPair(t, a)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(204) }))
	server.Listener = tls.NewListener(server.Listener, p.serverM.CallerConfig())
	server.Start()
	defer server.Close()
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: p.clientM.Authorities(), MinVersion: tls.VersionTLS12}}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	response, err := client.Get("https://" + server.Listener.Addr().String())
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, 204, response.StatusCode)
}
