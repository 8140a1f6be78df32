// Package exchange carries the messages between agents: one goroutine decides
// whom to talk to and when, a few others talk.
package exchange

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"corianderhitch/api/control"
	"corianderhitch/internal/agent/state"
	"corianderhitch/internal/logging"
	"corianderhitch/internal/rpcconn"
)

const (
	// method is the net/rpc method that agents call on each other.
	method = "Peer.Exchange"
	// peersPerPeriod is the number of partners that get a heartbeat in a period.
	peersPerPeriod = 2
	// talkers is the number of exchanges that may run at once. A cut link blocks
	// a talker for the length of one timeout only.
	talkers = 8
	// urgentGap is the shortest time between two urgent rounds, so that a flood
	// of changes is sent in few messages.
	urgentGap = 50 * time.Millisecond
	// maxRepairs bounds the messages that repair differing tables in one exchange.
	maxRepairs = 4
)

// Caller runs a net/rpc method on a peer. rpcconn.Pool implements it.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
	Disconnect(address string)
}

// Config holds the settings of a Loop.
type Config struct {
	Period  time.Duration // between two rounds of heartbeats
	Timeout time.Duration // of one exchange
	Peers   []string      // ip:port of agents to ask while no other member is known
}

// Loop exchanges with peers until Stop.
type Loop struct {
	log    *slog.Logger
	state  *state.State
	caller Caller
	config Config

	work chan control.Member // peers to talk to; a peer known by address only has no host
	stop context.CancelFunc
	done sync.WaitGroup

	mu    sync.Mutex
	busy  map[string]bool // addresses in exchange; true if asked for again meanwhile; guarded by mu
	links map[string]bool // addresses with a connection, guarded by mu
}

// Start begins to exchange.
func Start(log *slog.Logger, s *state.State, caller Caller, config Config) *Loop {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Loop{
		log:    logging.Part(log, "exchange"),
		state:  s,
		caller: caller,
		config: config,
		work:   make(chan control.Member, talkers),
		stop:   cancel,
		busy:   make(map[string]bool),
		links:  make(map[string]bool),
	}
	l.done.Add(1 + talkers)
	go l.schedule(ctx)
	for range talkers {
		go l.talk(ctx)
	}
	return l
}

// Stop ends all exchanges and waits for their goroutines.
func (l *Loop) Stop() {
	l.stop()
	l.done.Wait()
}

// Announce exchanges with all partners once and waits for it, for the last
// message of a host that leaves.
func (l *Loop) Announce(ctx context.Context) {
	var all sync.WaitGroup
	for _, peer := range l.state.Partners(time.Now()) {
		all.Go(func() { l.exchange(ctx, peer) })
	}
	all.Wait()
}

func (l *Loop) schedule(ctx context.Context) {
	defer l.done.Done()
	ticker := time.NewTicker(l.config.Period)
	defer ticker.Stop()
	l.round()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.round()
		case <-l.state.Urgent():
			l.urgent()
			if !pause(ctx, urgentGap) {
				return
			}
		}
	}
}

// round sends the heartbeats of one period.
func (l *Loop) round() {
	now := time.Now()
	l.state.Tick(now)
	due := l.state.DuePeers(now, peersPerPeriod)
	if len(l.state.Live()) <= 1 {
		due = append(due, seeds(l.config.Peers, l.state.Self().AgentAddr)...)
	}
	for _, address := range l.state.TakeProbeAddresses() {
		due = append(due, control.Member{AgentAddr: address})
	}
	for _, peer := range due {
		l.submit(peer)
	}
	l.closeIdle(now, due)
}

// urgent sends to all partners, and first to a peer with a newer document.
func (l *Loop) urgent() {
	if address := l.state.TakeNewerDocumentPeer(); address != "" {
		l.submit(control.Member{AgentAddr: address})
	}
	for _, peer := range l.state.Partners(time.Now()) {
		l.submit(peer)
	}
}

// submit hands a peer to a talker, unless one talks to it already or all are
// busy; the next round comes soon.
func (l *Loop) submit(peer control.Member) {
	select {
	case l.work <- peer:
	default:
	}
}

func (l *Loop) talk(ctx context.Context) {
	defer l.done.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case peer := <-l.work:
			l.serve(ctx, peer)
		}
	}
}

// serve exchanges with a peer, and once more if that was asked for meanwhile.
func (l *Loop) serve(ctx context.Context, peer control.Member) {
	for l.begin(peer.AgentAddr) {
		l.exchange(ctx, peer)
		if !l.end(peer.AgentAddr) {
			return
		}
	}
}

func (l *Loop) exchange(ctx context.Context, peer control.Member) {
	args := l.state.NewRequest(peer.Host)
	for range maxRepairs {
		reply, err := l.call(ctx, peer.AgentAddr, args)
		if err != nil {
			l.failed(ctx, peer, err)
			return
		}
		again, differ := l.state.HandleReply(time.Now(), reply)
		if !differ {
			return
		}
		args = again
	}
}

func (l *Loop) call(ctx context.Context, address string, args control.ExchangeArgs) (control.ExchangeReply, error) {
	bounded, cancel := context.WithTimeout(ctx, l.config.Timeout)
	defer cancel()
	reply := new(control.ExchangeReply)
	if err := l.caller.Call(bounded, address, method, args, reply); err != nil {
		// A late answer may still be written to reply, which is dropped here.
		return control.ExchangeReply{}, err
	}
	return *reply, nil
}

func (l *Loop) failed(ctx context.Context, peer control.Member, err error) {
	if ctx.Err() != nil {
		return
	}
	l.log.Debug("No answer from a peer.", "peer", peer.Host, "address", peer.AgentAddr, "error", err)
	if errors.Is(err, rpcconn.ErrBroken) {
		l.caller.Disconnect(peer.AgentAddr)
	}
	if peer.Host != "" {
		l.state.RecordFailure(time.Now(), peer.Host)
	}
}

func (l *Loop) begin(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if address == "" {
		return false
	}
	if _, busy := l.busy[address]; busy {
		l.busy[address] = true
		return false
	}
	l.busy[address] = false
	l.links[address] = true
	return true
}

// end tells whether another exchange was asked for meanwhile.
func (l *Loop) end(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	again := l.busy[address]
	delete(l.busy, address)
	return again
}

// closeIdle drops the connections to members that are no partners any more.
func (l *Loop) closeIdle(now time.Time, due []control.Member) {
	keep := make(map[string]bool)
	for _, peer := range append(l.state.Partners(now), due...) {
		keep[peer.AgentAddr] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for address := range l.links {
		if _, busy := l.busy[address]; !keep[address] && !busy {
			delete(l.links, address)
			l.caller.Disconnect(address)
		}
	}
}

func seeds(addresses []string, own string) []control.Member {
	var members []control.Member
	for _, address := range addresses {
		if address != own {
			members = append(members, control.Member{AgentAddr: address})
		}
	}
	return members
}

func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
