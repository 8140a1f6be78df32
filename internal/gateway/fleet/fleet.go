// Package fleet connects a gateway with the agents: it keeps the last document,
// target table and member list, asks for places on engines, and passes on what
// the data path sees. All of it is a hint; without any agent the gateway keeps
// serving from its last view.
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
	// finishQueue bounds the ended tickets that wait for their report. More are
	// dropped: owners forget tickets by themselves.
	finishQueue = 4096
	// newsQueue bounds the events that wait for their report.
	newsQueue = 1024
)

// Options configure a Fleet.
type Options struct {
	Host        string   // this host
	Region      string   // this host's region
	GatewayAddr string   // ip:port of this gateway
	Agents      []string // ip:port of agents, this host's own first
	Log         *slog.Logger
}

// Fleet is the gateway's link to the agents. It is safe for concurrent use.
type Fleet struct {
	options  Options
	started  time.Time
	pool     *rpcconn.Pool
	view     atomic.Pointer[View]
	changed  chan struct{} // replaced at each new view
	changeMu sync.Mutex
	inFlight *InFlight
	draining atomic.Bool
	avoid    avoidList
	finished chan report
	news     chan control.Event
	copies   chan entryCopy

	mu   sync.Mutex
	cuts map[cutKey]time.Time // guarded by mu; agents that gave no answer, until when to ask them last
}

// New returns a Fleet that calls agents through the pool. Call Run.
func New(options Options, pool *rpcconn.Pool) *Fleet {
	f := &Fleet{
		options:  options,
		started:  time.Now(),
		pool:     pool,
		changed:  make(chan struct{}),
		inFlight: NewInFlight(),
		finished: make(chan report, finishQueue),
		news:     make(chan control.Event, newsQueue),
		copies:   make(chan entryCopy, copyQueue),
		cuts:     make(map[cutKey]time.Time),
	}
	f.avoid.until = make(map[string]time.Time)
	f.view.Store(&View{Targets: make(map[string]control.TargetState)})
	return f
}

// Run keeps the view fresh and sends reports until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	var duties sync.WaitGroup
	duties.Go(func() { f.watch(ctx) })
	duties.Go(func() { f.sendFinished(ctx) })
	duties.Go(func() { f.sendNews(ctx) })
	duties.Go(func() { f.sendCopies(ctx) })
	duties.Wait()
}

// View returns the current view.
func (f *Fleet) View() *View { return f.view.Load() }

// InFlight returns the counts of this gateway's own requests.
func (f *Fleet) InFlight() *InFlight { return f.inFlight }

// Drain tells the agents that this gateway takes no new work.
func (f *Fleet) Drain() { f.draining.Store(true) }

// Changed returns a channel that is closed at the next change of the view.
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
