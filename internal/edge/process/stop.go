package process

import (
	"context"
	"net/http"
	"time"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/sighup"
)

const (
	// readinessDelay is how long the platform may keep sending connections to a host
	// that reports that it is not ready: two probes a second apart, and a margin.
	readinessDelay = 2500 * time.Millisecond
	// exitMargin is the part of the grace period that is reserved for the end of the
	// process itself, such as the last traces and log lines.
	exitMargin = 400 * time.Millisecond
)

// drain first waits until the platform sends callers to other hosts, then until the
// requests in flight have ended. Those that remain shortly before the end of the grace
// period are aborted: abort cancels their contexts.
func (p *Process) drain(server *http.Server, abort context.CancelCauseFunc) {
	started := time.Now()
	p.drainingSince.Store(int64(bootclock.Now()))
	p.log.Info("edge: draining", "runs", p.streaming.Runs.Len(), "grace_ms", p.node.Grace.Milliseconds())
	time.Sleep(min(readinessDelay, p.node.Grace/2))
	ctx, cancel := context.WithTimeout(context.Background(), max(0, p.node.Grace-exitMargin-time.Since(started)))
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		p.log.Warn("edge: grace period ended; remaining requests are aborted", "runs", p.streaming.Runs.Len(),
			"after_ms", time.Since(started).Milliseconds(), "error", err.Error())
		abort(edge.ErrStopping)
		_ = server.Close()
	}
}

// drainAge returns the time since this process began to drain, 0 before.
func (p *Process) drainAge() time.Duration {
	since := p.drainingSince.Load()
	if since == 0 {
		return 0
	}
	return max(1, bootclock.Since(bootclock.Instant(since)))
}

// reload reads the node file again on SIGHUP and logs whether it changed. Changes
// have no effect until the platform restarts the process.
func (p *Process) reload(ctx context.Context, path string) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-sighup.Signals():
		}
		n, err := p.adapter.ReadNode(path)
		if err != nil {
			p.log.Error("edge: node file could not be reloaded; the previous settings stay in force", "error", err.Error())
			continue
		}
		p.log.Info("edge: reload", "changed", n != p.node)
	}
}
