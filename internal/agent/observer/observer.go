package observer

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"corianderhitch/api/control"
	"corianderhitch/internal/logging"
	"corianderhitch/internal/platform"
	"corianderhitch/internal/rendezvous"
)

const (
	// resultBacklog bounds the samples that wait for the observer.
	resultBacklog = 64
	// rowBytes is the size of a row in a message, for the pace of refreshes.
	rowBytes = 250
	// refreshBytesPerSecond is the share of the control traffic of a host that
	// load reports between hosts may take.
	refreshBytesPerSecond = 2500
	// minRefresh bounds the pace of refreshes of a small fleet.
	minRefresh = time.Second
)

// Config holds the timings of an Observer.
type Config struct {
	PollInterval time.Duration // between two polls of a target
	PollTimeout  time.Duration // of one poll
}

// Fleet is what an Observer needs to know of and tell to the fleet.
type Fleet interface {
	Self() control.Member
	Live() []control.Member
	Targets(now time.Time) []control.TargetState
	TargetCount() int
	// Layout changes whenever hosts or more than the load of targets change.
	TopologyVersion() int64
	UpdateTarget(now time.Time, name string, change func(control.TargetState) (control.TargetState, bool))
	PublishLoad(name string)
}

// Reporter takes fresh observations to the owners of the pools.
type Reporter interface {
	Report(row control.TargetState, cache control.CacheDelta)
}

// Observer polls the targets that this host observes, until Stop.
type Observer struct {
	log      *slog.Logger
	fleet    Fleet
	reporter Reporter
	host     string
	config   Config
	prober   *Prober
	results  chan polled
	pokes    chan string
	stop     context.CancelFunc
	done     sync.WaitGroup

	// The rest belongs to the goroutine of run.
	layout    int64 // that the pollers belong to
	pollers   map[string]*poller
	judges    map[string]*StateTracker
	refreshed map[string]time.Time
}

// Start begins to observe.
func Start(log *slog.Logger, fleet Fleet, reporter Reporter, config Config) *Observer {
	ctx, cancel := context.WithCancel(context.Background())
	o := &Observer{
		log:       logging.Part(log, "observer"),
		fleet:     fleet,
		reporter:  reporter,
		host:      fleet.Self().Host,
		config:    config,
		prober:    NewProber(),
		results:   make(chan polled, resultBacklog),
		pokes:     make(chan string, resultBacklog),
		stop:      cancel,
		pollers:   make(map[string]*poller),
		judges:    make(map[string]*StateTracker),
		refreshed: make(map[string]time.Time),
	}
	o.done.Go(func() { o.run(ctx) })
	return o
}

// Stop ends all polls and waits for their goroutines.
func (o *Observer) Stop() {
	o.stop()
	o.done.Wait()
	o.prober.Close()
}

// Poke asks for a poll of a target at once, if this host observes it.
func (o *Observer) PollNow(target string) {
	select {
	case o.pokes <- target:
	default:
	}
}

func (o *Observer) run(ctx context.Context) {
	defer o.stopPollers()
	ticker := time.NewTicker(o.config.PollInterval)
	defer ticker.Stop()
	o.assign(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			o.assign(ctx)
		case name := <-o.pokes:
			if p := o.pollers[name]; p != nil {
				p.PollNow()
			}
		case sample := <-o.results:
			o.take(time.Now(), sample)
		}
	}
}

// assign starts pollers for the targets that this host observes now and stops
// the others.
func (o *Observer) assign(ctx context.Context) {
	layout := o.fleet.TopologyVersion()
	if layout == o.layout {
		return
	}
	o.layout = layout
	owned := OwnedTargets(o.fleet.Self(), o.fleet.Live(), o.fleet.Targets(time.Now()))
	for name, p := range o.pollers {
		if row, still := owned[name]; !still || row.Address != p.target.Address {
			p.Stop()
			delete(o.pollers, name)
			delete(o.judges, name)
			delete(o.refreshed, name)
		}
	}
	for name, row := range owned {
		if o.pollers[name] == nil {
			o.judges[name] = &StateTracker{}
			o.pollers[name] = startPoller(ctx, row.Target, o.prober, o.config, o.results)
		}
	}
}

func (o *Observer) take(now time.Time, sample polled) {
	name := sample.target.Name
	judge := o.judges[name]
	if judge == nil {
		return
	}
	var row control.TargetState
	o.fleet.UpdateTarget(now, name, func(old control.TargetState) (control.TargetState, bool) {
		if old.Name == "" || old.Left || old.Address != sample.target.Address {
			return old, false
		}
		row = judge.Update(now, o.host, old, sample.Sample)
		o.logChange(old, row)
		return row, true
	})
	if row.Name == "" {
		return
	}
	if row.Kind == platform.TargetEngine {
		o.reporter.Report(row, sample.Cache)
	}
	o.refresh(now, name)
}

// refresh lets the load of a target travel to peers at a pace that keeps the
// traffic of a host constant, however many targets there are.
func (o *Observer) refresh(now time.Time, name string) {
	pace := time.Duration(o.fleet.TargetCount()) * refreshSends * rowBytes * time.Second / refreshBytesPerSecond
	if now.Sub(o.refreshed[name]) >= max(pace, minRefresh) {
		o.refreshed[name] = now
		o.fleet.PublishLoad(name)
	}
}

func (o *Observer) logChange(old, row control.TargetState) {
	if old.Healthy != row.Healthy {
		o.log.Info("Target changed health.", "target", row.Name, "healthy", row.Healthy)
	}
	if old.Leaving != row.Leaving {
		o.log.Info("Target changed leaving.", "target", row.Name, "leaving", row.Leaving)
	}
}

func (o *Observer) stopPollers() {
	for _, p := range o.pollers {
		p.Stop()
	}
}

// Owned returns the rows of the targets that self observes, by name.
func OwnedTargets(self control.Member, live []control.Member, rows []control.TargetState) map[string]control.TargetState {
	byRegion := make(map[string][]string)
	var all []string
	for _, m := range live {
		byRegion[m.Region] = append(byRegion[m.Region], m.Host)
		all = append(all, m.Host)
	}
	owned := make(map[string]control.TargetState)
	for _, r := range rows {
		hosts := byRegion[r.Region]
		if len(hosts) == 0 {
			hosts = all
		}
		if rendezvous.Owner("observe/"+r.Name, hosts) == self.Host {
			owned[r.Name] = r
		}
	}
	return owned
}
