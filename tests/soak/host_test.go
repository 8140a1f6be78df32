package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/tests/harness"
)

// host is one edge process with the proxy through which it reaches the store.
type host struct {
	name             string
	callerAddress    string
	readinessAddress string
	storeProxy       *harness.Proxy
	process          *harness.Process
	grace            time.Duration // from SIGTERM to SIGKILL

	mu        sync.Mutex  // held while a fault of the process lasts
	startedAt []time.Time // guarded by cluster.mu; each start of the process

	reloadedAt time.Time // guarded by mu; when the last SIGHUP was sent
	logOffset  int       // guarded by mu; size of the log when the process was last started
}

func (c *cluster) startHost(dir string, n int, options ...func(*harness.Process)) *host {
	h := &host{name: fmt.Sprintf("host-%d", n), grace: c.site.grace, callerAddress: harness.FreeAddress(c.t), readinessAddress: harness.FreeAddress(c.t), storeProxy: harness.NewProxy(c.t, c.storeAddress)}
	port := harness.FreePorts(c.t, 2)
	settings, err := json.Marshal(map[string]any{
		"nodeName": h.name, "ip": "127.0.0.1", "zone": "a", "listen": map[string]string{"front": h.callerAddress, "ready": h.readinessAddress},
		"internalPorts": []int{port, port + 1}, "heartbeatMs": heartbeatInterval.Milliseconds(),
		"limits": map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 134, "linkMbps": 1000},
		"bounds": map[string]any{"graceS": c.site.grace.Seconds(), "revokeStrict": true, "revokeMs": c.site.revoke.Milliseconds(),
			"configApplyMs": c.site.apply.Milliseconds(), "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retrySlack": c.site.retrySlack},
		"platform": map[string]any{"address": h.storeProxy.Address()},
	})
	require.NoError(c.t, err)
	file := filepath.Join(dir, h.name+".json")
	require.NoError(c.t, os.WriteFile(file, settings, 0o600))
	h.process = &harness.Process{Name: h.name, Path: edgePath, Args: []string{"--node-file", file}, LogPath: filepath.Join(dir, h.name+".log")}
	for _, option := range options {
		option(h.process)
	}
	c.start(h)
	c.t.Cleanup(func() { h.process.KillAndShowLog(c.t) })
	return h
}

// start starts the process. Callers hold h.mu, except before the traffic.
func (c *cluster) start(h *host) {
	if written, err := os.Stat(h.process.LogPath); err == nil {
		h.logOffset = int(written.Size())
	}
	h.process.Start(c.t)
	c.mu.Lock()
	h.startedAt = append(h.startedAt, time.Now())
	c.mu.Unlock()
}

// crashAndRestart kills the process and starts it again after the pause.
func (c *cluster) crashAndRestart(h *host, pause time.Duration) {
	c.disturbProcess(h, "crash", func() {
		h.process.Kill()
		time.Sleep(pause)
		c.start(h)
	})
}

// stopAndRestart stops the process as planned and starts it again.
func (c *cluster) stopAndRestart(h *host) {
	c.disturbProcess(h, plannedStop, func() {
		h.terminate()
		c.start(h)
	})
}

// terminate asks the process to exit and kills it after the grace period, as the
// platform does. Callers hold h.mu.
func (h *host) terminate() {
	h.process.Signal(syscall.SIGTERM)
	select {
	case <-h.process.Ended():
	case <-time.After(h.grace):
		h.process.Kill()
	}
}

// freeze suspends the process for the length of the pause.
func (c *cluster) freeze(h *host, pause time.Duration) {
	c.disturbProcess(h, "freeze", func() {
		h.process.Freeze()
		time.Sleep(pause)
		h.process.Thaw()
	})
}

// disturbProcess plays a fault of a process after those that last. It is recorded from when
// it begins.
func (c *cluster) disturbProcess(h *host, kind string, fault func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c.disturbances.during(h.name, kind, fault)
}

// isLoaded reports whether the current run of the process has written its first line. By
// then it handles SIGHUP; before that the signal's default action ends it. A process that is
// frozen right after its start takes as long as it is frozen.
func (h *host) isLoaded() bool {
	text, err := os.ReadFile(h.process.LogPath)
	return err == nil && bytes.Contains(text[min(h.logOffset, len(text)):], []byte(`"msg":"edge: start"`))
}

// reloadSettings sends SIGHUP, upon which the process reads its settings again.
func (c *cluster) reloadSettings(h *host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	harness.Await(c.t, harness.DrainTimeout, h.name+" loaded", h.isLoaded)
	h.reloadedAt = time.Now()
	h.process.Signal(syscall.SIGHUP)
}

// isAlive reports whether the process runs. It waits for the end of a fault first.
func (h *host) isAlive() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.process.Ended():
		return false
	default:
		return true
	}
}

// stopHosts stops all processes as planned. The test fails if one has exited before, also if it was started again.
func (c *cluster) stopHosts() {
	var wait sync.WaitGroup
	for _, h := range c.hosts {
		for _, reason := range h.process.UnaskedExits() {
			c.t.Errorf("%s ended by itself: %s", h.name, reason)
		}
		if !h.isAlive() {
			c.t.Errorf("%s exited unexpectedly: %s; its last start was at %s, the last SIGHUP at %s", h.name, h.process.ExitReason(),
				h.startedAt[len(h.startedAt)-1].Format(timeLayout), h.reloadedAt.Format(timeLayout))
			continue
		}
		wait.Go(func() {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.terminate()
		})
	}
	wait.Wait()
}
