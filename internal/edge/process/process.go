package process

import (
	"context"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/admission"
	"corianderhitch/internal/edge/asynclog"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/draining"
	"corianderhitch/internal/edge/ejection"
	"corianderhitch/internal/edge/evacuation"
	"corianderhitch/internal/edge/forwarding"
	"corianderhitch/internal/edge/freshness"
	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/ingress"
	"corianderhitch/internal/edge/limitshare"
	"corianderhitch/internal/edge/metrics"
	"corianderhitch/internal/edge/migration"
	"corianderhitch/internal/edge/node"
	"corianderhitch/internal/edge/peers"
	"corianderhitch/internal/edge/placement"
	"corianderhitch/internal/edge/plain"
	"corianderhitch/internal/edge/policy"
	"corianderhitch/internal/edge/relay"
	"corianderhitch/internal/edge/retrybudget"
	"corianderhitch/internal/edge/stall"
	"corianderhitch/internal/edge/storeera"
	"corianderhitch/internal/edge/streaming"
	"corianderhitch/internal/edge/targetconn"
	"corianderhitch/internal/edge/targetgate"
	"corianderhitch/internal/edge/targetnotice"
	"corianderhitch/internal/edge/targets"
	"corianderhitch/internal/edge/targetspeed"
	"corianderhitch/internal/edge/waitlist"
	"corianderhitch/internal/edge/warmup"
	"corianderhitch/internal/logging"
	"corianderhitch/internal/quarantine"
	"corianderhitch/internal/telemetry"
	"corianderhitch/internal/web"
)

const (
	// expiryHeartbeats times the targets' heartbeat period is how long a store outage
	// must last before entries of live targets may have expired during it.
	expiryHeartbeats = 2
	// headerTimeout bounds the time for reading a request's headers.
	headerTimeout = 3 * time.Second
	// maxHeaderBytes bounds the size of a request's headers.
	maxHeaderBytes = 16 << 10
)

// Process is the edge process of one host.
type Process struct {
	log           *slog.Logger
	startedAt     bootclock.Instant
	node          node.Node
	bounds        *bounds
	adapter       Adapter
	store         peers.Store
	policy        *policy.Holder
	evacuated     *evacuation.Holder // nil if the deployment evacuates no failure domain
	confirmer     *freshness.Confirmer
	targets       *targets.Registry
	inflight      *inflight.Table
	eras          *storeera.Tracker
	members       *peers.Members
	exchange      *peers.Exchange
	gate          *targetgate.Gate
	pool          *targetconn.Pool
	streaming     *streaming.Server
	plain         *plain.Server
	mover         *migration.Mover
	replicator    *migration.Replicator
	metrics       *metrics.Metrics
	targetLog     *relay.ChangeLog
	feeds         *feeds
	contact       storeContact
	placementRate placement.Rate
	targetsListed atomic.Bool
	operator      operatorState
	drain         *draining.Drain
	limitShares   *limitshare.Shares
	warmup        *warmup.Tracker // nil if the deployment bounds nothing
	forwarder     *forwarder
	forwards      *forwarding.Server
	stalls        stall.Detector
	quarantine    *quarantine.Tracker
	speeds        *targetspeed.Tracker
	crashes       *edge.CrashGuard
	// warmupRefreshedAt and borrowedAt are of the last refreshWarmup that did so; only for its goroutine.
	warmupRefreshedAt, borrowedAt bootclock.Instant
	waitlist                      *waitlist.List
	// keepsHeldUntil is the bootclock.Instant until which this host stores all changes of what is held back.
	keepsHeldUntil atomic.Int64
	heldChanged    chan struct{} // holds at most one pending request to store what is held back

	retryBudgetsMu sync.Mutex
	retryBudgets   map[string]*retrybudget.Budget // guarded by retryBudgetsMu; by service
}

// Run returns the main function of the edge process on a platform.
func Run(adapter Adapter) func(ctx context.Context, _ io.Writer, s Settings) error {
	return func(ctx context.Context, _ io.Writer, s Settings) error {
		out := adapter.LogOutput
		if out == nil {
			out = os.Stdout
		}
		logWriter := asynclog.NewWriter(out)
		defer logWriter.Close()
		root := logging.New(logWriter, s.logSettings())
		log := slog.New(asynclog.NewSampler(root.Handler()))
		n, err := adapter.ReadNode(s.NodeFile)
		if err != nil {
			return err
		}
		if n.MemoryBytes > 0 {
			debug.SetMemoryLimit(n.MemoryBytes * int64(s.MemoryShare) / 100)
		}
		p := newProcess(log, n, adapter, newBounds(&n, &s))
		signals, err := telemetry.Start(ctx, "edge", n.Name, s.Settings)
		if err != nil {
			return err
		}
		defer func() {
			flush, cancel := context.WithTimeout(context.Background(), p.exitTime(tracesShare))
			defer cancel()
			if err := signals.Stop(flush); err != nil {
				log.Warn("edge: last traces could not be exported", "error", err.Error())
			}
		}()
		p.metrics, err = metrics.New(signals.Meter, p.gauges(logWriter))
		if err != nil {
			return err
		}
		p.streaming.Observer, p.mover.Observe, p.replicator.Observe = p.metrics, p.metrics.ObserveMove, p.metrics.ObserveReplica
		p.gate.Observer = p.metrics
		p.replicator.MaxMemoryShare = float64(s.ReplicaShare) / 100
		log.Info("edge: start", "host", n.Name, "domain", n.Domain, "front", n.CallerAddress, "store", n.StoreAddress, "memory_bytes", n.MemoryBytes,
			"held_bound_bytes", p.bounds.memory.Size(), "connection_bound", p.bounds.connections)
		return p.run(ctx, signals, s)
	}
}

// newProcess composes the process without starting it.
func newProcess(log *slog.Logger, n node.Node, adapter Adapter, b *bounds) *Process {
	p := &Process{
		log: log, startedAt: bootclock.Now(), node: n, bounds: b, adapter: adapter,
		policy: policy.NewHolder(adapter.DecodeConfiguration), inflight: inflight.New(n.Name), retryBudgets: make(map[string]*retrybudget.Budget),
		drain: draining.New(n.Grace - exitMargin(n.Grace)),
	}
	p.quarantine = quarantine.New(n.Name, p.onQuarantineChange)
	p.quarantine.Hosts = func() []string { return p.members.Names() }
	p.crashes, p.heldChanged = &edge.CrashGuard{Tracker: p.quarantine}, make(chan struct{}, 1)
	p.eras = storeera.New(log)
	p.store = &countedStore{Store: adapter.NewStore(n.StoreAddress), count: func(call, result string) { p.metrics.ObserveStoreCall(call, result) }, observeEra: p.eras.Observe, heard: p.contact.heard}
	notices := targetnotice.New()
	p.limitShares = limitshare.New(n.Name, func() []string { return p.members.Names() })
	notices.Share = p.limitShares.Of
	p.initWarmup(notices)
	p.targets = targets.New(notices, p.onTargetLeaving)
	p.evacuated = p.newEvacuated()
	p.targets.ExcludeEvacuated(p.evacuated)
	p.gate = &targetgate.Gate{Log: log, Wire: adapter.Wire, Notices: notices, Targets: p.targets, Warmup: p.warmup}
	p.pool = targetconn.New(adapter.requestID, p.gate, p.connectionShare)
	p.forwarder = newForwarder(p)
	p.pool.Forwarder, p.pool.LocalIP, p.pool.HelperLifetime = p.forwarder, n.IP, n.Grace-exitMargin(n.Grace)
	p.forwards = &forwarding.Server{Log: log, Pool: p.pool, CutOff: p.forwarder.cutOff, TimeLeft: p.drain.TimeLeft,
		IsHost: func(ip string) bool { return p.members.HasIP(ip) }, Bodies: b.memory.Part(b.memory.Size() / forwardedBodiesPart)}
	p.targetLog = relay.NewChangeLog(p.newTargetSink())
	p.feeds = p.newFeeds()
	p.initStoreContact()
	p.confirmer = freshness.New(log, p.confirmPeriod, p.confirm)
	p.members = peers.NewMembers(log, p.store, p.eras, relay.Host{Name: n.Name, Address: n.PeerAddress(), CPUs: n.CPUs, Mbps: n.LinkMbps, Forward: n.ForwardAddress(), Region: n.Region})
	health := ejection.New()
	p.speeds = targetspeed.New(p.comparedTargets, p.onSpeedChange)
	p.exchange = &peers.Exchange{Log: log, Host: n.Name, Members: p.members, Inflight: p.inflight, Targets: p.targets,
		ChangeLog: p.targetLog, Policy: p.policy, Evacuated: p.evacuated, Confirmer: p.confirmer, Operator: &p.operator, Health: health, Eras: p.eras, FollowsStore: p.feeds.live, IsDraining: func() bool { return p.drain.Begun().Err() != nil },
		Notices: notices, Warmup: p.warmup, Quarantine: p.quarantine, Speeds: p.speeds}
	p.crashes.OnEvidence = p.exchange.SendEvidence
	p.exchange.Init()
	sender := &edge.Sender{Wire: adapter.Wire, Pool: p.pool, Crashes: p.crashes, Longest: p.drain.Longest, Movable: p.isMovable}
	p.plain = &plain.Server{Sender: sender, Targets: p.targets, Inflight: p.inflight, Health: health, RetryBudget: p.retryBudget, Domain: n.Domain, Regions: regionsOf(&n), Stalls: &p.stalls, Drain: p.drain, Queue: admission.New(p.inflight.Changed),
		LargeBodies: b.memory.Part(b.memory.Size() / largeAnswersPart), Memory: b.memory, Speeds: p.speeds}
	p.streaming = &streaming.Server{
		Sender: sender, Engines: p.newEngineClient(), Targets: p.targets, Inflight: p.inflight, Health: health,
		Lengths: streaming.NewOutputLengths(), Queue: admission.New(p.inflight.Changed), Runs: streaming.NewRuns(p.onRunEntered),
		RetryBudget: p.retryBudget, Domain: n.Domain, Regions: regionsOf(&n), EstimateSpread: p.estimateSpread, PlaceViaHub: p.exchange.PlaceAtHub, Drain: p.drain, Stalls: &p.stalls, Speeds: p.speeds,
		Memory: b.memory,
	}
	p.streaming.CutOff = p.forwarder.cutOff
	p.exchange.ChooseEngine = p.chooseForPeer
	p.waitlist = waitlist.New()
	if n.OrderedAdmission {
		p.orderRuns()
	}
	p.streaming.Permits = hubPermits{p}
	p.mover = &migration.Mover{
		Log: log, Host: n.Name, Engines: p.streaming.Engines, Inflight: p.inflight, ReserveEngine: p.streaming.ReserveEngine,
		IsLeaving: p.isLeaving, IsEvacuated: p.isEvacuated, WantsPause: func(key string) bool { return notices.IsPausedForAny(key, bootclock.Now()) },
	}
	p.replicator = &migration.Replicator{
		Engines: p.streaming.Engines, Inflight: p.inflight, Runs: p.streaming.Runs.All, ReserveEngine: p.streaming.ReserveEngine, IsLeaving: p.isLeaving,
		IsEvacuated: p.isEvacuated, Stalls: &p.stalls,
	}
	return p
}

// run serves callers until ctx ends, then drains and stops the process.
func (p *Process) run(ctx context.Context, signals *telemetry.Telemetry, s Settings) error {
	listener, err := net.Listen("tcp", p.node.CallerAddress)
	if err != nil {
		return eris.Wrapf(err, "cannot listen for callers on %s; free the address", p.node.CallerAddress)
	}
	if err := p.exchange.Start(p.node.PeerAddress()); err != nil {
		return err
	}
	if err := p.forwards.Start(p.node.ForwardAddress()); err != nil {
		p.exchange.Stop()
		return err
	}
	defer p.forwards.Stop()
	endpoints, err := web.StartWithPages(p.node.ReadinessAddress, p.ready, signals.Handler(), p.pages(), p.adapter.ReadyPath)
	if err != nil {
		p.exchange.Stop()
		return err
	}
	background, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	p.background(background, &wait, s)
	idle := &ingress.IdleConnections{Configured: p.idleTimeout}
	wait.Go(func() { idle.Run(background) })
	connections := p.callers(listener, idle)
	requests, abort := context.WithCancelCause(context.Background())
	defer abort(nil)
	server := &http.Server{
		Handler: p.handler(), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:    slog.NewLogLogger(p.log.Handler(), slog.LevelWarn),
		BaseContext: func(net.Listener) context.Context { return requests },
		ConnContext: ingress.WithConnection,
		ConnState:   connections.ConnState,
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(connections) }()
	select {
	case <-ctx.Done():
		p.stop(server, connections, abort)
	case err = <-served:
	}
	p.stopTasks(cancel, &wait, endpoints)
	p.log.Info("edge: stop", "runs_left", p.streaming.Runs.Len())
	return err
}

// idleTimeout returns the idle timeout of the configuration in force, 0 if there is none.
func (p *Process) idleTimeout() time.Duration {
	if c := p.policy.Current(); c != nil {
		return c.Limits.IdleTimeout
	}
	return 0
}

// background starts the tasks that run in addition to the callers' requests.
func (p *Process) background(ctx context.Context, wait *sync.WaitGroup, s Settings) {
	wait.Go(func() { p.follow(ctx) })
	wait.Go(func() { p.confirmer.Run(ctx) })
	wait.Go(func() { p.members.Run(ctx) })
	wait.Go(func() { p.eras.Run(ctx, p.store, p.exchange.IsHub) })
	wait.Go(func() { p.exchange.Run(ctx) })
	wait.Go(func() { p.watchReach(ctx) })
	wait.Go(func() { p.watchHelpers(ctx) })
	wait.Go(func() { p.replicator.Run(ctx) })
	wait.Go(func() { p.reportPoller().Run(ctx) })
	wait.Go(func() { p.keepHeld(ctx) })
	wait.Go(func() { p.reload(ctx, s.NodeFile) })
}

// handler returns the handler of callers' requests.
func (p *Process) handler() http.Handler {
	return &ingress.Handler{
		Log: p.log, Wire: p.adapter.Wire, Policy: p.policy, Confirmer: p.confirmer, MaxKeyAge: p.maxKeyAge(), RecheckAge: p.recheckAge(), Outdated: p.mayBeOutdated,
		Plain: p.plain, Streaming: p.streaming, Observer: p.metrics,
		CountRequest: func(service string) { p.retryBudget(service).RecordRequest() }, Drain: p.drain,
		Memory: p.bounds.memory, MaxHeaderLines: p.bounds.maxLines,
	}
}

// ready reports whether the platform may send callers to this host.
func (p *Process) ready() bool {
	if p.drain.Begun().Err() != nil || p.policy.Current() == nil || !p.targetsListed.Load() || !p.evacuated.Known() {
		return false
	}
	return p.maxKeyAge() == 0 || p.confirmer.Age() < p.maxKeyAge()
}

// gauges returns the values that the metrics read at each scrape.
func (p *Process) gauges(logWriter *asynclog.Writer) metrics.Gauges {
	return metrics.Gauges{
		Runs: p.streaming.Runs.Len, ExpectedTokens: p.inflight.ExpectedTokens, TargetListAge: p.targetListAge, WaitingRuns: p.streaming.Queue.Len, Hosts: p.members.Count,
		Targets:   func() int { return p.targets.View().Len() },
		PolicyAge: func() time.Duration { return min(p.confirmer.Age(), math.MaxInt32*time.Millisecond) },
		PolicyVersion: func() int64 {
			if c := p.policy.Current(); c != nil {
				return c.Version
			}
			return 0
		},
		StoreEra:         p.eras.Current,
		EvacuatedDomains: p.evacuated.Count,
		HeldKeys:         p.heldKeys,
		DroppedLogLines:  logWriter.Dropped,
		Slowness:         p.speeds.Slow,
		ColdTargets:      p.warmup.Count,
		Waitlist:         func() waitlist.Stats { return p.waitlist.Stats(bootclock.Now()) },
		HeldBytes:        p.bounds.memory.Held, HeldBound: p.bounds.memory.Size,
		Connections: p.bounds.openConnections, ConnectionBound: func() int { return p.bounds.connections },
	}
}
