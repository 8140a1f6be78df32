package process

import (
	"context"
	"net/http"
	"reflect"
	"sync"
	"time"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/ingress"
	"corianderhitch/internal/sighup"
	"corianderhitch/internal/web"
)

const (
	// readinessDelay is how long the platform may keep sending connections to a host
	// that reports that it is not ready: two probes a second apart, and a margin.
	readinessDelay = 2500 * time.Millisecond
	// abortPart is the last part of the grace period, as a share of it, in which the platform
	// lets requests be aborted.
	abortPart = 1.0 / 6
	// abortSlack allows for clocks elsewhere that differ from this process's.
	abortSlack = 200 * time.Millisecond
	// maxExitMargin and maxExitShare, of the grace period, bound the time that is reserved for
	// the end of the process itself.
	maxExitMargin = 600 * time.Millisecond
	maxExitShare  = 0.15
	// abortShare, tasksShare and tracesShare are the parts of that time within which
	// requests that are aborted are answered, the tasks stop, one of which calls the store,
	// and the last traces are exported. The rest is for the last log lines.
	abortShare  = 0.4
	tasksShare  = 0.3
	tracesShare = 0.1
)

// exitMargin returns the time at the end of the grace period that is reserved for the end
// of the process itself.
func exitMargin(grace time.Duration) time.Duration {
	return min(maxExitMargin, time.Duration(maxExitShare*float64(grace)))
}

// exitTime returns a part of the process's exitMargin.
func (p *Process) exitTime(share float64) time.Duration {
	return time.Duration(share * float64(exitMargin(p.node.Grace)))
}

// stop first waits until the platform sends callers to other hosts, then until the
// requests in flight have ended. Those that remain shortly before the end of the grace
// period are aborted: abort cancels their contexts.
func (p *Process) stop(server *http.Server, connections *ingress.OpenConnections, abort context.CancelCauseFunc) {
	p.drain.Begin(p.stopRequestedAt())
	age, _ := p.drain.Age()
	p.log.Info("edge: draining", "runs", p.streaming.Runs.Len(), "grace_ms", p.node.Grace.Milliseconds(), "late_ms", age.Milliseconds())
	time.Sleep(min(readinessDelay, p.node.Grace/2))
	age, _ = p.drain.Age()
	ctx, cancel := context.WithTimeout(context.Background(), max(0, p.node.Grace-exitMargin(p.node.Grace)-age))
	defer cancel()
	if connections.Drain(ctx, server) && server.Shutdown(ctx) == nil {
		p.forwards.Drain(ctx) // it helps others as long as it serves its own callers
		return
	}
	age, _ = p.drain.Age()
	p.log.Warn("edge: grace period ended; remaining requests are aborted", "runs", p.streaming.Runs.Len(), "after_ms", age.Milliseconds())
	abort(edge.ErrStopping)
	answered, cancel := context.WithTimeout(context.Background(), p.exitTime(abortShare))
	defer cancel()
	if server.Shutdown(answered) != nil {
		_ = server.Close()
	}
}

// stopRequestedAt returns when the signal that is handled now was sent at the earliest. It
// is not so long ago that requests would be aborted before the last part of the grace
// period, since the signal may also have come after a stall.
func (p *Process) stopRequestedAt() bootclock.Instant {
	now := bootclock.Now()
	maxLate := max(0, time.Duration(abortPart*float64(p.node.Grace))-exitMargin(p.node.Grace)-abortSlack)
	return max(p.stalls.Earliest(now), now.Add(-maxLate))
}

// stopTasks stops the background tasks and servers. The process ends without those that
// take too long.
func (p *Process) stopTasks(cancel context.CancelFunc, tasks *sync.WaitGroup, endpoints *web.Server) {
	cancel()
	ctx, expire := context.WithTimeout(context.Background(), p.exitTime(tasksShare))
	defer expire()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		var wait sync.WaitGroup
		wait.Go(tasks.Wait)
		wait.Go(p.exchange.Stop)
		wait.Go(func() { endpoints.Stop(ctx) })
		wait.Wait()
	}()
	select {
	case <-stopped:
	case <-ctx.Done():
		p.log.Warn("edge: tasks did not stop in time; the process ends without them")
	}
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
		p.log.Info("edge: reload", "changed", !reflect.DeepEqual(n, p.node))
	}
}
