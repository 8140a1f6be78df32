// Package edge_test runs edge processes against stand-ins of the users'
// platform: its store, plain services and model engines, written from the
// published protocol.
package edge_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/node"
	"corianderhitch/internal/edge/peers"
	"corianderhitch/internal/edge/process"
	ports "corianderhitch/internal/platform"
	"corianderhitch/internal/platform/memstore"
	"corianderhitch/platform"
	"corianderhitch/platform/standin"
)

const (
	key        = "key-1"
	account    = "skippers"
	engines    = "engines"
	desk       = "desk"
	patience   = 8 * time.Second // of callers and routes
	waitFor    = 10 * time.Second
	checkEvery = 5 * time.Millisecond
)

// fleet is a number of hosts before one store.
type fleet struct {
	t       *testing.T
	store   *memstore.Store
	hosts   []*host
	version int
	keys    []string
	grace   time.Duration
}

type host struct {
	front, ready string
	stop         func() // sends what SIGTERM sends
	done         chan error
	logs         *safeBuffer
	cut          *cutStore
}

// cutStore is the store as one host reaches it.
type cutStore struct {
	*memstore.Store
	mu  sync.Mutex
	off bool
}

func (c *cutStore) set(off bool) {
	c.mu.Lock()
	c.off = off
	c.mu.Unlock()
}

func (c *cutStore) gone() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.off
}

func (c *cutStore) Get(ctx context.Context, key string) (ports.Entry, error) {
	if c.gone() {
		return ports.Entry{}, ports.ErrUnavailable
	}
	return c.Store.Get(ctx, key)
}

func (c *cutStore) List(ctx context.Context, prefix, after string, limit int) ([]ports.Entry, ports.Revision, error) {
	if c.gone() {
		return nil, 0, ports.ErrUnavailable
	}
	return c.Store.List(ctx, prefix, after, limit)
}

func (c *cutStore) ListStale(ctx context.Context, prefix string) ([]ports.Entry, ports.Revision, error) {
	return c.List(ctx, prefix, "", 0)
}

func (c *cutStore) Watch(ctx context.Context, prefix string, after ports.Revision) ([]ports.Event, ports.Revision, error) {
	if c.gone() {
		return nil, 0, ports.ErrUnavailable
	}
	events, next, err := c.Store.Watch(ctx, prefix, after)
	if c.gone() {
		return nil, 0, ports.ErrUnavailable
	}
	return events, next, err
}

type safeBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *safeBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *safeBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

func newFleet(t *testing.T) *fleet {
	return &fleet{t: t, store: memstore.New(memstore.Options{}), keys: []string{key}, grace: 600 * time.Millisecond}
}

// configure writes the next version of the configuration.
func (f *fleet) configure() {
	f.version++
	config := standin.Configuration{
		Version: f.version, Timeout: patience, EngineService: engines, PlainServices: []string{desk}, Account: account, Keys: f.keys,
		Routes: []standin.Route{
			{Name: "draft", Kind: standin.Streaming, Service: engines, Objective: 1800 * time.Millisecond, Attempts: 1},
			{Name: "hold", Kind: standin.NonIdempotent, Service: desk, Objective: 100 * time.Millisecond, Attempts: 1},
			{Name: "check", Kind: standin.Idempotent, Service: desk, Objective: 100 * time.Millisecond, Attempts: 2},
		},
	}
	raw, err := config.Encode()
	require.NoError(f.t, err)
	_, err = f.store.Put(f.t.Context(), platform.ConfigurationKey, raw, ports.AnyRevision, 0)
	require.NoError(f.t, err)
}

// register writes a target's entry.
func (f *fleet) register(id, service, address, state string) {
	_, err := f.store.Put(f.t.Context(), platform.TargetPrefix+id, standin.TargetEntry(service, address, state, 6), ports.AnyRevision, 0)
	require.NoError(f.t, err)
}

// start runs one more host and waits until it is ready.
func (f *fleet) start() *host {
	n := len(f.hosts)
	front, ready := freeAddress(f.t), freeAddress(f.t)
	peer := freeAddress(f.t)
	_, portText, err := net.SplitHostPort(peer)
	require.NoError(f.t, err)
	port, err := strconv.Atoi(portText)
	require.NoError(f.t, err)
	h := &host{front: front, ready: ready, done: make(chan error, 1), logs: &safeBuffer{}, cut: &cutStore{Store: f.store}}
	adapter := platform.Adapter()
	adapter.LogOutput = h.logs
	adapter.NewStore = func(string) peers.Store { return h.cut }
	adapter.ReadNode = func(string) (node.Node, error) {
		return node.Node{
			Name: fmt.Sprintf("host-%d", n), IP: "127.0.0.1", Domain: "a", CallerAddress: front, ReadinessAddress: ready, StoreAddress: "test",
			FirstPort: port, Grace: f.grace, RevokeStrict: true, RevokeWithin: 2 * time.Second,
			Retry: node.RetryBudget{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}, TargetHeartbeat: 1200 * time.Millisecond,
		}, nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	go func() {
		h.done <- process.Run(adapter)(ctx, nil, process.Settings{MemoryShare: 70, ReplicaShare: 60, LogLevel: "info"})
	}()
	f.t.Cleanup(func() {
		cancel()
		select {
		case err := <-h.done:
			require.NoError(f.t, err)
		case <-time.After(waitFor):
			f.t.Error("the edge process did not stop")
		}
		if f.t.Failed() {
			f.t.Logf("log of host %d:\n%s", n, h.logs.String())
		}
	})
	f.hosts = append(f.hosts, h)
	require.Eventually(f.t, h.isReady, waitFor, checkEvery)
	return h
}

func (h *host) isReady() bool {
	response, err := http.Get("http://" + h.ready + platform.ReadyPath)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

// nextPort counts the ports that freeAddress has tried. They lie below the range
// from which the kernel takes the ports of outgoing connections.
var nextPort atomic.Int32

const (
	firstPort = 21000
	portCount = 9000
)

func freeAddress(t *testing.T) string {
	for range portCount {
		port := firstPort + (os.Getpid()*37+int(nextPort.Add(1)))%portCount
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		require.NoError(t, l.Close())
		return l.Addr().String()
	}
	t.Fatal("no free port")
	return ""
}

// request builds a caller's request.
func (h *host) request(ctx context.Context, method, route, id string, body []byte) *http.Request {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+h.front+"/"+route+"/x?y=%2F1", bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Host = "desk.example"
	r.GetBody = nil // the caller's transport must not repeat it either
	(&standin.Call{ID: id, APIKey: key, Timeout: patience}).SetHeaders(r)
	return r
}

// client sends each request on a connection of its own.
func client() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
}

type answer struct {
	status int
	header http.Header
	body   string
	err    error // of the body, or of the whole request
}

func send(r *http.Request) answer {
	response, err := client().Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}
