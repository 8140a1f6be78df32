package process

import (
	"context"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/admission"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/decisionlog"
	"corianderhitch/internal/edge/ejection"
	"corianderhitch/internal/edge/freshness"
	"corianderhitch/internal/edge/ingress"
	"corianderhitch/internal/edge/loadbook"
	"corianderhitch/internal/edge/metrics"
	"corianderhitch/internal/edge/migration"
	"corianderhitch/internal/edge/node"
	"corianderhitch/internal/edge/observe"
	"corianderhitch/internal/edge/peers"
	"corianderhitch/internal/edge/placing"
	"corianderhitch/internal/edge/plain"
	"corianderhitch/internal/edge/policy"
	"corianderhitch/internal/edge/relay"
	"corianderhitch/internal/edge/retrybudget"
	"corianderhitch/internal/edge/streaming"
	"corianderhitch/internal/edge/targetconn"
	"corianderhitch/internal/edge/targets"
	"corianderhitch/internal/logging"
	"corianderhitch/internal/telemetry"
	"corianderhitch/internal/web"
)

const (
	// keyMargin is left of the time within which a removed API key must stop to
	// admit: for the way of the last request to its target.
	keyMargin = 700 * time.Millisecond
	// hubConfirmShare is the part of that time after which a hub confirms the
	// configuration again, so that one lost confirmation goes unnoticed.
	hubConfirmShare = 0.3
	// confirmShare is the same for other hosts, whose confirmations come from the
	// hubs: they ask the store only when those are silent.
	confirmShare = 0.5
	// looseConfirm is the period of confirmations where keys need none.
	looseConfirm = 10 * time.Second
	// vouchAfter is how long the store may take before peers are asked.
	vouchAfter = 300 * time.Millisecond
	// rotationDelay is how long the platform goes on sending connections to a
	// host that says it is not ready: two probes a second apart, and a margin.
	rotationDelay = 2500 * time.Millisecond
	// exitMargin is left of the grace period for the end of the process itself.
	exitMargin = 400 * time.Millisecond
	// lapseBeats is how many heartbeats an outage must last before entries may
	// have lapsed in it.
	lapseBeats = 2
	// settleTime is how long targets need to return after the store has.
	settleTime = 2500 * time.Millisecond
	// idleTimeout closes connections of callers, who reuse them for up to four
	// fifths of 15 s.
	idleTimeout = 16 * time.Second
	// headerTimeout bounds the wait for a request's header.
	headerTimeout = 3 * time.Second
	// maxHeaderBytes bounds a request's header.
	maxHeaderBytes = 16 << 10
)

// Process is the edge process of one host.
type Process struct {
	log       *slog.Logger
	node      node.Node
	adapter   Adapter
	store     peers.Store
	policy    *policy.Holder
	confirmer *freshness.Confirmer
	targets   *targets.Registry
	book      *loadbook.Book
	members   *peers.Members
	exchange  *peers.Exchange
	pool      *targetconn.Pool
	streaming *streaming.Server
	plain     *plain.Server
	mover     *migration.Mover
	metrics   *metrics.Metrics
	list      *relay.Log
	feeds     *feeds
	runRate   placing.Rate
	listed    atomic.Bool
	stopping  atomic.Bool

	budgetsMu sync.Mutex
	budgets   map[string]*retrybudget.Budget // guarded by budgetsMu; by service
}

// Run returns the main function of the process for a platform.
func Run(adapter Adapter) func(ctx context.Context, _ io.Writer, s Settings) error {
	return func(ctx context.Context, _ io.Writer, s Settings) error {
		out := adapter.Logs
		if out == nil {
			out = os.Stdout
		}
		lines := decisionlog.NewWriter(out)
		defer lines.Close()
		root := logging.New(lines, s.logSettings())
		log := slog.New(decisionlog.NewSampler(root.Handler()))
		n, err := adapter.ReadNode(s.NodeFile)
		if err != nil {
			return err
		}
		if n.MemoryBytes > 0 {
			debug.SetMemoryLimit(n.MemoryBytes * int64(s.MemoryShare) / 100)
		}
		signals, err := telemetry.Start(ctx, "edge", n.Name, s.Settings)
		if err != nil {
			return err
		}
		p := newProcess(log, n, adapter)
		p.metrics, err = metrics.New(signals.Meter, p.gauges(lines))
		if err != nil {
			return err
		}
		log.Info("edge: start", "host", n.Name, "domain", n.Domain, "front", n.Front, "store", n.StoreAddress, "memory_bytes", n.MemoryBytes)
		return p.run(ctx, signals, s)
	}
}

func newProcess(log *slog.Logger, n node.Node, adapter Adapter) *Process {
	p := &Process{
		log: log, node: n, adapter: adapter, store: adapter.Store(n.StoreAddress),
		policy: policy.NewHolder(adapter.DecodeConfiguration), book: loadbook.New(n.Name), budgets: make(map[string]*retrybudget.Budget),
	}
	p.pool = targetconn.New(adapter.requestID)
	p.targets = targets.New(p.targetLeaves)
	p.list = relay.NewLog(p.newTargetSink())
	p.feeds = p.newFeeds()
	p.confirmer = freshness.New(log, p.confirmPeriod, p.confirm)
	p.members = peers.NewMembers(log, p.store, relay.Host{Name: n.Name, Address: n.PeerAddress(), CPUs: n.CPUs})
	p.exchange = &peers.Exchange{Log: log, Host: n.Name, Members: p.members, Book: p.book, Targets: p.targets,
		List: p.list, Policy: p.policy, Confirmer: p.confirmer, Live: p.feeds.live}
	p.exchange.Init()
	sender := &edge.Sender{Wire: adapter.Wire, Pool: p.pool}
	health := ejection.New()
	p.plain = &plain.Server{Sender: sender, Targets: p.targets, Book: p.book, Health: health, Budget: p.budget, Domain: n.Domain}
	p.streaming = &streaming.Server{
		Sender: sender, Engines: adapter.Engines(p.pool), Targets: p.targets, Book: p.book, Health: health,
		Lengths: streaming.NewLengths(), Queue: admission.New(p.book.Changed), Runs: streaming.NewRuns(p.runEntered),
		Budget: p.budget, Domain: n.Domain, Spread: p.spread, Ask: p.exchange.Place,
	}
	p.exchange.Decide = p.decide
	p.mover = &migration.Mover{
		Log: log, Host: n.Name, Engines: p.streaming.Engines, Book: p.book, Choose: p.streaming.Choose,
		Observe: func(outcome string, took time.Duration) { p.metrics.Move(outcome, took) },
	}
	return p
}

// keyAge returns the oldest confirmation with which an API key admits, 0 for any.
func (p *Process) keyAge() time.Duration {
	if !p.node.RevokeStrict || p.node.RevokeWithin <= 0 {
		return 0
	}
	return max(p.node.RevokeWithin-keyMargin, p.node.RevokeWithin/2)
}

// confirmPeriod returns the age at which this host confirms the configuration.
func (p *Process) confirmPeriod() time.Duration {
	switch {
	case p.keyAge() == 0:
		return looseConfirm
	case p.exchange.IsHub():
		return time.Duration(hubConfirmShare * float64(p.node.RevokeWithin))
	default:
		return time.Duration(confirmShare * float64(p.node.RevokeWithin))
	}
}

func (p *Process) run(ctx context.Context, signals *telemetry.Telemetry, s Settings) error {
	front, err := net.Listen("tcp", p.node.Front)
	if err != nil {
		return eris.Wrapf(err, "cannot listen for callers on %s; free the address", p.node.Front)
	}
	if err := p.exchange.Start(p.node.PeerAddress()); err != nil {
		return err
	}
	defer p.exchange.Stop()
	endpoints, err := web.Start(p.node.Ready, p.ready, signals.Handler(), p.adapter.ReadyPath)
	if err != nil {
		return err
	}
	background, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	p.background(background, &wait, s)
	server := &http.Server{
		Handler: p.handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(p.log.Handler(), slog.LevelDebug),
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(front) }()
	select {
	case <-ctx.Done():
		p.drain(server)
	case err = <-served:
	}
	cancel()
	wait.Wait()
	endpoints.Stop(context.Background())
	p.log.Info("edge: stop", "runs_left", p.streaming.Runs.Len())
	return err
}

// background starts the duties that run beside the callers' requests.
func (p *Process) background(ctx context.Context, wait *sync.WaitGroup, s Settings) {
	wait.Go(func() { p.follow(ctx) })
	wait.Go(func() { p.confirmer.Run(ctx) })
	wait.Go(func() { p.members.Run(ctx) })
	wait.Go(func() { p.exchange.Run(ctx) })
	wait.Go(func() { p.observer().Run(ctx) })
	wait.Go(func() { p.reload(ctx, s.NodeFile) })
}

// spread returns how many runs the other hosts place before this one hears of
// them: their loads come by way of a hub, each way at most a period old.
func (p *Process) spread() int {
	p.runRate.Add()
	return placing.Spread(p.runRate.PerSecond(), p.members.Count(), p.exchange.Period())
}

// decide chooses an engine for another host.
func (p *Process) decide(service string, need placing.Need, tried map[string]bool) (string, loadbook.Load) {
	c := p.policy.Current()
	if c == nil || c.Service(service) == nil || c.Service(service).Engine == nil {
		return "", loadbook.Load{}
	}
	return p.streaming.Decide(c.Service(service), need, tried)
}

func (p *Process) observer() *observe.Observer {
	return &observe.Observer{
		Log: p.log, Host: p.node.Name, Engines: p.streaming.Engines, Targets: p.targets,
		Services: func() []string {
			if c := p.policy.Current(); c != nil {
				return c.EngineServices()
			}
			return nil
		},
		Hosts: p.members.Names,
		Worth: func(target string) int { return p.book.Load(target).Runs },
	}
}

func (p *Process) handler() http.Handler {
	return &ingress.Handler{
		Log: p.log, Wire: p.adapter.Wire, Policy: p.policy, Confirmer: p.confirmer, KeyAge: p.keyAge(),
		Plain: p.plain, Streaming: p.streaming, Observer: p.metrics,
		Count: func(service string) { p.budget(service).Request() }, Closing: p.stopping.Load,
	}
}

// ready tells the platform whether to send callers here.
func (p *Process) ready() bool {
	if p.stopping.Load() || p.policy.Current() == nil || !p.listed.Load() {
		return false
	}
	return p.keyAge() == 0 || p.confirmer.Age() < p.keyAge()
}

// drain stops the process without cutting a request off: callers are sent
// elsewhere first, then what is in flight ends.
func (p *Process) drain(server *http.Server) {
	started := time.Now()
	p.stopping.Store(true)
	p.log.Info("edge: stopping", "runs", p.streaming.Runs.Len(), "grace_ms", p.node.Grace.Milliseconds())
	time.Sleep(min(rotationDelay, p.node.Grace/2))
	ctx, cancel := context.WithTimeout(context.Background(), max(0, p.node.Grace-exitMargin-time.Since(started)))
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		p.log.Warn("edge: requests are cut off at the end of the grace period", "runs", p.streaming.Runs.Len(), "error", err.Error())
		_ = server.Close()
	}
}

// reload takes notice of changed settings. Addresses and bounds stay as they
// were at the start; the platform restarts the process to change them.
func (p *Process) reload(ctx context.Context, path string) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		n, err := p.adapter.ReadNode(path)
		if err != nil {
			p.log.Error("edge: node file cannot be read again and the old settings stay", "error", err.Error())
			continue
		}
		p.log.Info("edge: reload", "changed", n != p.node)
	}
}

func (p *Process) targetLeaves(t targets.Target, n targets.Notice) {
	runs := p.streaming.Runs.At(n.Key)
	p.log.Info("targets: target leaves", "target", t.ID, "service", t.Service, "source", n.Source, "runs", len(runs))
	p.exchange.Kick()
	p.pool.Drop(n.Key)
	go p.mover.Evacuate(context.Background(), &t, n.At, runs)
}

// runEntered moves a run on that has come to an engine which leaves by now.
func (p *Process) runEntered(r *streaming.Run, key string) {
	n, leaves := p.targets.LeavesSince(key)
	if t := p.targets.View().Get(key); leaves && t != nil {
		go p.mover.Evacuate(context.Background(), t, n.At, []*streaming.Run{r})
	}
}

func (p *Process) budget(service string) *retrybudget.Budget {
	p.budgetsMu.Lock()
	defer p.budgetsMu.Unlock()
	b := p.budgets[service]
	if b == nil {
		b = retrybudget.New(p.node.Retry.Ratio, p.node.Retry.Slack, p.node.Retry.Window, p.members.Count)
		p.budgets[service] = b
	}
	return b
}

// confirm reads the configuration from the store, and asks the peers when the
// store does not answer soon.
func (p *Process) confirm(ctx context.Context) (bootclock.Instant, error) {
	type answer struct {
		asOf bootclock.Instant
		err  error
	}
	answers := make(chan answer, 2)
	ask := func(source func(context.Context) (bootclock.Instant, error)) {
		asOf, err := source(ctx)
		answers <- answer{asOf, err}
	}
	go ask(p.readConfiguration)
	timer := time.NewTimer(vouchAfter)
	defer timer.Stop()
	open, asked := 1, false
	var last error
	for open > 0 || !asked {
		vouch := false
		select {
		case a := <-answers:
			if open--; a.err == nil {
				return a.asOf, nil
			}
			last, vouch = a.err, !asked
		case <-timer.C:
			vouch = !asked
		}
		if vouch {
			asked = true
			open++
			go ask(func(ctx context.Context) (bootclock.Instant, error) {
				return p.exchange.Vouch(ctx, p.node.RevokeWithin/2)
			})
		}
	}
	return 0, last
}

func (p *Process) readConfiguration(ctx context.Context) (bootclock.Instant, error) {
	asOf := bootclock.Now()
	entry, err := p.store.Get(ctx, p.adapter.ConfigurationKey)
	if err != nil {
		return 0, err
	}
	accepted, err := p.policy.Offer(entry.Value, int64(entry.Revision))
	if accepted {
		p.log.Info("policy: configuration in force", "version", p.policy.Current().Version, "revision", entry.Revision, "source", "confirmation")
	}
	return asOf, err
}

func (p *Process) gauges(lines *decisionlog.Writer) metrics.Gauges {
	return metrics.Gauges{
		Runs: p.streaming.Runs.Len, Waiting: p.streaming.Queue.Len, Hosts: p.members.Count,
		Targets:   func() int { return p.targets.View().Len() },
		PolicyAge: func() time.Duration { return min(p.confirmer.Age(), math.MaxInt32*time.Millisecond) },
		Version: func() int64 {
			if c := p.policy.Current(); c != nil {
				return c.Version
			}
			return 0
		},
		Dropped: lines.Dropped,
	}
}
