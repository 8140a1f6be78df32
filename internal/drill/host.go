package drill

import (
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"corianderhitch/internal/drill/record"
)

// host is one edge host. A goroutine that disturbs its process holds mu.
type host struct {
	name, ip, domain string
	fleet            *fleet
	settings         string // path of the settings file
	logPath          string

	mu      sync.Mutex
	process *process // guarded by mu
	started bool     // guarded by mu; it has been started before

	inRotation atomic.Bool
	ready      atomic.Bool // since its last start
	stopping   atomic.Bool // a disturbance ends its process
	used       atomic.Int64
}

// start starts the process. Callers hold mu.
func (h *host) start() error {
	h.ready.Store(false)
	program := h.fleet.options.EdgePath
	if before := h.fleet.options.EdgeBefore; before != "" && !h.started {
		program = before
	}
	p, err := startProcess(h.logPath, nil, program, "--node-file", h.settings)
	if err != nil {
		return err
	}
	h.process, h.started = p, true
	h.stopping.Store(false)
	h.fleet.log.Host(h.name, record.Started)
	go h.watch(p)
	return nil
}

// watch records the exit of a process, and starts it again if nobody ended it.
func (h *host) watch(p *process) {
	<-p.done
	h.used.Add(int64(p.processorTime()))
	h.fleet.log.Host(h.name, record.Exited)
	close(p.recorded)
	if h.stopping.Load() || h.fleet.ctx.Err() != nil {
		return
	}
	h.fleet.logger.Error("drill: host exited by itself", "host", h.name, "state", p.cmd.ProcessState.String())
	h.fleet.unexpectedExits.Add(1)
	h.fleet.log.Host(h.name, record.Unasked)
	if sleep(h.fleet.ctx, restartPause) != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == p {
		_ = h.start()
	}
}

// restartPause is the time after which the platform starts a process again that exited.
const restartPause = 300 * time.Millisecond

// terminate asks the process to exit and kills it after the grace period. Callers hold mu.
func (h *host) terminate(grace time.Duration) {
	h.stopping.Store(true)
	h.fleet.log.Host(h.name, record.Term)
	h.process.signal(syscall.SIGTERM)
	select {
	case <-h.process.done:
	case <-time.After(grace):
		h.fleet.log.Host(h.name, record.Killed)
		h.fleet.killedAfterGrace.Add(1)
		h.process.kill()
	}
	<-h.process.recorded
}

// kill kills the process without notice. Callers hold mu.
func (h *host) kill() {
	h.stopping.Store(true)
	h.fleet.log.Host(h.name, record.Killed)
	h.process.kill()
	<-h.process.recorded
}

// reload sends SIGHUP. Callers hold mu.
func (h *host) reload() {
	if h.process.hasExited() || !h.ready.Load() {
		return // a process that has just started doesn't handle the signal yet
	}
	h.fleet.log.Host(h.name, record.Hup)
	h.process.signal(syscall.SIGHUP)
}

// writeSettings writes the settings file.
func (h *host) writeSettings(dir, store string) error {
	f := h.fleet
	raw, err := f.platform.HostSettings(f.deployment, HostSettings{Name: h.name, IP: h.ip, Domain: h.domain, Store: store, First: true})
	if err != nil {
		return eris.Wrapf(err, "settings of %s", h.name)
	}
	h.settings, h.logPath = filepath.Join(dir, h.name+".json"), filepath.Join(dir, h.name+".log")
	return eris.Wrapf(os.WriteFile(h.settings, raw, 0o600), "settings of %s", h.name)
}
