// Package exchange runs the periodic and urgent gossip exchanges between agents. One
// goroutine schedules them, and a fixed number of workers performs them.
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
	// exchangeMethod is the net/rpc method that agents call on each other.
	exchangeMethod = "Peer.Exchange"
	// peersPerPeriod is the number of partners that get a heartbeat in a period.
	peersPerPeriod = 2
	// workerCount is the number of exchanges that may run concurrently. An unreachable
	// peer blocks a worker for one timeout.
	workerCount = 8
	// minUrgentInterval is the shortest time between two urgent rounds, so that a burst
	// of changes is sent in few messages.
	minUrgentInterval = 50 * time.Millisecond
	// maxRepairs bounds the messages of one exchange, of which all but the first reconcile
	// differing tables.
	maxRepairs = 4
)

// Caller calls net/rpc methods of peers. rpcconn.Pool implements it.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
	Disconnect(address string)
}

// Config holds the settings of a Loop.
type Config struct {
	Period  time.Duration // between two rounds of heartbeats
	Timeout time.Duration // of one exchange
	Peers   []string      // ip:port of the agents to contact while no other member is known
}

// Loop exchanges messages with peers until Stop.
type Loop struct {
	log    *slog.Logger
	state  *state.State
	caller Caller
	config Config

	queue chan control.Member // peers to exchange with; Host is empty if only the address is known
	stop  context.CancelFunc
	done  sync.WaitGroup

	mu        sync.Mutex
	busy      map[string]bool // addresses with an exchange in progress; true if another one was requested since; guarded by mu
	connected map[string]bool // addresses that may have an open connection, guarded by mu
}

// Start starts the exchanges.
func Start(log *slog.Logger, s *state.State, caller Caller, config Config) *Loop {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Loop{
		log:       logging.WithPrefix(log, "exchange"),
		state:     s,
		caller:    caller,
		config:    config,
		queue:     make(chan control.Member, workerCount),
		stop:      cancel,
		busy:      make(map[string]bool),
		connected: make(map[string]bool),
	}
	l.done.Add(1 + workerCount)
	go l.run(ctx)
	for range workerCount {
		go l.work(ctx)
	}
	return l
}

// Stop cancels all exchanges and waits for the goroutines.
func (l *Loop) Stop() {
	l.stop()
	l.done.Wait()
}

// Announce exchanges with all partners once and waits until that is done. A host that
// leaves the fleet uses it to send its last state.
func (l *Loop) Announce(ctx context.Context) {
	var all sync.WaitGroup
	for _, peer := range l.state.Partners(time.Now()) {
		all.Go(func() { l.exchange(ctx, peer) })
	}
	all.Wait()
}

// run submits the exchanges of every period and the urgent ones until ctx ends.
func (l *Loop) run(ctx context.Context) {
	defer l.done.Done()
	ticker := time.NewTicker(l.config.Period)
	defer ticker.Stop()
	l.sendHeartbeats()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.sendHeartbeats()
		case <-l.state.Urgent():
			l.sendUrgent()
			if !sleep(ctx, minUrgentInterval) {
				return
			}
		}
	}
}

// sendHeartbeats submits the peers of one period.
func (l *Loop) sendHeartbeats() {
	now := time.Now()
	l.state.Tick(now)
	due := l.state.DuePeers(now, peersPerPeriod)
	if len(l.state.Live()) <= 1 {
		due = append(due, seedMembers(l.config.Peers, l.state.Self().AgentAddr)...)
	}
	for _, address := range l.state.TakeProbeAddresses() {
		due = append(due, control.Member{AgentAddr: address})
	}
	for _, peer := range due {
		l.submit(peer)
	}
	l.closeIdle(now, due)
}

// sendUrgent submits all partners, preceded by a peer with a newer document if one is
// known.
func (l *Loop) sendUrgent() {
	if address := l.state.TakeNewerDocumentPeer(); address != "" {
		l.submit(control.Member{AgentAddr: address})
	}
	for _, peer := range l.state.Partners(time.Now()) {
		l.submit(peer)
	}
}

// submit queues a peer for an exchange. It drops the peer if the queue is full, since
// the next round follows soon.
func (l *Loop) submit(peer control.Member) {
	select {
	case l.queue <- peer:
	default:
	}
}

func (l *Loop) work(ctx context.Context) {
	defer l.done.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case peer := <-l.queue:
			l.exchangeWhileRequested(ctx, peer)
		}
	}
}

// exchangeWhileRequested exchanges with a peer, and again if that was requested
// meanwhile.
func (l *Loop) exchangeWhileRequested(ctx context.Context, peer control.Member) {
	for l.begin(peer.AgentAddr) {
		l.exchange(ctx, peer)
		if !l.end(peer.AgentAddr) {
			return
		}
	}
}

// exchange performs one exchange: a request, and follow-ups while the tables differ.
func (l *Loop) exchange(ctx context.Context, peer control.Member) {
	args := l.state.NewRequest(peer.Host)
	for range maxRepairs {
		reply, err := l.call(ctx, peer.AgentAddr, args)
		if err != nil {
			l.recordFailure(ctx, peer, err)
			return
		}
		followUp, differ := l.state.HandleReply(time.Now(), reply)
		if !differ {
			return
		}
		args = followUp
	}
}

func (l *Loop) call(ctx context.Context, address string, args control.ExchangeArgs) (control.ExchangeReply, error) {
	bounded, cancel := context.WithTimeout(ctx, l.config.Timeout)
	defer cancel()
	reply := new(control.ExchangeReply)
	if err := l.caller.Call(bounded, address, exchangeMethod, args, reply); err != nil {
		// The call may still write a late reply to this value, so it is not returned.
		return control.ExchangeReply{}, err
	}
	return *reply, nil
}

func (l *Loop) recordFailure(ctx context.Context, peer control.Member, err error) {
	if ctx.Err() != nil {
		return
	}
	l.log.Debug("Exchange with a peer failed.", "peer", peer.Host, "address", peer.AgentAddr, "error", err)
	if errors.Is(err, rpcconn.ErrBroken) {
		l.caller.Disconnect(peer.AgentAddr)
	}
	if peer.Host != "" {
		l.state.RecordFailure(time.Now(), peer.Host)
	}
}

// begin claims the address for an exchange. If one is in progress already, it requests
// another one and returns false.
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
	l.connected[address] = true
	return true
}

// end releases the address and reports whether another exchange was requested meanwhile.
func (l *Loop) end(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	requested := l.busy[address]
	delete(l.busy, address)
	return requested
}

// closeIdle closes the connections to peers that are neither partners nor due.
func (l *Loop) closeIdle(now time.Time, due []control.Member) {
	keep := make(map[string]bool)
	for _, peer := range append(l.state.Partners(now), due...) {
		keep[peer.AgentAddr] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for address := range l.connected {
		if _, busy := l.busy[address]; !keep[address] && !busy {
			delete(l.connected, address)
			l.caller.Disconnect(address)
		}
	}
}

// seedMembers returns members for the configured addresses without the agent's own one.
func seedMembers(addresses []string, own string) []control.Member {
	var members []control.Member
	for _, address := range addresses {
		if address != own {
			members = append(members, control.Member{AgentAddr: address})
		}
	}
	return members
}

// sleep reports whether the full duration passed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
