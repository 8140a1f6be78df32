// Package agent assembles the agent process: group membership, distribution of the
// configuration document, observation of targets, scheduling of requests to the targets
// of a pool, the directory of generations, and placement of model versions on engines.
package agent

import (
	"context"
	"iter"
	"log/slog"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"corianderhitch/api/control"
	"corianderhitch/internal/agent/directory"
	"corianderhitch/internal/agent/docsync"
	"corianderhitch/internal/agent/events"
	"corianderhitch/internal/agent/exchange"
	"corianderhitch/internal/agent/membership"
	"corianderhitch/internal/agent/modelplacement"
	"corianderhitch/internal/agent/observer"
	"corianderhitch/internal/agent/registration"
	"corianderhitch/internal/agent/reports"
	"corianderhitch/internal/agent/scheduler"
	"corianderhitch/internal/agent/services"
	"corianderhitch/internal/agent/state"
	"corianderhitch/internal/agent/suspicion"
	"corianderhitch/internal/forwardconn"
	"corianderhitch/internal/logging"
	"corianderhitch/internal/outbound"
	"corianderhitch/internal/platform"
	"corianderhitch/internal/rpcconn"
)

// Platform is the part of the platform that an agent uses.
type Platform interface {
	platform.Store
	platform.HostList
}

// Agent is a running agent.
type Agent struct {
	log      *slog.Logger
	settings Settings

	state        *state.State
	connections  *connections
	partnerPool  *rpcconn.Pool       // connections to gossip partners, closed by the exchange when idle
	ownerPool    *rpcconn.Pool       // connections to owners of pools
	dialer       *forwardconn.Dialer // connects to targets
	forwards     *forwardconn.Server // connects other hosts to targets
	server       *rpcconn.Server
	exchange     *exchange.Loop
	watcher      *docsync.Watcher
	lister       *observer.Lister
	prober       *observer.Prober
	observer     *observer.Observer
	reports      *reports.Sender
	scheduler    *scheduler.Scheduler
	directory    *directory.Directory
	registration *registration.Registration
	crashTracker *suspicion.FleetTracker
	orders       modelplacement.HTTPOrderClient
	placement    *modelplacement.Controller

	stopping chan struct{}
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

// Start starts all components of an agent. It returns an error if the TLS files cannot be
// read or the address is not available.
func Start(log *slog.Logger, s Settings, p Platform) (*Agent, error) {
	conns, err := newConnections(log, s.TLSSettings)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return nil, eris.Wrapf(err, "cannot listen on %s; choose another --listen", s.Listen)
	}
	ctx, cancel := context.WithCancel(context.Background())
	a := &Agent{
		log:          log,
		settings:     s,
		connections:  conns,
		directory:    directory.New(),
		crashTracker: &suspicion.FleetTracker{Host: s.Host, Log: logging.WithPrefix(log, "suspicion")},
		stopping:     make(chan struct{}),
		cancel:       cancel,
	}
	a.partnerPool, a.ownerPool = rpcconn.NewPool(conns.dial), rpcconn.NewPool(conns.dial)
	a.state = state.New(log, a.membershipConfig(), a.selfMember(listener), s.Environment, uint64(time.Now().UnixNano()))
	a.scheduler = scheduler.Start(log, a.state, policyFactory(s.Policy), a.crashTracker)
	presence := services.NewGatewayPresence(a.state)
	server, err := a.rpcServer(presence)
	if err != nil {
		cancel()
		a.scheduler.Stop()
		_ = listener.Close()
		return nil, err
	}
	a.buildDialer()
	a.server = rpcconn.ServeUpgraded(conns.listen(listener), server, &rpcconn.Upgrade{Preface: forwardconn.Preface, Serve: a.forwards.Serve})
	a.startComponents(ctx, p, presence)
	log.Info("Agent started.", "host", s.Host, "address", a.state.Self().AgentAddr, "domain", s.Domain, "region", s.Region)
	return a, nil
}

// Address returns the ip:port of the agent's net/rpc.
func (a *Agent) Address() string { return a.server.Address() }

// State returns the replicated state of the agent.
func (a *Agent) State() *state.State { return a.state }

// Ready reports whether the agent can serve: it is not stopping, and it has a document or
// the last call to the store succeeded.
func (a *Agent) Ready() bool {
	select {
	case <-a.stopping:
		return false
	default:
	}
	return a.state.Document().Revision > 0 || a.state.StoreReachable()
}

// Stop announces that the host leaves the fleet, so that other hosts take over its duties,
// and stops all components. Ctx bounds the calls to peers and the store.
func (a *Agent) Stop(ctx context.Context) {
	close(a.stopping)
	a.log.Info("Agent is leaving the fleet.")
	a.state.UpdateSelf(func(m *control.Member) { m.State = control.MemberLeft })
	a.exchange.Announce(ctx)
	a.scheduler.Stop()
	a.placement.Stop(ctx)
	a.watcher.Stop()
	a.lister.Stop()
	a.observer.Stop()
	a.reports.Stop()
	a.registration.Stop(ctx)
	a.exchange.Stop()
	a.forwards.Drain(ctx)
	a.cancel()
	a.done.Wait()
	a.server.Stop()
	a.partnerPool.Close()
	a.ownerPool.Close()
}

func (a *Agent) startComponents(ctx context.Context, p Platform, presence *services.GatewayPresence) {
	s := a.settings
	a.exchange = exchange.Start(a.log, a.state, a.partnerPool, exchange.Config{Period: s.Heartbeat, Timeout: s.PeerTimeout, Peers: s.Peers})
	a.registration = registration.Start(a.log, p, a.state, s.Environment)
	a.watcher = docsync.StartWatcher(a.log, docsync.NewStoreSource(p, s.Environment), a.state)
	a.lister = observer.StartLister(a.log, p, a.state, s.ListPeriod)
	a.reports = reports.Start(a.log, a.state, a.ownerPool, a.scheduler)
	a.observer = observer.Start(a.log, a.state, a.reports, observer.Config{PollInterval: s.Poll, PollTimeout: s.PollTimeout, Prober: a.prober})
	a.placement = modelplacement.Start(a.log, p, a.state, a.orders, s.Environment)
	a.done.Go(func() { presence.Run(ctx) })
	a.done.Go(func() { a.connections.watch(ctx) })
	a.done.Go(func() { a.dialer.Run(ctx) })
	a.done.Go(func() { a.handleEvents(ctx) })
}

// buildDialer creates what connects this host, and others by way of it, to targets.
func (a *Agent) buildDialer() {
	log := logging.WithPrefix(a.log, "forward")
	a.dialer = forwardconn.New(forwardconn.Options{
		Direct:  outbound.Dialer(a.settings.OutboundIP),
		Targets: forwardconn.Rows(func() iter.Seq[control.TargetState] { return slices.Values(a.state.Targets(time.Now())) }),
		Helpers: func() []string { return control.AgentsOfOthers(a.state.Live(), a.settings.Host, a.settings.Region) },
		Agent:   a.connections.dial,
		CloseIdle: func() {
			a.prober.Close()
			a.orders.CloseIdle()
		},
		Log: log,
	})
	a.prober = observer.NewProber(a.dialer.DialContext)
	a.orders = modelplacement.NewHTTPOrderClient(a.dialer.DialContext)
	a.forwards = forwardconn.NewServer(a.dialer, log)
}

// handleEvents passes new events to the scheduler and the observer until ctx ends.
func (a *Agent) handleEvents(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case events := <-a.state.NewEvents():
			for _, e := range events {
				a.handleEvent(e)
			}
		}
	}
}

// handleEvent records an event for scheduling, and polls its target immediately if
// the event says that the target may be unavailable now.
func (a *Agent) handleEvent(e control.Event) {
	e = a.scheduler.RecordEvent(time.Now(), e)
	if events.IsHistory(e) {
		return
	}
	switch e.Kind {
	case control.EventCrash, control.EventDown, control.EventLeaving:
		a.observer.PollNow(e.Target)
	}
}

// rpcServer returns a net/rpc server with the services of package services.
func (a *Agent) rpcServer(presence *services.GatewayPresence) (*rpc.Server, error) {
	server := rpc.NewServer()
	for name, service := range map[string]any{
		"Control":   services.NewControl(a.state, a.scheduler, a.connections.dial, presence, a.settings.Environment, a.stopping),
		"Peer":      services.NewPeer(a.state, a.scheduler),
		"Scheduler": services.NewScheduling(a.scheduler),
		"Directory": services.NewDirectory(a.directory),
	} {
		if err := server.RegisterName(name, service); err != nil {
			return nil, eris.Wrapf(err, "cannot register the service %s", name)
		}
	}
	return server, nil
}

// selfMember returns the initial member record of this host.
func (a *Agent) selfMember(listener net.Listener) control.Member {
	address := a.settings.Advertise
	if address == "" {
		address = listener.Addr().String()
	}
	return control.Member{
		Host:        a.settings.Host,
		Domain:      a.settings.Domain,
		Region:      a.settings.Region,
		AgentAddr:   address,
		Incarnation: time.Now().UnixNano(),
	}
}

func (a *Agent) membershipConfig() membership.Config {
	config := membership.DefaultConfig()
	config.Period = a.settings.Heartbeat
	config.SuspicionTimeout = a.settings.SuspectTime
	return config
}
