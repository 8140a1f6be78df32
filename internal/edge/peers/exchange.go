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
	"corianderhitch/internal/edge/loadbook"
	"corianderhitch/internal/edge/placing"
	"corianderhitch/internal/edge/policy"
	"corianderhitch/internal/edge/relay"
	"corianderhitch/internal/edge/targets"
	"corianderhitch/internal/rpcconn"
	"corianderhitch/internal/wait"
)

const (
	// leastSyncPeriod is the age that loads of other hosts reach in a small fleet:
	// within it, hosts choose the same empty engine.
	leastSyncPeriod = 80 * time.Millisecond
	// syncPerHost makes the period grow with the fleet, so that a hub answers at
	// most 200 calls a second: it knows of runs that begin from placing them, and
	// learns from syncs only that they ended.
	syncPerHost = 5 * time.Millisecond
	// fleetTurns is how many syncs go without the loads of all hosts to one with
	// them.
	fleetTurns = 4
	// standbyTurns is how many syncs with the first hub go with one to the second,
	// which only stands by.
	standbyTurns = 5
	// callTimeout bounds a call between hosts.
	callTimeout = 400 * time.Millisecond
	// placeTimeout bounds the question for an engine; a host that gets no answer
	// chooses alone.
	placeTimeout = 60 * time.Millisecond
	// hubSilence is how long the hubs may be silent before this host follows the
	// store itself: two lost calls.
	hubSilence = 900 * time.Millisecond
	// maxVouchAge is the oldest vouched confirmation that is of use; a peer without
	// any says an endless age.
	maxVouchAge = time.Hour
	// noticeGather collects notices that come close together into one call.
	noticeGather = 5 * time.Millisecond
	// vouchPeers is how many hosts are asked to vouch at once.
	vouchPeers = 4
	// serviceName is the name of the net/rpc service.
	serviceName = "Peer"
)

// Exchange joins this host with the others.
type Exchange struct {
	Log       *slog.Logger
	Host      string
	Members   *Members
	Book      *loadbook.Book
	Targets   *targets.Registry
	List      *relay.Log
	Policy    *policy.Holder
	Confirmer *freshness.Confirmer
	Health    *ejection.Tracker
	// Live tells whether this host follows the store itself at this moment.
	Live func() bool
	// Decide chooses an engine with room. It runs on a hub for the runs of other
	// hosts.
	Decide func(service string, need placing.Need, tried map[string]bool) placing.Decision

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
func (e *Exchange) Kick() {
	select {
	case e.kick <- struct{}{}:
	default:
	}
}

// Hurry makes the next Sync come at once: a hub has news.
func (e *Exchange) Hurry() {
	select {
	case e.hurry <- struct{}{}:
	default:
	}
}

// Run syncs with the hubs until ctx ends.
func (e *Exchange) Run(ctx context.Context) {
	go e.announce(ctx)
	timer := time.NewTimer(leastSyncPeriod)
	defer timer.Stop()
	for turn := 0; ; turn++ {
		hurried := false
		select {
		case <-ctx.Done():
			return
		case <-e.hurry:
			hurried = true
		case <-timer.C:
		}
		timer.Reset(e.Period())
		for rank, hub := range e.Members.Hubs() {
			due := rank == 0 || hurried || turn%standbyTurns == 0 || !e.answers(e.Members.Hubs()[0].Name)
			if hub.Name != e.Host && due {
				go e.sync(ctx, hub, turn%fleetTurns == 0 || len(e.Members.Hubs()) < relay.Hubs)
			}
		}
	}
}

// Period returns the time between two syncs with the first hub.
func (e *Exchange) Period() time.Duration {
	return max(leastSyncPeriod, syncPerHost*time.Duration(e.Members.Count()))
}

// FleetAge returns the age that the loads of all hosts reach on a host that
// places runs alone.
func (e *Exchange) FleetAge() time.Duration { return fleetTurns * e.Period() }

// answers tells whether a host answered the last call.
func (e *Exchange) answers(host string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.quiet[host]
}

// announce sends notices to the hosts that do not hear of them otherwise: a hub
// to all hosts, another host to the hubs.
func (e *Exchange) announce(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.kick:
		}
		wait.For(ctx, noticeGather)
		args := NoticeArgs{Host: e.Host, Leaving: e.Targets.Notices()}
		receivers := e.Members.Hubs()
		if e.IsHub() {
			receivers = e.Members.All()
			args.Parts = e.Book.Parts(e.Targets.NewlyLeaving())
		}
		for _, host := range receivers {
			if host.Name != e.Host {
				go func() { _ = e.call(ctx, host.Name, host.Address, "Notice", args, new(NoticeReply)) }()
			}
		}
	}
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
	return len(hubs) > 0 && hubs[0].Name == e.Host && e.Live()
}

// Heard returns the instant as of which a hub that is live last answered; the
// beginning of the clock if none did.
func (e *Exchange) Heard() bootclock.Instant {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.heard
}

// Served tells whether a hub that is live answered lately.
func (e *Exchange) Served() bool {
	heard := e.Heard()
	return heard != 0 && bootclock.Since(heard) < hubSilence
}

func (e *Exchange) sync(ctx context.Context, hub relay.Host, wantFleet bool) {
	args := SyncArgs{Host: e.Host, WantFleet: wantFleet, Loads: e.Book.Own(), Leaving: e.Targets.Notices(), Failing: e.Health.Failing(), ListRevision: e.List.Revision()}
	if p := e.Policy.Current(); p != nil {
		args.PolicyRevision = p.Revision
	}
	asked := bootclock.Now()
	reply := new(SyncReply)
	if err := e.call(ctx, hub.Name, hub.Address, "Sync", args, reply); err != nil {
		return // call logs it
	}
	if !e.IsHub() { // hubs hear of each host directly
		if wantFleet {
			e.Book.SetFleet(reply.Fleet)
		}
		e.Book.SetParts(reply.Parts)
		e.Health.SetFleet(reply.Failing)
	}
	e.takeLeaving(hub.Name, reply.Leaving)
	if asOf, ok := e.takeVouch(hub.Address, asked, &reply.Vouch); ok {
		e.Confirmer.Note(asOf)
	}
	if !reply.Live {
		return
	}
	e.List.Take(reply.List)
	e.mu.Lock()
	e.heard = max(e.heard, asked)
	e.mu.Unlock()
}

// Place asks the first hub that answers for an engine. It returns false if this
// host must choose alone: it is that hub itself, or no hub can.
func (e *Exchange) Place(ctx context.Context, args PlaceArgs) (PlaceReply, bool) {
	args.Host = e.Host
	for _, hub := range e.Members.Hubs() {
		if hub.Name == e.Host {
			return PlaceReply{}, false
		}
		if !e.answers(hub.Name) {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, placeTimeout)
		defer cancel()
		reply := new(PlaceReply)
		if err := e.pool.Call(ctx, hub.Address, serviceName+".Place", args, reply); err != nil {
			e.Log.Warn("peers: hub does not place a run", "hub", hub.Name, "error", err.Error())
			return PlaceReply{}, false
		}
		if reply.Able {
			return *reply, true
		}
	}
	return PlaceReply{}, false
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

func (e *Exchange) takeLeaving(host string, keys []string) {
	for _, key := range keys {
		e.Targets.Leaving(key, "peer "+host)
	}
}

// Vouch asks other hosts until one has a configuration that was surely the
// newest less than maxAge ago, puts it in force if it is newer, and returns that
// instant.
func (e *Exchange) Vouch(ctx context.Context, maxAge time.Duration) (bootclock.Instant, error) {
	answers := make(chan bootclock.Instant, 1)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	asked := 0
	for _, host := range e.Members.Sample(vouchPeers) {
		asked++
		go func() {
			if asOf, ok := e.ask(ctx, host, maxAge); ok {
				select {
				case answers <- asOf:
				default:
				}
			}
		}()
	}
	select {
	case asOf := <-answers:
		return asOf, nil
	case <-ctx.Done():
		return 0, eris.Errorf("none of %d peers has a confirmation younger than %v", asked, maxAge)
	}
}

func (e *Exchange) ask(ctx context.Context, host relay.Host, maxAge time.Duration) (bootclock.Instant, bool) {
	args := VouchArgs{}
	if p := e.Policy.Current(); p != nil {
		args.Revision = p.Revision
	}
	asked := bootclock.Now()
	reply := new(Vouch)
	if err := e.call(ctx, host.Name, host.Address, "Vouch", args, reply); err != nil || reply.Age > maxAge {
		return 0, false
	}
	return e.takeVouch(host.Address, asked, reply)
}

// takeVouch puts a peer's configuration in force if it is newer and returns the
// instant as of which it was surely the newest. The peer's age is of a moment
// after the question was sent: what happens to the answer on its way makes the
// instant earlier, never later.
func (e *Exchange) takeVouch(address string, asked bootclock.Instant, v *Vouch) (bootclock.Instant, bool) {
	if v.Raw != nil {
		accepted, err := e.Policy.Offer(v.Raw, v.Revision)
		if err != nil {
			e.Log.Error("peers: configuration of a peer cannot be read", "address", address, "revision", v.Revision, "error", err.Error())
			return 0, false
		}
		if accepted {
			e.Log.Info("policy: configuration in force", "version", e.Policy.Current().Version, "revision", v.Revision, "source", "peer "+address)
		}
	}
	if p := e.Policy.Current(); p == nil || p.Revision < v.Revision {
		return 0, false
	}
	if v.Age > maxVouchAge {
		return 0, false
	}
	return asked.Add(-v.Age), true
}
