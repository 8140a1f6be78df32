// Package agent joins the duties of an agent: membership, the document in force,
// observation of targets, pools, the directory of generations and placement.
package agent

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/rpc"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"corianderhitch/api/control"
	"corianderhitch/internal/agent/directory"
	"corianderhitch/internal/agent/docsync"
	"corianderhitch/internal/agent/exchange"
	"corianderhitch/internal/agent/membership"
	"corianderhitch/internal/agent/observer"
	"corianderhitch/internal/agent/placement"
	"corianderhitch/internal/agent/registration"
	"corianderhitch/internal/agent/reports"
	"corianderhitch/internal/agent/scheduler"
	"corianderhitch/internal/agent/services"
	"corianderhitch/internal/agent/state"
	"corianderhitch/internal/agent/suspicion"
	"corianderhitch/internal/platform"
	"corianderhitch/internal/rpcconn"
)

// Platform is what an agent needs of the platform.
type Platform interface {
	platform.Store
	platform.HostList
}

// Agent is a running agent.
type Agent struct {
	log      *slog.Logger
	settings Settings

	state        *state.State
	links        *links
	pool         *rpcconn.Pool // connections to partners, which the exchange closes
	owners       *rpcconn.Pool // connections to owners of pools
	server       *rpcconn.Server
	exchange     *exchange.Loop
	watcher      *docsync.Watcher
	lister       *observer.Lister
	observer     *observer.Observer
	reports      *reports.Sender
	scheduler    *scheduler.Scheduler
	directory    *directory.Directory
	registration *registration.Registration
	suspects     *suspicion.FleetTracker
	placement    *placement.Controller

	stopping chan struct{}
	stopRun  context.CancelFunc
	done     sync.WaitGroup
}

// Start begins all duties of an agent.
func Start(log *slog.Logger, s Settings, p Platform) (*Agent, error) {
	links, err := openLinks(log, s.TLSSettings)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return nil, eris.Wrapf(err, "cannot listen on %s; choose another --listen", s.Listen)
	}
	ctx, cancel := context.WithCancel(context.Background())
	a := &Agent{
		log:       log,
		settings:  s,
		links:     links,
		directory: directory.New(),
		suspects:  &suspicion.FleetTracker{},
		stopping:  make(chan struct{}),
		stopRun:   cancel,
	}
	a.pool, a.owners = rpcconn.NewPool(links.dial), rpcconn.NewPool(links.dial)
	a.state = state.New(log, a.membershipConfig(), a.self(listener), s.Environment, uint64(time.Now().UnixNano()))
	a.scheduler = scheduler.Start(log, a.state, policyMaker(s.Policy), a.suspects)
	presence := services.NewGatewayPresence(a.state)
	services, err := a.services(presence)
	if err != nil {
		cancel()
		return nil, err
	}
	a.server = rpcconn.Serve(links.listen(listener), services)
	a.startDuties(ctx, p, presence)
	log.Info("Agent serves.", "host", s.Host, "address", a.state.Self().AgentAddr, "domain", s.Domain, "region", s.Region)
	return a, nil
}

// Address returns the ip:port of the agent's net/rpc.
func (a *Agent) Address() string { return a.server.Address() }

// State returns the shared state.
func (a *Agent) State() *state.State { return a.state }

// Ready tells whether the agent has a document, or knows that there is none.
func (a *Agent) Ready() bool {
	select {
	case <-a.stopping:
		return false
	default:
	}
	return a.state.Document().Revision > 0 || a.state.StoreReachable()
}

// Stop leaves the fleet, hands the duties over and ends. Ctx bounds it.
func (a *Agent) Stop(ctx context.Context) {
	close(a.stopping)
	a.log.Info("Agent leaves.")
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
	a.stopRun()
	a.done.Wait()
	a.server.Stop()
	a.pool.Close()
	a.owners.Close()
}

func (a *Agent) startDuties(ctx context.Context, p Platform, presence *services.GatewayPresence) {
	s := a.settings
	a.exchange = exchange.Start(a.log, a.state, a.pool, exchange.Config{Period: s.Heartbeat, Timeout: s.PeerTimeout, Peers: s.Peers})
	a.registration = registration.Start(a.log, p, a.state, s.Environment)
	a.watcher = docsync.StartWatcher(a.log, docsync.NewStoreSource(p, s.Environment), a.state)
	a.lister = observer.StartLister(a.log, p, a.state, s.ListPeriod)
	a.reports = reports.Start(a.log, a.state, a.owners, a.scheduler)
	a.observer = observer.Start(a.log, a.state, a.reports, observer.Config{PollInterval: s.Poll, PollTimeout: s.PollTimeout})
	orders := placement.HTTPOrderClient{Client: &http.Client{}}
	a.placement = placement.Start(a.log, p, a.state, orders, s.Environment)
	a.done.Go(func() { presence.Run(ctx) })
	a.done.Go(func() { a.links.watch(ctx) })
	a.done.Go(func() { a.actOnNews(ctx) })
}

// actOnNews takes events to the duties that act on them.
func (a *Agent) actOnNews(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case events := <-a.state.NewEvents():
			for _, e := range events {
				a.act(e)
			}
		}
	}
}

func (a *Agent) act(e control.Event) {
	e = a.scheduler.RecordEvent(time.Now(), e)
	switch e.Kind {
	case control.EventCrash, control.EventDown, control.EventLeaving:
		a.observer.PollNow(e.Target)
	}
}

func (a *Agent) services(presence *services.GatewayPresence) (*rpc.Server, error) {
	server := rpc.NewServer()
	for name, service := range map[string]any{
		"Control":   services.NewControl(a.state, a.scheduler, a.links.dial, presence, a.settings.Environment, a.stopping),
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

func (a *Agent) self(listener net.Listener) control.Member {
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
