package drill

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"corianderhitch/internal/drill/deployment"
	"corianderhitch/internal/drill/record"
)

// fleet is a running deployment.
type fleet struct {
	ctx        context.Context //nolint:containedctx // ends with the run, for goroutines of hosts
	options    Options
	platform   Platform
	deployment *deployment.Deployment
	log        *record.Log
	logger     *slog.Logger
	store      Store
	hosts      []*host
	front      *front
	targets    *targetSet
	operator   *operator
	traffic    *traffic
	playing    sync.WaitGroup // disturbances

	listener         net.Listener // of the store
	unexpectedExits  atomic.Int64
	killedAfterGrace atomic.Int64
}

// startFleet starts the store, the targets and the hosts.
func startFleet(ctx context.Context, p Platform, d *deployment.Deployment, o Options, log *record.Log, logger *slog.Logger) (*fleet, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listener of the store")
	}
	f := &fleet{ctx: ctx, options: o, platform: p, deployment: d, log: log, logger: logger, store: p.NewStore(d, o.Seed), listener: listener}
	server := &http.Server{Handler: f.store}
	go func() { _ = server.Serve(listener) }()
	f.operator = newOperator(f)
	if err := f.operator.write(func(*Configuration) {}); err != nil {
		return nil, err
	}
	f.targets = newTargetSet(f)
	if err := f.targets.startAll(); err != nil {
		return nil, err
	}
	f.front = newFront(f)
	if err := f.startHosts(); err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

// loopbackNetworks is the number of networks under 127.0.0.0/8 that drills use.
const loopbackNetworks = 120

func (f *fleet) startHosts() error {
	network := 64 + os.Getpid()%loopbackNetworks
	for _, domain := range f.deployment.Domains {
		for n := range domain.Hosts {
			h := &host{name: fmt.Sprintf("edge-%s-%d", domain.Name, n+1), ip: fmt.Sprintf("127.%d.1.%d", network, len(f.hosts)+1), domain: domain.Name, fleet: f}
			if err := h.writeSettings(f.options.Out, f.listener.Addr().String()); err != nil {
				return err
			}
			f.hosts = append(f.hosts, h)
		}
	}
	for _, h := range f.hosts {
		h.mu.Lock()
		err := h.start()
		h.mu.Unlock()
		if err != nil {
			return err
		}
	}
	go f.front.watch(f.ctx)
	return nil
}

// awaitReady waits until all hosts have reported ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, h := range f.hosts {
		for !h.ready.Load() {
			if time.Now().After(until) {
				return eris.Errorf("host %s was not ready after %v; its log is %s", h.name, limit, h.logPath)
			}
			if err := sleep(f.ctx, 50*time.Millisecond); err != nil {
				return err
			}
		}
	}
	return nil
}

// stop ends all processes and targets.
func (f *fleet) stop() {
	var wait sync.WaitGroup
	for _, h := range f.hosts {
		wait.Go(func() {
			h.mu.Lock()
			defer h.mu.Unlock()
			if h.process != nil && !h.process.hasExited() {
				h.stopping.Store(true)
				h.process.kill()
			}
		})
	}
	wait.Wait()
	f.targets.endAll()
	_ = f.listener.Close()
}
