// Package fleet connects a gateway to the agents: it follows the document, the target
// table and the member list, requests slots on engines, and reports the events that the
// data path sees. All of it is best effort: without any agent the gateway keeps serving
// from its last view.
package fleet

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"corianderhitch/api/control"
	"corianderhitch/internal/rpcconn"
)

const (
	// finishedQueueSize bounds the ended tickets that wait to be reported. More are
	// dropped: owners expire tickets by themselves.
	finishedQueueSize = 4096
	// eventQueueSize bounds the events that wait to be reported. More are dropped.
	eventQueueSize = 1024
)

// Options are the settings of a Fleet.
type Options struct {
	Host        string   // this host
	Region      string   // this host's region
	GatewayAddr string   // ip:port of this gateway
	Agents      []string // ip:port of agents, this host's own first
	Log         *slog.Logger
}

// Fleet is the gateway's link to the agents. It is safe for concurrent use.
type Fleet struct {
	options      Options
	started      time.Time
	pool         *rpcconn.Pool
	view         atomic.Pointer[View]
	changed      chan struct{} // guarded by changeMu; closed and replaced at each new view
	changeMu     sync.Mutex
	inFlight     *InFlight
	draining     atomic.Bool
	avoided      avoidList
	finished     chan finishReport
	events       chan control.Event
	replications chan entryReplication

	mu           sync.Mutex
	unresponsive map[agentPurpose]time.Time // guarded by mu; until when an agent is asked last or not at all
}

// New returns a Fleet that calls agents through the pool. Call Run to start it.
func New(options Options, pool *rpcconn.Pool) *Fleet {
	f := &Fleet{
		options:      options,
		started:      time.Now(),
		pool:         pool,
		changed:      make(chan struct{}),
		inFlight:     NewInFlight(),
		finished:     make(chan finishReport, finishedQueueSize),
		events:       make(chan control.Event, eventQueueSize),
		replications: make(chan entryReplication, replicationQueueSize),
		unresponsive: make(map[agentPurpose]time.Time),
	}
	f.avoided.until = make(map[string]time.Time)
	f.view.Store(&View{Targets: make(map[string]control.TargetState)})
	return f
}

// Run follows the agents and sends reports until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { f.watch(ctx) })
	loops.Go(func() { f.sendFinished(ctx) })
	loops.Go(func() { f.sendEvents(ctx) })
	loops.Go(func() { f.replicateEntries(ctx) })
	loops.Wait()
}

// View returns the latest view. It is never nil.
func (f *Fleet) View() *View { return f.view.Load() }

// InFlight returns the counts of this gateway's own requests.
func (f *Fleet) InFlight() *InFlight { return f.inFlight }

// Drain makes the next snapshot calls tell the agents that this gateway takes no new
// requests.
func (f *Fleet) Drain() { f.draining.Store(true) }

// Changed returns a channel that is closed when the view changes next.
func (f *Fleet) Changed() <-chan struct{} {
	f.changeMu.Lock()
	defer f.changeMu.Unlock()
	return f.changed
}

func (f *Fleet) publish(v *View) {
	f.view.Store(v)
	f.changeMu.Lock()
	defer f.changeMu.Unlock()
	close(f.changed)
	f.changed = make(chan struct{})
}
