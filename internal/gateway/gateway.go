// Package gateway is the gateway program: it serves callers and sends their
// requests to engines and plain services.
package gateway

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/metric"

	"corianderhitch/internal/delivery"
	"corianderhitch/internal/engineclient"
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
	settings Settings
	log      *slog.Logger
	listener net.Listener
	secrets  *secrets
	server   *http.Server
	api      *api.Server
	fleet    *fleet.Fleet
	pool     *rpcconn.Pool
	out      *outbound.Transport
	runner   *runner.Runner
	ledger   *ledger.Ledger
	late     *delivery.Service

	life  context.Context
	end   context.CancelFunc
	tasks sync.WaitGroup
	unfit sync.Once
	stops chan struct{} // closed when the gateway begins to stop
}

// Start begins to serve. Call Stop.
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
	g := &Gateway{settings: s, log: log, listener: listener, secrets: secrets, stops: make(chan struct{})}
	g.life, g.end = context.WithCancel(context.Background())
	g.build(store, instruments)
	if err := metrics.ObserveRevision(meter, g.revision); err != nil {
		return nil, eris.Wrap(err, "gateway: cannot create the metrics")
	}
	g.serve()
	return g, nil
}

func (g *Gateway) build(store platform.Store, m *metrics.Metrics) {
	s := g.settings
	g.pool = rpcconn.NewPool(g.secrets.dialer())
	g.out = outbound.New()
	g.fleet = fleet.New(fleet.Options{
		Host: s.Host, Region: s.Region, GatewayAddr: s.Advertise, Agents: s.Agents, Log: logging.WithPrefix(g.log, "fleet"),
	}, g.pool)
	g.runner = runner.New(engineclient.New(g.out), g.fleet, m, logging.WithPrefix(g.log, "runner"))
	drafts := &draftRunner{fleet: g.fleet, runner: g.runner}
	claims := ledger.DefaultSettings()
	claims.ClaimTimeout = s.ClaimTimeout
	g.ledger = ledger.New(store, s.Host, drafts.callRetention, ids.New, g.fleet, claims, logging.WithPrefix(g.log, "ledger"))
	g.late = delivery.New(store, g.lateSettings(drafts), drafts.run, logging.WithPrefix(g.log, "delivery"))
	g.api = api.New(api.Dependencies{
		Settings: api.Settings{MaxBodyBytes: int64(s.MaxBodyBytes), SlowCallerTimeout: s.SlowCallerTimeout, TokenLifetime: s.TokenLifetime},
		Fleet:    g.fleet,
		Runner:   g.runner,
		Late:     g.late,
		Services: services.New(s.Region, g.fleet, g.ledger, g.out, m, logging.WithPrefix(g.log, "services")),
		Keys:     g.secrets.keys,
		Metrics:  m,
		Log:      logging.WithPrefix(g.log, "api"),
	})
}

const (
	// lateStoreTimeout bounds one step of late delivery with the store.
	lateStoreTimeout = 5 * time.Second
	// lateRetry separates the attempts of a draft where no time is named.
	lateRetry = 1 * time.Second
)

func (g *Gateway) lateSettings(d *draftRunner) delivery.Settings {
	return delivery.Settings{
		Host:            g.settings.Host,
		WritesPerSec:    g.settings.LateWritesPerSecond,
		MaxConcurrent:   g.settings.LateConcurrent,
		StoreTimeout:    lateStoreTimeout,
		ScanInterval:    g.settings.LateScanInterval,
		RetryDelay:      lateRetry,
		MaxAge:          d.lateRetention,
		AnswerRetention: d.lateRetention,
		PendingLimit:    d.pendingLimit,
		AliveHosts:      d.liveGateways,
	}
}

// idleTimeout closes connections of callers without requests.
const idleTimeout = 2 * time.Minute

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
	g.tasks.Go(func() { g.fleet.Run(g.life) })
	g.tasks.Go(func() { g.secrets.watch(g.life) })
	g.tasks.Go(func() { _ = g.secrets.serve(g.server, g.listener) })
	g.late.Start()
	g.log.Info("Gateway serves.", "address", g.Address())
}

// Address returns the address for callers.
func (g *Gateway) Address() string { return g.listener.Addr().String() }

// revision returns the document revision in force, 0 if there is none.
func (g *Gateway) revision() int64 {
	if index := g.fleet.View().Index; index != nil {
		return index.Revision()
	}
	return 0
}

// Ready tells whether the balancer may send new requests here.
func (g *Gateway) Ready() bool {
	select {
	case <-g.stops:
		return false
	default:
		return g.fleet.Ready(time.Now())
	}
}

// Stop drains the gateway: it is not ready first, then refuses new requests, and
// waits for those in progress until ctx ends.
func (g *Gateway) Stop(ctx context.Context) {
	g.unfit.Do(func() { close(g.stops) })
	g.fleet.Drain()
	g.log.Info("Gateway drains.")
	wait.For(ctx, g.settings.DrainNotice)
	g.api.Drain()
	g.runner.Drain()
	g.awaitRequests(ctx)
	g.late.Stop(ctx)
	g.ledger.Stop(ctx)
	g.runner.Stop()
	g.end()
	_ = g.server.Close()
	g.tasks.Wait()
	g.pool.Close()
	g.out.Close()
	g.log.Info("Gateway stopped.")
}

// awaitRequests waits for requests in progress. Their answers leave before the
// connections are closed.
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
		g.log.Warn("Requests in progress are cut at the drain timeout.")
		_ = g.server.Close()
	}
}
