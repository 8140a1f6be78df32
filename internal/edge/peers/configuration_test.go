package peers

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/ejection"
	"corianderhitch/internal/edge/freshness"
	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/policy"
	"corianderhitch/internal/edge/relay"
	"corianderhitch/internal/edge/targets"
	"corianderhitch/internal/platform"
	"corianderhitch/internal/rpcconn"
)

const (
	slowLink   = 10_000_000 / 8 // bytes a second; that of the smallest hosts
	applyBound = 3 * time.Second
)

// slowListener accepts connections whose writes share a link.
type slowListener struct {
	net.Listener
	bytesPerS int
	mu        sync.Mutex // held while the link is busy
}

func (l *slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &slowConn{conn, l}, err
}

type slowConn struct {
	net.Conn
	link *slowListener
}

func (c *slowConn) Write(p []byte) (int, error) {
	const piece = 2 << 10
	written := 0
	for written < len(p) {
		part := p[written:min(len(p), written+piece)]
		c.link.mu.Lock()
		time.Sleep(time.Duration(len(part)) * time.Second / time.Duration(c.link.bytesPerS))
		n, err := c.Conn.Write(part)
		c.link.mu.Unlock()
		if written += n; err != nil {
			return written, err
		}
	}
	return written, nil
}

// configurationOf returns a configuration of about size bytes that can't be compressed much.
func configurationOf(version int64, size int) []byte {
	random := make([]byte, size*3/4)
	_, _ = rand.Read(random)
	raw, _ := json.Marshal(map[string]any{"version": version, "routes": base64.StdEncoding.EncodeToString(random)})
	return raw
}

func decodeVersion(raw []byte) (*policy.Configuration, error) {
	var c policy.Configuration
	return &c, json.Unmarshal(raw, &c)
}

// follow gives a host all that a sync needs, and a configuration that has just been confirmed.
func (e *Exchange) follow(t *testing.T, raw []byte, revision platform.Revision) {
	e.Inflight, e.Health, e.ChangeLog = inflight.New(e.Host), ejection.New(), relay.NewChangeLog(nil)
	e.Targets = targets.New(e.Notices, nil)
	e.Policy = policy.NewHolder(decodeVersion)
	_, err := e.Policy.ApplyIfNewer(raw, revision)
	require.NoError(t, err)
	e.Confirmer = freshness.New(e.Log, func() time.Duration { return time.Hour }, nil)
	e.Confirmer.RecordConfirmation(bootclock.Now())
}

func version(e *Exchange) int64 { return e.Policy.Current().Version }

// startHub starts a hub that follows the store, behind a slow link.
func startHub(t *testing.T, raw []byte, revision platform.Revision) (*Exchange, relay.Host) {
	hub := newExchange()
	hub.Host, hub.FollowsStore = "hub", func() bool { return true }
	hub.follow(t, raw, revision)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	services := rpc.NewServer()
	require.NoError(t, services.RegisterName(serviceName, &service{hub}))
	server := rpcconn.Serve(&slowListener{Listener: listener, bytesPerS: slowLink}, services)
	t.Cleanup(server.Stop)
	return hub, relay.Host{Name: "hub", Address: listener.Addr().String()}
}

// Each answer to a sync carried the whole configuration. It was cut after the timeout of the call and sent
// from its start again, so that the hub seemed dead and the host never got the configuration.
func TestLargeConfigurationReachesHostsOverSlowLinks(t *testing.T) {
	hub, address := startHub(t, configurationOf(1, 100), 1)
	e, logs := newAskingExchange(t, address)
	e.Eras = hub.Eras
	e.follow(t, configurationOf(1, 100), 1)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go e.Run(ctx)
	require.Eventually(t, func() bool { return e.HasLiveHub() }, applyBound, time.Millisecond)

	_, err := hub.Policy.ApplyIfNewer(configurationOf(2, platform.MaxValueBytes), 2)
	require.NoError(t, err)
	applied := time.Now()
	hub.Confirmer.RecordConfirmation(bootclock.Now())
	require.Eventually(t, func() bool { return version(e) == 2 }, applyBound, time.Millisecond)
	require.Eventually(t, func() bool { return e.Confirmer.Age() <= time.Since(applied)+callTimeout }, applyBound, time.Millisecond, "confirmed as well")
	require.Zero(t, logs.countLines("does not answer"))
	require.True(t, e.HasLiveHub())
}

func TestOlderBuildsGetAndSendWholeConfigurations(t *testing.T) {
	hub, _ := startHub(t, configurationOf(2, partBytes+1), 2)
	require.Nil(t, hub.confirmation(policy.Stamp{}, true).Raw)
	whole := hub.confirmation(policy.Stamp{}, false)
	require.NotNil(t, whole.Raw)
	e := newExchange()
	e.follow(t, configurationOf(1, 100), 1)
	require.True(t, e.confirms(whole), "an older hub")
	require.EqualValues(t, 2, version(e))
}

// The only host that had a configuration is gone for good, and with it, after a restore of the store, the configuration: others
// that are older but newer than this host's must still be fetched.
func TestConfigurationWhoseSourcesAreGoneHoldsUpNoOther(t *testing.T) {
	hub, address := startHub(t, configurationOf(2, partBytes+1), 2)
	e, _ := newAskingExchange(t, address)
	e.Eras = hub.Eras
	e.follow(t, configurationOf(1, 100), 1)
	gone := relay.Host{Name: "gone", Address: "127.0.0.1:1"}
	e.applyConfirmation(gone, bootclock.Now(), &Confirmation{Version: 3, Revision: 3})
	require.Eventually(t, func() bool {
		e.sync(t.Context(), address, false)
		return version(e) == 2
	}, applyBound, 10*time.Millisecond)
	require.True(t, e.KnowsNewerConfiguration())
}

// A whole list of many targets was cut and sent again like a large configuration.
func TestWholeListOfTargetsReachesHostsOverSlowLinks(t *testing.T) {
	entries := make([]platform.Entry, 3000)
	for i := range entries {
		value, _ := json.Marshal(map[string]any{"service": "s", "address": "10.0.0.1:8000", "zone": "a", "random": configurationOf(1, 200)})
		entries[i] = platform.Entry{Key: fmt.Sprintf("servers/%d", i), Value: value, Revision: 5}
	}
	hub, address := startHub(t, configurationOf(1, 100), 1)
	hub.ChangeLog = relay.NewChangeLog(discardSink{})
	hub.ChangeLog.Replace(entries, 5, true)
	e, logs := newAskingExchange(t, address)
	e.Eras = hub.Eras
	e.follow(t, configurationOf(1, 100), 1)
	e.ChangeLog = relay.NewChangeLog(discardSink{})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go e.Run(ctx)
	require.Eventually(t, func() bool { return e.ChangeLog.Revision() == 5 && e.HasLiveHub() }, applyBound, time.Millisecond)
	require.Len(t, e.ChangeLog.Since(0, false).Entries, len(entries))
	require.Zero(t, logs.countLines("does not answer"))
}

type discardSink struct{}

func (discardSink) Replace([]platform.Entry, platform.Revision, bool) {}
func (discardSink) Apply([]platform.Event, platform.Revision)         {}
