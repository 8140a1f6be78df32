// Package peers joins the edge processes of a fleet: who they are, what each has
// in flight, which targets leave, and whether the configuration is the newest.
// Each host tells a few hubs and learns the rest from them, so that the messages
// grow with the number of hosts and not with its square. All of it but the
// configuration's age are hints: when they are wrong, choices are worse.
package peers

import (
	"context"
	"log/slog"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/ejection"
	"corianderhitch/internal/edge/freshness"
	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/placement"
	"corianderhitch/internal/edge/policy"
	"corianderhitch/internal/edge/relay"
	"corianderhitch/internal/edge/targets"
	"corianderhitch/internal/rpcconn"
)

const (
	// callTimeout bounds a call between hosts.
	callTimeout = 400 * time.Millisecond
	// hubSilence is how long the hubs may be silent before this host follows the
	// store itself: two lost calls.
	hubSilence = 900 * time.Millisecond
	// serviceName is the name of the net/rpc service.
	serviceName = "Peer"
)

// Exchange joins this host with the others.
type Exchange struct {
	Log       *slog.Logger
	Host      string
	Members   *Members
	Inflight  *inflight.Table
	Targets   *targets.Registry
	ChangeLog *relay.ChangeLog
	Policy    *policy.Holder
	Confirmer *freshness.Confirmer
	Health    *ejection.Tracker
	// Live tells whether this host follows the store itself at this moment.
	FollowsStore func() bool
	// Decide chooses an engine with room. It runs on a hub for the runs of other
	// hosts.
	ChooseEngine func(service string, need placement.Requirements, tried map[string]bool) placement.Decision

	pool   *rpcconn.Pool
	server *rpcconn.Server
	kick   chan struct{} // holds one pending announcement
	hurry  chan struct{} // holds one pending Sync

	placing sync.Mutex // makes choice and grant one step

	mu    sync.Mutex
	quiet map[string]bool   // guarded by mu; hosts that did not answer last
	heard bootclock.Instant // guarded by mu; last answer of a hub that is live
}

// Init prepares the exchange, before any of its methods is called.
func (e *Exchange) Init() {
	e.pool = rpcconn.NewPool(rpcconn.TCP)
	e.kick = make(chan struct{}, 1)
	e.hurry = make(chan struct{}, 1)
	e.quiet = make(map[string]bool)
}

// Start listens for the other hosts.
func (e *Exchange) Start(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "cannot listen for peers on %s; free the port", address)
	}
	services := rpc.NewServer()
	if err := services.RegisterName(serviceName, &service{e}); err != nil {
		return eris.Wrap(err, "peers: service cannot be registered")
	}
	e.server = rpcconn.Serve(listener, services)
	return nil
}

// Stop closes all connections.
func (e *Exchange) Stop() {
	e.pool.Close()
	e.server.Stop()
}

// Kick makes notices go out at once.
func (e *Exchange) SendNotices() {
	select {
	case e.kick <- struct{}{}:
	default:
	}
}

// Hurry makes the next Sync come at once: a hub has news.
func (e *Exchange) SyncNow() {
	select {
	case e.hurry <- struct{}{}:
	default:
	}
}

// answers tells whether a host answered the last call.
func (e *Exchange) answers(host string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.quiet[host]
}

// IsHub tells whether this host follows the store for others.
func (e *Exchange) IsHub() bool {
	for _, hub := range e.Members.Hubs() {
		if hub.Name == e.Host {
			return true
		}
	}
	return false
}

// PlacesRuns tells whether this host places the runs of all hosts, so that it knows
// of each at once.
func (e *Exchange) PlacesRuns() bool {
	hubs := e.Members.Hubs()
	return len(hubs) > 0 && hubs[0].Name == e.Host && e.FollowsStore()
}

// Heard returns the instant as of which a hub that is live last answered; the
// beginning of the clock if none did.
func (e *Exchange) LastHubAnswer() bootclock.Instant {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.heard
}

// Served tells whether a hub that is live answered lately.
func (e *Exchange) HasLiveHub() bool {
	heard := e.LastHubAnswer()
	return heard != 0 && bootclock.Since(heard) < hubSilence
}

// call calls a host and logs when it falls silent and when it is back.
func (e *Exchange) call(ctx context.Context, host, address, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := e.pool.Call(ctx, address, serviceName+"."+method, args, reply)
	if err != nil {
		e.pool.Forget(address)
	}
	e.mu.Lock()
	before := e.quiet[host]
	e.quiet[host] = err != nil
	e.mu.Unlock()
	switch {
	case err != nil && !before && ctx.Err() != context.Canceled:
		e.Log.Warn("peers: host does not answer", "host", host, "address", address, "error", err.Error())
	case err == nil && before:
		e.Log.Info("peers: host answers again", "host", host)
	}
	return err
}
