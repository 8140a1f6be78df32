package process

import (
	"context"
	"net/http"
	"time"

	"corianderhitch/internal/sighup"
)

const (
	// rotationDelay is how long the platform goes on sending connections to a
	// host that says it is not ready: two probes a second apart, and a margin.
	readinessDelay = 2500 * time.Millisecond
	// exitMargin is left of the grace period for the end of the process itself.
	exitMargin = 400 * time.Millisecond
)

// drain stops the process without cutting a request off: callers are sent
// elsewhere first, then what is in flight ends.
func (p *Process) drain(server *http.Server) {
	started := time.Now()
	p.draining.Store(true)
	p.log.Info("edge: stopping", "runs", p.streaming.Runs.Len(), "grace_ms", p.node.Grace.Milliseconds())
	time.Sleep(min(readinessDelay, p.node.Grace/2))
	ctx, cancel := context.WithTimeout(context.Background(), max(0, p.node.Grace-exitMargin-time.Since(started)))
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		p.log.Warn("edge: requests are cut off at the end of the grace period", "runs", p.streaming.Runs.Len(), "error", err.Error())
		_ = server.Close()
	}
}

// reload takes notice of changed settings. Addresses and bounds stay as they
// were at the start; the platform restarts the process to change them.
func (p *Process) reload(ctx context.Context, path string) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-sighup.Signals():
		}
		n, err := p.adapter.ReadNode(path)
		if err != nil {
			p.log.Error("edge: node file cannot be read again and the old settings stay", "error", err.Error())
			continue
		}
		p.log.Info("edge: reload", "changed", n != p.node)
	}
}
