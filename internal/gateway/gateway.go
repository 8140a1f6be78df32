// Package gateway is the gateway program: it serves the HTTP API to callers and sends
// their requests to engines and plain services.
package gateway

import (
	"context"
	"iter"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/metric"

	"corianderhitch/api/control"
	"corianderhitch/internal/delivery"
	"corianderhitch/internal/engineclient"
	"corianderhitch/internal/forwardconn"
	"corianderhitch/internal/gateway/api"
	"corianderhitch/internal/gateway/fleet"
	"corianderhitch/internal/gateway/ids"
	"corianderhitch/internal/gateway/metrics"
	"corianderhitch/internal/gateway/runner"
	"corianderhitch/internal/gateway/services"
	"corianderhitch/internal/ledger"
	"corianderhitch/internal/logging"
	"corianderhitch/internal/outbound"
	"corianderhitch/internal/platform"
	"corianderhitch/internal/rpcconn"
	"corianderhitch/internal/wait"
)

// Gateway is a running gateway.
type Gateway struct {
	settings  Settings
	log       *slog.Logger
	listener  net.Listener
	secrets   *secrets
	server    *http.Server
	api       *api.Server
	fleet     *fleet.Fleet
	pool      *rpcconn.Pool
	transport *outbound.Transport
	dialer    *forwardconn.Dialer
	runner    *runner.Runner
	ledger    *ledger.Ledger
	late      *delivery.Service

	ctx      context.Context // of the background tasks; Stop cancels it after all requests have ended
	cancel   context.CancelFunc
	tasks    sync.WaitGroup
	stopOnce sync.Once
	stopping chan struct{} // closed when the gateway begins to stop
}

// Start starts a gateway that listens for callers. The caller must call Stop if there is
// no error.
func Start(log *slog.Logger, s Settings, store platform.Store, meter metric.Meter) (*Gateway, error) {
	secrets, err := openSecrets(s, log)
	if err != nil {
		return nil, err
	}
	instruments, err := metrics.New(meter)
	if err != nil {
		return nil, eris.Wrap(err, "gateway: cannot create the metrics")
	}
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return nil, eris.Wrapf(err, "cannot listen on %s; choose another --listen", s.Listen)
	}
	if s.Advertise == "" {
		s.Advertise = listener.Addr().String()
	}
	g := &Gateway{settings: s, log: log, listener: listener, secrets: secrets, stopping: make(chan struct{})}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.build(store, instruments)
	if err := metrics.ObserveRevision(meter, g.revision); err != nil {
		return nil, eris.Wrap(err, "gateway: cannot create the metrics")
	}
	g.serve()
	return g, nil
}

// build creates the parts of the gateway without starting any.
func (g *Gateway) build(store platform.Store, m *metrics.Metrics) {
	s := g.settings
	g.pool = rpcconn.NewPool(g.secrets.dialer())
	g.fleet = fleet.New(fleet.Options{
		Host: s.Host, Region: s.Region, GatewayAddr: s.Advertise, Agents: s.Agents, Log: logging.WithPrefix(g.log, "fleet"),
	}, g.pool)
	g.dialer = forwardconn.New(forwardconn.Options{
		Direct: outbound.Dialer(s.OutboundIP), Helpers: g.fleet.OtherAgents, Agent: g.secrets.dialer(),
		Targets:   forwardconn.Rows(func() iter.Seq[control.TargetState] { return maps.Values(g.fleet.View().Targets) }),
		CloseIdle: func() { g.transport.Close() },
		Log:       logging.WithPrefix(g.log, "forward"),
	})
	g.transport = outbound.New(g.dialer.DialContext)
	g.runner = runner.New(engineclient.New(g.transport), g.fleet, m, logging.WithPrefix(g.log, "runner"))
	late := &lateRunner{fleet: g.fleet, runner: g.runner}
	ledgerSettings := ledger.DefaultSettings()
	ledgerSettings.ClaimTimeout = s.ClaimTimeout
	g.ledger = ledger.New(store, s.Host, late.callRetention, ids.New, g.fleet, ledgerSettings, logging.WithPrefix(g.log, "ledger"))
	g.late = delivery.New(store, g.lateSettings(late), late.run, logging.WithPrefix(g.log, "delivery"))
	g.api = api.New(api.Dependencies{
		Settings: api.Settings{MaxBodyBytes: int64(s.MaxBodyBytes), SlowCallerTimeout: s.SlowCallerTimeout, TokenLifetime: s.TokenLifetime},
		Fleet:    g.fleet,
		Runner:   g.runner,
		Late:     g.late,
		Services: services.New(s.Host, s.Region, g.fleet, g.ledger, g.transport, m, logging.WithPrefix(g.log, "services")),
		Keys:     g.secrets.keys,
		Metrics:  m,
		Log:      logging.WithPrefix(g.log, "api"),
	})
}

const (
	// lateStoreTimeout bounds one store operation of late delivery.
	lateStoreTimeout = 5 * time.Second
	// lateRetryDelay is the shortest pause between attempts to run a late request or to
	// store its answer.
	lateRetryDelay = 1 * time.Second
)

func (g *Gateway) lateSettings(late *lateRunner) delivery.Settings {
	return delivery.Settings{
		Host:            g.settings.Host,
		WritesPerSec:    g.settings.LateWritesPerSecond,
		MaxConcurrent:   g.settings.LateConcurrent,
		StoreTimeout:    lateStoreTimeout,
		ScanInterval:    g.settings.LateScanInterval,
		RetryDelay:      lateRetryDelay,
		MaxAge:          late.lateRetention,
		AnswerRetention: late.lateRetention,
		PendingLimit:    late.pendingLimit,
		AliveHosts:      g.fleet.GatewayHosts,
	}
}

// idleTimeout is how long a caller's connection may stay open between requests.
const idleTimeout = 2 * time.Minute

// serve starts the HTTP server and the background tasks.
func (g *Gateway) serve() {
	router := mux.NewRouter().SkipClean(true)
	g.api.Register(router)
	g.server = &http.Server{
		Handler:           router,
		ReadHeaderTimeout: g.settings.HeaderTimeout,
		MaxHeaderBytes:    g.settings.MaxHeaderBytes,
		IdleTimeout:       idleTimeout,
		ErrorLog:          slog.NewLogLogger(logging.WithPrefix(g.log, "http").Handler(), slog.LevelDebug),
	}
	g.tasks.Go(func() { g.fleet.Run(g.ctx) })
	g.tasks.Go(func() { g.dialer.Run(g.ctx) })
	g.tasks.Go(func() { g.secrets.watch(g.ctx) })
	g.tasks.Go(func() { _ = g.secrets.serve(g.server, g.listener) })
	g.late.Start()
	g.log.Info("Gateway started.", "address", g.Address())
}

// Address returns the address for callers.
func (g *Gateway) Address() string { return g.listener.Addr().String() }

// revision returns the revision of the document in force, 0 if there is none yet.
func (g *Gateway) revision() int64 {
	if index := g.fleet.View().Index; index != nil {
		return index.Revision()
	}
	return 0
}

// Ready reports whether the load balancer may send new requests here.
func (g *Gateway) Ready() bool {
	select {
	case <-g.stopping:
		return false
	default:
		return g.fleet.Ready(time.Now())
	}
}

// Stop drains and stops the gateway. It first reports not ready for the drain notice, so
// that the load balancer sends no more, then rejects new requests, and waits for those
// in progress until ctx ends.
func (g *Gateway) Stop(ctx context.Context) {
	g.stopOnce.Do(func() { close(g.stopping) })
	g.fleet.Drain()
	g.log.Info("Gateway draining.")
	wait.For(ctx, g.settings.DrainNotice)
	g.api.Drain()
	g.late.Drain()
	g.runner.Drain()
	g.awaitRequests(ctx)
	g.late.Stop(ctx)
	g.runner.Stop()
	g.cancel()
	_ = g.server.Close()
	g.tasks.Wait()
	g.stopLedger(ctx)
	g.pool.Close()
	g.transport.Close()
	g.log.Info("Gateway stopped.")
}

// stopLedger waits until the outcomes of calls are stored. Calls may end after the drain
// timeout too, so the last outcomes get the time of one write after ctx has ended.
func (g *Gateway) stopLedger(ctx context.Context) {
	extended, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		wait.For(extended, g.settings.ClaimTimeout)
		cancel()
	})
	defer stop()
	g.ledger.Stop(extended)
}

// awaitRequests waits for requests in progress until ctx ends. Completed answers are sent
// before the connections are closed.
func (g *Gateway) awaitRequests(ctx context.Context) {
	done := make(chan struct{})
	g.tasks.Go(func() {
		g.api.Wait()
		close(done)
	})
	select {
	case <-done:
		_ = g.server.Shutdown(ctx)
	case <-ctx.Done():
		g.log.Warn("Drain timeout reached; requests in progress are aborted.")
		_ = g.server.Close()
	}
}
