// Package peers exchanges state between the edge processes of a fleet: membership,
// load in flight, leaving targets and the freshness of the configuration. Each
// host reports to a few hubs and learns about the others from them, so that the
// number of messages grows linearly with the number of hosts. Only the
// configuration's age affects correctness; stale data of the other kinds merely
// leads to worse placement.
package peers

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/ejection"
	"corianderhitch/internal/edge/evacuation"
	"corianderhitch/internal/edge/freshness"
	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/placement"
	"corianderhitch/internal/edge/policy"
	"corianderhitch/internal/edge/relay"
	"corianderhitch/internal/edge/storeera"
	"corianderhitch/internal/edge/targetnotice"
	"corianderhitch/internal/edge/targets"
	"corianderhitch/internal/edge/targetspeed"
	"corianderhitch/internal/edge/waitlist"
	"corianderhitch/internal/edge/warmup"
	"corianderhitch/internal/quarantine"
	"corianderhitch/internal/rpcconn"
)

const (
	// callTimeout bounds an RPC between hosts.
	callTimeout = 400 * time.Millisecond
	// minHubTimeout is the hubTimeout of a small fleet. It covers two lost calls.
	minHubTimeout = 900 * time.Millisecond
	// serviceName is the name of the net/rpc service.
	serviceName = "Peer"
)

// Exchange sends this host's state to the hubs, applies what they answer and serves
// the RPCs of other hosts. Its exported fields are set before Init. Its methods are
// safe for concurrent use.
type Exchange struct {
	Log       *slog.Logger
	Host      string
	Members   *Members
	Inflight  *inflight.Table
	Targets   *targets.Registry
	ChangeLog *relay.ChangeLog
	Policy    *policy.Holder
	// Evacuated holds the evacuated failure domains; nil if the deployment evacuates none.
	Evacuated *evacuation.Holder
	Confirmer *freshness.Confirmer
	// Operator knows up to which revision of the store all that the operator has written is in force here.
	Operator OperatorState
	Health   *ejection.Tracker
	Eras     *storeera.Tracker
	Speeds   *targetspeed.Tracker  // nil if targets are all alike
	Notices  *targetnotice.Tracker // what targets state in their answers
	Warmup   *warmup.Tracker       // of cold targets; nil if the deployment bounds nothing
	// Quarantine holds the evidence of requests that crash targets.
	Quarantine *quarantine.Tracker
	// FollowsStore reports whether this host currently follows the store itself.
	FollowsStore func() bool
	// IsDraining reports whether this process has been asked to stop; nil for never.
	IsDraining func() bool
	// ChooseEngine chooses an engine with free capacity. A hub calls it for the runs
	// of other hosts.
	ChooseEngine func(service string, need placement.Requirements, tried map[string]bool) placement.Decision
	// ChooseInOrder is ChooseEngine for runs with a place in the order of all hosts; nil if this
	// host keeps no order.
	ChooseInOrder func(args *PlaceArgs, tried map[string]bool) (placement.Decision, *waitlist.Verdict)

	pool              *rpcconn.Pool
	server            *rpcconn.Server
	noticeRequested   chan struct{} // holds at most one pending request
	syncRequested     chan struct{} // holds at most one pending request
	evidenceRequested chan struct{} // holds at most one pending request
	process           uint64        // drawn at random; names this process to its peers
	evidence          evidenceProgress

	fetch     configurationFetch
	listFetch listFetch
	lists     listSnapshot

	placeMu sync.Mutex // makes choosing an engine and reserving its capacity atomic

	mu            sync.Mutex
	unresponsive  map[string]bool   // guarded by mu; hosts whose last call failed
	notFollowing  map[string]bool   // guarded by mu; hosts that stated last that they don't follow the store
	lastHubAnswer bootclock.Instant // guarded by mu; see LastHubAnswer
	placesLate    map[string]bool   // guarded by mu; hubs whose last placement call failed
	placePaused   map[string]bool   // guarded by mu; those of them that have answered no other call since
}

// Init prepares the exchange. It must be called before any other method.
func (e *Exchange) Init() {
	e.pool = rpcconn.NewPool(rpcconn.TCP)
	e.noticeRequested = make(chan struct{}, 1)
	e.syncRequested = make(chan struct{}, 1)
	e.evidenceRequested = make(chan struct{}, 1)
	e.process = rand.Uint64()
	if e.Operator == nil {
		e.Operator = unknownOperatorState{}
	}
	if e.Notices == nil {
		e.Notices = targetnotice.New()
	}
	if e.Quarantine == nil {
		e.Quarantine = quarantine.New(e.Host, nil)
	}
	e.unresponsive, e.notFollowing = make(map[string]bool), make(map[string]bool)
	e.placesLate, e.placePaused = make(map[string]bool), make(map[string]bool)
}

// Start listens on address (ip:port) for RPCs of the other hosts.
func (e *Exchange) Start(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "cannot listen for peers on %s; free the port", address)
	}
	services := rpc.NewServer()
	if err := services.RegisterName(serviceName, &service{e}); err != nil {
		return eris.Wrap(err, "peers: cannot register the RPC service")
	}
	e.server = rpcconn.Serve(listener, services)
	return nil
}

// Stop closes the listener and all connections.
func (e *Exchange) Stop() {
	e.pool.Close()
	e.server.Stop()
}

// SendNotices sends the leaving notices without waiting for the next sync. It doesn't
// block.
func (e *Exchange) SendNotices() {
	select {
	case e.noticeRequested <- struct{}{}:
	default:
	}
}

// SyncNow makes Run sync with all hubs without waiting for the interval. It doesn't block.
func (e *Exchange) SyncNow() {
	select {
	case e.syncRequested <- struct{}{}:
	default:
	}
}

// isResponsive reports whether the last call to the host succeeded. A host that was
// never called counts as responsive.
func (e *Exchange) isResponsive(host string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.unresponsive[host]
}

// IsHub reports whether this host is one of the hubs.
func (e *Exchange) IsHub() bool {
	for _, hub := range e.Members.Hubs() {
		if hub.Name == e.Host {
			return true
		}
	}
	return false
}

// PlacesRuns reports whether this host places the runs of all hosts. If so, it knows
// about each run from its start.
func (e *Exchange) PlacesRuns() bool {
	hubs := e.Members.Hubs()
	return len(hubs) > 0 && hubs[0].Name == e.Host && e.FollowsStore()
}

// LastHubAnswer returns when this host sent the latest sync that a hub answered while
// that hub followed the store, or 0 if there was none.
func (e *Exchange) LastHubAnswer() bootclock.Instant {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastHubAnswer
}

// hubTimeout returns how long no hub may answer before a host follows the store itself. It
// covers two calls that are lost after a regular sync.
func hubTimeout(syncInterval time.Duration) time.Duration {
	return max(minHubTimeout, syncInterval+2*callTimeout)
}

// HasLiveHub reports whether a hub that follows the store has answered within hubTimeout. If
// no hub answered the last call, minHubTimeout applies. It returns false as soon as no hub is left that
// may follow the store and one has stated that it doesn't.
func (e *Exchange) HasLiveHub() bool {
	answeredAt := e.LastHubAnswer()
	if answeredAt == 0 {
		return false
	}
	timeout := minHubTimeout
	switch following, stated := e.hubStates(); {
	case following:
		timeout = hubTimeout(e.SyncInterval())
	case stated:
		return false
	}
	return bootclock.Since(answeredAt) < timeout
}

// hubStates reports whether a hub may follow the store, by its answer to the last call, and whether
// one that answers has stated that it doesn't.
func (e *Exchange) hubStates() (following, statedOtherwise bool) {
	hubs := e.Members.Hubs()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, hub := range hubs {
		switch {
		case hub.Name == e.Host || e.unresponsive[hub.Name]:
		case e.notFollowing[hub.Name]:
			statedOtherwise = true
		default:
			following = true
		}
	}
	return following, statedOtherwise
}

// mayFollow reports whether the last call to a hub succeeded and the hub did not state that it
// doesn't follow the store.
func (e *Exchange) mayFollow(hub string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.unresponsive[hub] && !e.notFollowing[hub]
}

// recordFollowing records whether a hub states that it follows the store. It asks the other hub at once
// when one has stopped.
func (e *Exchange) recordFollowing(hub string, following bool) {
	e.mu.Lock()
	before := e.notFollowing[hub]
	e.notFollowing[hub] = !following
	e.mu.Unlock()
	if !following && !before {
		e.Log.Info("peers: hub does not follow the store", "hub", hub)
		e.SyncNow()
	}
}

// call sends an RPC to a host and logs when the host becomes unresponsive or
// responsive again.
func (e *Exchange) call(ctx context.Context, host, address, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := e.pool.Call(ctx, address, serviceName+"."+method, args, reply)
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		return err // nobody waits any more, which says nothing about the host
	}
	if err != nil {
		e.pool.Disconnect(address)
	}
	e.mu.Lock()
	wasUnresponsive := e.unresponsive[host]
	e.unresponsive[host] = err != nil
	if err == nil {
		delete(e.placePaused, host)
	}
	e.mu.Unlock()
	switch {
	case err != nil && !wasUnresponsive:
		e.Log.Warn("peers: host does not answer", "host", host, "address", address, "error", err.Error())
	case err == nil && wasUnresponsive:
		e.Log.Info("peers: host answers again", "host", host)
	}
	return err
}
