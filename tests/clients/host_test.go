package clients

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	ports "corianderhitch/internal/platform"
	"corianderhitch/internal/platform/memstore"
	"corianderhitch/platform"
	"corianderhitch/platform/headers"
	"corianderhitch/platform/standin"
	"corianderhitch/tests/harness"
)

const (
	apiKey  = "key-1"
	account = "skippers"
	service = "desk"
	// Services whose targets are all at fault; none is started unless a test does.
	faultyService = "faulty-desk"
	faultyEngines = "faulty-engines"
	// memoryMB and descriptors are those of the smallest hosts. reservedDescriptors are not the process's
	// to use.
	memoryMB            = 112
	descriptors         = 3075
	reservedDescriptors = 200
	maxBodyBytes        = 4 << 20
	requestTimeout      = 8 * time.Second
	sampleInterval      = 5 * time.Millisecond
	largeAnswerBytes    = 6 << 20
	middleAnswerBytes   = 250 << 10
)

// host is an edge process with a plain target, and the observer of its memory and descriptors. Like the
// platform, the observer kills a process that exceeds its memory.
type host struct {
	address string
	process *harness.Process
	store   *standin.Store
	// descriptors is how many the settings allow.
	descriptors int

	mu              sync.Mutex
	peakBytes       int64         // guarded by mu; resident memory
	peakDescriptors int           // guarded by mu
	killed          bool          // guarded by mu
	stop            chan struct{} // ends the observer
	stopped         chan struct{}
}

// answer answers a request as its path asks: at once, after a while, or with a large body.
func answer(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	size := 0
	switch {
	case strings.Contains(r.URL.Path, "large"):
		size = largeAnswerBytes
	case strings.Contains(r.URL.Path, "middle"):
		size = middleAnswerBytes
	case strings.Contains(r.URL.Path, "slow"):
		time.Sleep(time.Second)
	}
	if size > 0 {
		w.Header().Set(headers.RequestID, r.Header.Get(headers.RequestID))
		w.Header().Set(headers.Signature, "signed")
		_, _ = w.Write(make([]byte, size))
		return
	}
	standin.Succeed(w, r)
}

func startHost(t *testing.T, maxDescriptors int) *host {
	t.Helper()
	store := standin.NewStore(memstore.Options{})
	listener := harness.FreeListener(t)
	server := &http.Server{Handler: store}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	target := standin.StartPlainTarget("d-1", harness.FreeListener(t))
	target.SetHandler(answer)
	t.Cleanup(target.Close)
	config := standin.Configuration{Version: 1, Timeout: requestTimeout, PlainServices: []string{service, faultyService}, EngineService: faultyEngines, Account: account, Keys: []string{apiKey}, MaxBodyBytes: maxBodyBytes,
		Routes: []standin.Route{
			{Name: "hold", Kind: standin.NonIdempotent, Service: service, Objective: 100 * time.Millisecond, Attempts: 1},
			{Name: "check", Kind: standin.Idempotent, Service: faultyService, Objective: 100 * time.Millisecond, Attempts: 3},
			{Name: "lookup", Kind: standin.Streaming, Service: faultyEngines, Objective: 1500 * time.Millisecond, Attempts: 3, Resumable: true},
		}}
	raw, err := config.Encode()
	require.NoError(t, err)
	_, err = store.Put(t.Context(), platform.ConfigurationKey, raw, ports.AnyRevision, 0)
	require.NoError(t, err)
	_, err = store.Put(t.Context(), platform.TargetPrefix+target.ID, standin.TargetEntry(service, target.Address(), "ready", 1000), ports.AnyRevision, 0)
	require.NoError(t, err)
	h := &host{store: store, address: harness.FreeAddress(t), descriptors: maxDescriptors, stop: make(chan struct{}), stopped: make(chan struct{})}
	ready, port, dir := harness.FreeAddress(t), harness.FreePorts(t, 2), t.TempDir()
	settings, err := json.Marshal(map[string]any{
		"nodeName": "host-1", "ip": "127.0.0.1", "zone": "a", "region": "r", "zones": map[string]string{"a": "r"}, "listen": map[string]string{"front": h.address, "ready": ready},
		"internalPorts": []int{port, port + 1}, "heartbeatMs": 1200,
		"limits":   map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": memoryMB, "maxFds": maxDescriptors, "linkMbps": 1000},
		"bounds":   map[string]any{"graceS": 8, "revokeStrict": true, "revokeMs": 5000, "configApplyMs": 3000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retrySlack": 52},
		"platform": map[string]any{"address": listener.Addr().String()},
	})
	require.NoError(t, err)
	file := filepath.Join(dir, "host.json")
	require.NoError(t, os.WriteFile(file, settings, 0o600))
	h.process = &harness.Process{Name: "edge", Path: edgePath, Args: []string{"--node-file", file}, LogPath: filepath.Join(dir, "edge.log")}
	h.process.Start(t)
	t.Cleanup(func() { h.process.KillAndShowLog(t) })
	harness.Await(t, 10*time.Second, "host ready", func() bool {
		response, err := http.Get("http://" + ready + platform.ReadyPath)
		if err != nil {
			return false
		}
		defer func() { _ = response.Body.Close() }()
		return response.StatusCode == http.StatusOK
	})
	go h.observe()
	t.Cleanup(h.endObserver)
	require.Equal(t, http.StatusOK, h.ordinary("before"), "an ordinary request before the crowd")
	return h
}

func (h *host) endObserver() {
	select {
	case <-h.stop:
	default:
		close(h.stop)
	}
	<-h.stopped
}

func (h *host) observe() {
	defer close(h.stopped)
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-h.stop:
			return
		case <-h.process.Ended():
			return
		case <-ticker.C:
		}
		resident, open := h.residentBytes(), h.openDescriptors()
		h.mu.Lock()
		h.peakBytes, h.peakDescriptors = max(h.peakBytes, resident), max(h.peakDescriptors, open)
		h.killed = resident > memoryMB<<20
		killed := h.killed
		h.mu.Unlock()
		if killed {
			h.process.Kill()
			return
		}
	}
}

// residentBytes returns the resident memory of the process, 0 if it has ended.
func (h *host) residentBytes() int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", h.process.PID()))
	if err != nil {
		return 0
	}
	fields := bytes.Fields(status)
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(string(fields[1]), 10, 64)
	return pages * int64(os.Getpagesize())
}

func (h *host) openDescriptors() int {
	dir, err := os.Open(fmt.Sprintf("/proc/%d/fd", h.process.PID()))
	if err != nil {
		return 0
	}
	defer func() { _ = dir.Close() }()
	names, _ := dir.Readdirnames(-1)
	return len(names)
}

// ordinary sends a small request, as ordinary callers do, and returns its status, 0 if none came.
func (h *host) ordinary(id string) int {
	conn, err := net.DialTimeout("tcp", h.address, requestTimeout)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	c := &client{conn: conn}
	c.write(head(id, "/hold/x", "", 600) + strings.Repeat("x", 600))
	return c.status()
}

// requireBounded checks what every test checks, after its crowd has been there for a while. The crowd
// is still there.
func (h *host) requireBounded(t *testing.T) {
	t.Helper()
	status := h.ordinary("ordinary")
	h.endObserver()
	h.mu.Lock()
	defer h.mu.Unlock()
	t.Logf("peak memory %.1f MB of %d MB, peak descriptors %d, killed %t, ordinary request %d", float64(h.peakBytes)/(1<<20), memoryMB, h.peakDescriptors, h.killed, status)
	require.False(t, h.killed, "the process exceeded its memory of %d MB and was killed", memoryMB)
	select {
	case <-h.process.Ended():
		require.Fail(t, "the process ended", h.process.ExitReason())
	default:
	}
	require.LessOrEqual(t, h.peakDescriptors, h.descriptors-reservedDescriptors)
	require.Equal(t, http.StatusOK, status, "an ordinary request")
}
