package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/tests/harness"
)

// host is one edge process with the proxy through which it reaches the store.
type host struct {
	name    string
	front   string
	readyAt string
	store   *harness.Proxy
	process *harness.Process

	mu    sync.Mutex  // held while a fault of the process goes on
	began []time.Time // guarded by its world's mu; starts of the process
}

func (w *world) startHost(dir string, n int, options ...func(*harness.Process)) *host {
	h := &host{name: fmt.Sprintf("host-%d", n), front: harness.FreeAddress(w.t), readyAt: harness.FreeAddress(w.t), store: harness.NewProxy(w.t, w.storeAt)}
	_, text, err := net.SplitHostPort(harness.FreeAddress(w.t))
	require.NoError(w.t, err)
	port, err := strconv.Atoi(text)
	require.NoError(w.t, err)
	settings, err := json.Marshal(map[string]any{
		"nodeName": h.name, "ip": "127.0.0.1", "zone": "a", "listen": map[string]string{"front": h.front, "ready": h.readyAt},
		"internalPorts": []int{port, port}, "heartbeatMs": heartbeat.Milliseconds(),
		"limits": map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 134, "linkMbps": 1000},
		"bounds": map[string]any{"graceS": grace.Seconds(), "revokeStrict": true, "revokeMs": revokeWithin.Milliseconds(),
			"retryBudgetRatio": 0.2, "budgetWindowS": 10, "retrySlack": 50},
		"platform": map[string]any{"address": h.store.Address()},
	})
	require.NoError(w.t, err)
	file := filepath.Join(dir, h.name+".json")
	require.NoError(w.t, os.WriteFile(file, settings, 0o600))
	h.process = &harness.Process{Name: h.name, Path: edgePath, Args: []string{"--node-file", file}, Log: filepath.Join(dir, h.name+".log")}
	for _, option := range options {
		option(h.process)
	}
	w.start(h)
	w.t.Cleanup(func() { h.process.End(w.t) })
	return h
}

func (w *world) start(h *host) {
	h.process.Start(w.t)
	w.mu.Lock()
	h.began = append(h.began, time.Now())
	w.mu.Unlock()
}

// crash kills the process and starts it again after a while.
func (w *world) crash(h *host, pause time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.process.Kill()
	time.Sleep(pause)
	w.start(h)
}

// stop asks the process to end, kills it after the grace period as the platform
// does, and starts it again.
func (w *world) stop(h *host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.end()
	w.start(h)
}

// end is stop without the start. Callers hold h.mu.
func (h *host) end() {
	h.process.Signal(syscall.SIGTERM)
	select {
	case <-h.process.Ended():
	case <-time.After(grace):
		h.process.Kill()
	}
}

// freeze suspends the process for a while.
func (h *host) freeze(pause time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.process.Freeze()
	time.Sleep(pause)
	h.process.Thaw()
}

// loading is how long a loaded program may take to install its handlers. Traced by
// signals sent 0 to 20 ms after the start: none ended the process after 4 ms, of
// which it is loaded for 3.
const loading = 30 * time.Millisecond

// loaded tells whether the system has loaded the program: its runtime catches
// hangups. Before that a signal does to it what the system does by default.
func (h *host) loaded() bool {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.process.PID()))
	if err != nil {
		return true // it has ended, which stopHosts reports
	}
	_, rest, _ := strings.Cut(string(text), "SigCgt:")
	caught, err := strconv.ParseUint(strings.Fields(rest + " 0")[0], 16, 64)
	return err == nil && caught&(1<<(syscall.SIGHUP-1)) != 0
}

// hangup tells the process that its settings changed.
func (w *world) hangup(h *host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	w.mu.Lock()
	began := h.began[len(h.began)-1]
	w.mu.Unlock()
	time.Sleep(time.Until(began.Add(loading)))
	if !h.loaded() {
		harness.Await(w.t, harness.DrainLimit, h.name+" loaded", h.loaded)
		time.Sleep(loading)
	}
	h.process.Signal(syscall.SIGHUP)
}

// alive tells whether the process runs, once no fault goes on.
func (h *host) alive() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.process.Ended():
		return false
	default:
		return true
	}
}

// stopHosts ends all processes as planned. One that has ended by itself is a
// failure.
func (w *world) stopHosts() {
	var wait sync.WaitGroup
	for _, h := range w.hosts {
		if !h.alive() {
			w.t.Errorf("%s ended by itself with code %d", h.name, h.process.ExitCode())
			continue
		}
		wait.Go(func() {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.end()
		})
	}
	wait.Wait()
}
