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
	engines     = "engines"
	desk        = "desk"
	account     = "skippers"
	annexes     = 3 // services that the route "switch" goes round, one a version
	engineCount = 5
	deskCount   = 3
)

// version is a configuration that was acknowledged.
type version struct {
	number      int
	sent, acked time.Time
}

// withdrawal is an API key that was taken away.
type withdrawal struct {
	key   string
	acked time.Time
}

// world is everything that one seed plays with.
type world struct {
	t        testing.TB
	random   *rand.Rand // of the goroutine that disturbs
	store    *standin.Store
	storeAt  string
	engines  *standin.Engines
	hosts    []*host
	troubles *troubles

	recovered time.Time

	storeMu sync.Mutex // held while a fault of the store is set

	mu       sync.Mutex
	targets  []*target            // guarded by mu
	versions []version            // guarded by mu
	keys     []string             // guarded by mu; in force, the newest last
	added    map[string]time.Time // guarded by mu; when keys came in force
	removed  []withdrawal         // guarded by mu
	numbers  int                  // guarded by mu; of targets
}

func newWorld(t testing.TB, seed uint64, hosts int, options ...func(*harness.Process)) *world {
	w := &world{t: t, random: rand.New(rand.NewPCG(seed, 1)), store: standin.NewStore(memstore.Options{Seed: seed}),
		engines: standin.NewEngines(), troubles: &troubles{}, keys: []string{"key-0", "key-1"}, added: make(map[string]time.Time)}
	server := httptest.NewServer(w.store)
	w.storeAt = server.Listener.Addr().String()
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	w.configure()
	for range engineCount {
		w.addEngine()
	}
	for range deskCount {
		w.addDesk(desk)
	}
	for n := range annexes {
		w.addDesk(annex(n))
	}
	dir := t.TempDir()
	for n := range hosts {
		w.hosts = append(w.hosts, w.startHost(dir, n, options...))
	}
	for _, h := range w.hosts {
		harness.Await(t, harness.DrainLimit, h.name+" ready", h.ready)
	}
	return w
}

func annex(version int) string { return fmt.Sprintf("annex-%d", version%annexes) }

// configure puts the next version in force: the route "switch" goes to another
// service.
func (w *world) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	number := len(w.versions) + 1
	config := standin.Configuration{
		Version: number, Timeout: callDeadline, EngineService: engines, PlainServices: []string{desk}, Account: account, Keys: w.keys,
		Routes: []standin.Route{
			{Name: "draft", Kind: standin.Streaming, Service: engines, Objective: 1800 * time.Millisecond, Attempts: 1},
			{Name: "hold", Kind: standin.NonIdempotent, Service: desk, Objective: 100 * time.Millisecond, Attempts: 1},
			{Name: "check", Kind: standin.Idempotent, Service: desk, Objective: 100 * time.Millisecond, Attempts: 2},
			{Name: "switch", Kind: standin.Idempotent, Service: annex(number), Objective: 100 * time.Millisecond, Attempts: 1},
		},
	}
	for n := range annexes {
		config.PlainServices = append(config.PlainServices, annex(n))
	}
	raw, err := config.Encode()
	require.NoError(w.t, err)
	v := version{number: number, sent: time.Now()}
	w.put(platform.ConfigurationKey, raw)
	v.acked = time.Now()
	w.versions = append(w.versions, v)
}

// withdraw takes the older of two keys away and adds a new one.
func (w *world) withdraw() {
	w.mu.Lock()
	gone, fresh := w.keys[0], fmt.Sprintf("key-%d", len(w.added)+2)
	w.keys = []string{w.keys[1], fresh}
	w.added[fresh] = time.Now()
	w.mu.Unlock()
	w.configure()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.added[fresh] = time.Now()
	w.removed = append(w.removed, withdrawal{key: gone, acked: time.Now()})
}

func (w *world) currentKeys() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.keys
}

// put writes as the platform's operator and targets do.
func (w *world) put(key string, value []byte) {
	w.withoutFault(func() error {
		_, err := w.store.Put(context.Background(), key, value, ports.AnyRevision, 0)
		return err
	})
}

// withoutFault calls the store for the operator or a target, whose calls pass no
// fault.
func (w *world) withoutFault(call func() error) {
	w.storeMu.Lock()
	defer w.storeMu.Unlock()
	fault := w.store.Fault()
	w.store.SetFault(memstore.Fault{})
	err := call()
	w.store.SetFault(fault)
	require.NoError(w.t, err)
}

func (w *world) setFault(f memstore.Fault) {
	w.storeMu.Lock()
	defer w.storeMu.Unlock()
	w.store.SetFault(f)
}

func listen(t testing.TB) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return l
}

// ready tells whether a process answers its readiness check.
func (h *host) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + h.readyAt + platform.ReadyPath)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}
