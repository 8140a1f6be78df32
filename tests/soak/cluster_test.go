package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	ports "corianderhitch/internal/platform"
	"corianderhitch/internal/platform/memstore"
	"corianderhitch/platform"
	"corianderhitch/platform/standin"
	"corianderhitch/tests/harness"
)

const (
	engineService      = "engines"
	plainService       = "desk"
	clientAccount      = "skippers"
	switchServiceCount = 3 // services that the route "switch" cycles through, one per version
	engineCount        = 5
	plainTargetCount   = 3
	lookupAttempts     = 2
)

// routeAttempts is how many targets a request of a route may run at.
var routeAttempts = map[string]int{"draft": 1, "lookup": lookupAttempts, "hold": 1, "check": 2, "switch": 1}

// site is the part of the platform's settings in which clusters differ.
type site struct {
	grace, revoke, apply, callTimeout time.Duration
	retrySlack                        int
	domains                           int // failure domains of the targets; 0 for one
}

// soakSite has bounds that a short run reaches. apply is unset: hosts use their default.
var soakSite = site{grace: gracePeriod, revoke: revokeBound, callTimeout: callTimeout, retrySlack: 50}

// configVersion is a version of the configuration that the store has acknowledged.
type configVersion struct {
	number      int
	sent, acked time.Time
}

// keyRevocation is the revocation of an API key that the store has acknowledged.
type keyRevocation struct {
	key   string
	acked time.Time
}

// cluster is a deployment under test: the store, engines, plain targets and hosts
// that one seed runs with.
type cluster struct {
	t            testing.TB
	site         site
	random       *rand.Rand // used only by the goroutine that injects faults
	store        *standin.Store
	storeAddress string
	engines      *standin.Engines
	hosts        []*host
	disturbances *disturbanceLog

	recoveredAt time.Time

	storeMu sync.Mutex        // serializes bypassFault and setFault
	written map[string][]byte // guarded by storeMu; last values of the operator and the targets, nil if deleted

	mu             sync.Mutex
	targets        []*target            // guarded by mu
	versions       []configVersion      // guarded by mu
	keys           []string             // guarded by mu; valid API keys, the newest last
	keyAddedAt     map[string]time.Time // guarded by mu; when keys became valid
	revocations    []keyRevocation      // guarded by mu
	targetsStarted int                  // guarded by mu; number of the last target
	limits         []namedLimit         // guarded by mu
}

func newCluster(t testing.TB, seed uint64, hosts int, options ...func(*harness.Process)) *cluster {
	return newClusterAt(t, soakSite, seed, hosts, options...)
}

func newClusterAt(t testing.TB, s site, seed uint64, hosts int, options ...func(*harness.Process)) *cluster {
	c := &cluster{t: t, site: s, random: rand.New(rand.NewPCG(seed, 1)), store: standin.NewStore(memstore.Options{Seed: seed}),
		engines: standin.NewEngines(), disturbances: &disturbanceLog{}, keys: []string{"key-0", "key-1"}, keyAddedAt: make(map[string]time.Time), written: make(map[string][]byte)}
	server := httptest.NewServer(c.store)
	c.storeAddress = server.Listener.Addr().String()
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	c.applyNextVersion()
	for range engineCount {
		c.addEngine()
	}
	for range plainTargetCount {
		c.addPlainTarget(plainService)
	}
	for n := range switchServiceCount {
		c.addPlainTarget(switchService(n))
	}
	dir := t.TempDir()
	for n := range hosts {
		c.hosts = append(c.hosts, c.startHost(dir, n, options...))
	}
	for _, h := range c.hosts {
		harness.Await(t, harness.DrainTimeout, h.name+" ready", h.isReady)
	}
	return c
}

func switchService(version int) string { return fmt.Sprintf("annex-%d", version%switchServiceCount) }

// applyNextVersion writes the next version of the configuration, which routes
// "switch" to another service.
func (c *cluster) applyNextVersion() {
	c.mu.Lock()
	defer c.mu.Unlock()
	number := len(c.versions) + 1
	config := standin.Configuration{
		Version: number, Timeout: c.site.callTimeout, EngineService: engineService, PlainServices: []string{plainService}, Account: clientAccount, Keys: c.keys,
		Routes: []standin.Route{
			{Name: "draft", Kind: standin.Streaming, Service: engineService, Objective: 1800 * time.Millisecond, Attempts: routeAttempts["draft"]},
			{Name: "lookup", Kind: standin.Streaming, Service: engineService, Objective: 1500 * time.Millisecond, Attempts: routeAttempts["lookup"], Resumable: true},
			{Name: "hold", Kind: standin.NonIdempotent, Service: plainService, Objective: 100 * time.Millisecond, Attempts: routeAttempts["hold"]},
			{Name: "check", Kind: standin.Idempotent, Service: plainService, Objective: 100 * time.Millisecond, Attempts: routeAttempts["check"]},
			{Name: "switch", Kind: standin.Idempotent, Service: switchService(number), Objective: 100 * time.Millisecond, Attempts: routeAttempts["switch"]},
		},
	}
	for n := range switchServiceCount {
		config.PlainServices = append(config.PlainServices, switchService(n))
	}
	raw, err := config.Encode()
	require.NoError(c.t, err)
	v := configVersion{number: number, sent: time.Now()}
	c.put(platform.ConfigurationKey, raw)
	v.acked = time.Now()
	c.versions = append(c.versions, v)
}

// rotateKeys revokes the older of the two keys and adds a new one.
func (c *cluster) rotateKeys() {
	c.mu.Lock()
	revoked, added := c.keys[0], fmt.Sprintf("key-%d", len(c.keyAddedAt)+2)
	c.keys = []string{c.keys[1], added}
	c.keyAddedAt[added] = time.Now()
	c.mu.Unlock()
	c.applyNextVersion()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keyAddedAt[added] = time.Now()
	c.revocations = append(c.revocations, keyRevocation{key: revoked, acked: time.Now()})
}

func (c *cluster) currentKeys() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.keys
}

// put writes to the store on behalf of the operator or a target.
func (c *cluster) put(key string, value []byte) {
	c.bypassFault(func() error {
		c.written[key] = value
		_, err := c.store.Put(context.Background(), key, value, ports.AnyRevision, 0)
		return err
	})
}

// remove deletes a key on behalf of a target.
func (c *cluster) remove(key string) {
	c.bypassFault(func() error {
		c.written[key] = nil
		return c.store.Delete(context.Background(), key, ports.AnyRevision)
	})
}

// bypassFault lifts the store's fault for a call of the operator or a target, which
// are not subject to faults.
func (c *cluster) bypassFault(call func() error) {
	c.storeMu.Lock()
	defer c.storeMu.Unlock()
	fault := c.store.Fault()
	c.store.SetFault(memstore.Fault{})
	err := call()
	c.store.SetFault(fault)
	require.NoError(c.t, err)
}

func (c *cluster) setFault(f memstore.Fault) {
	c.storeMu.Lock()
	defer c.storeMu.Unlock()
	c.store.SetFault(f)
}

func listen(t testing.TB) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return l
}

// isReady reports whether the process answers its readiness check with 200.
func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + h.readinessAddress + platform.ReadyPath)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}
