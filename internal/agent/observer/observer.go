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
	// resultBacklog bounds the samples and the poll requests that wait for the
	// observer.
	resultBacklog = 64
	// rowBytes is the approximate size of a row in a message.
	rowBytes = 250
	// publishBytesPerSecond is the part of a host's control traffic that load reports
	// to other hosts may use.
	publishBytesPerSecond = 2500
	// minPublishInterval bounds the rate of load reports of a target in a small fleet.
	minPublishInterval = time.Second
)

// Config holds the timings of an Observer.
type Config struct {
	PollInterval time.Duration // between two polls of a target
	PollTimeout  time.Duration // of one poll
	Prober       *Prober
}

// Fleet is the fleet's state as an Observer reads and changes it.
type Fleet interface {
	Self() control.Member
	Live() []control.Member
	Targets(now time.Time) []control.TargetState
	TargetCount() int
	// TopologyVersion changes whenever a host changes, or a target in more than its
	// load.
	TopologyVersion() int64
	UpdateTarget(now time.Time, name string, change func(control.TargetState) (control.TargetState, bool))
	// PublishLoad sends the target's current load to peers.
	PublishLoad(name string)
}

// Reporter sends new observations to the owners of the pools.
type Reporter interface {
	Report(row control.TargetState, cache control.CacheDelta)
}

// Observer polls the targets that this host observes, until Stop.
type Observer struct {
	log          *slog.Logger
	fleet        Fleet
	reporter     Reporter
	host         string
	config       Config
	prober       *Prober
	results      chan targetSample
	pollRequests chan string
	stop         context.CancelFunc
	done         sync.WaitGroup

	// The fields below belong to the goroutine of run.
	topology    int64 // topology version for which pollers were assigned
	pollers     map[string]*poller
	trackers    map[string]*StateTracker
	publishedAt map[string]time.Time // when a target's load was last published
}

// Start returns an Observer that polls its targets until Stop.
func Start(log *slog.Logger, fleet Fleet, reporter Reporter, config Config) *Observer {
	ctx, cancel := context.WithCancel(context.Background())
	o := &Observer{
		log:          logging.WithPrefix(log, "observer"),
		fleet:        fleet,
		reporter:     reporter,
		host:         fleet.Self().Host,
		config:       config,
		prober:       config.Prober,
		results:      make(chan targetSample, resultBacklog),
		pollRequests: make(chan string, resultBacklog),
		stop:         cancel,
		pollers:      make(map[string]*poller),
		trackers:     make(map[string]*StateTracker),
		publishedAt:  make(map[string]time.Time),
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

// PollNow requests an immediate poll of a target. It has no effect if this host
// doesn't observe the target.
func (o *Observer) PollNow(target string) {
	select {
	case o.pollRequests <- target:
	default:
	}
}

// run assigns the pollers and handles their samples until ctx ends.
func (o *Observer) run(ctx context.Context) {
	defer o.stopPollers()
	ticker := time.NewTicker(o.config.PollInterval)
	defer ticker.Stop()
	o.assignPollers(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			o.assignPollers(ctx)
		case name := <-o.pollRequests:
			if p := o.pollers[name]; p != nil {
				p.PollNow()
			}
		case sample := <-o.results:
			o.handleSample(time.Now(), sample)
		}
	}
}

// assignPollers starts pollers for the targets that this host now observes, and stops
// the others.
func (o *Observer) assignPollers(ctx context.Context) {
	topology := o.fleet.TopologyVersion()
	if topology == o.topology {
		return
	}
	o.topology = topology
	owned := OwnedTargets(o.fleet.Self(), o.fleet.Live(), o.fleet.Targets(time.Now()))
	for name, p := range o.pollers {
		if row, still := owned[name]; !still || row.Address != p.target.Address {
			p.Stop()
			delete(o.pollers, name)
			delete(o.trackers, name)
			delete(o.publishedAt, name)
		}
	}
	for name, row := range owned {
		if o.pollers[name] == nil {
			o.trackers[name] = &StateTracker{}
			o.pollers[name] = startPoller(ctx, row.Target, o.prober, o.config, o.results)
		}
	}
}

// handleSample updates the target's row with a sample, and reports and publishes the
// load. Samples of an earlier address or of a target that has left are dropped.
func (o *Observer) handleSample(now time.Time, sample targetSample) {
	name := sample.target.Name
	tracker := o.trackers[name]
	if tracker == nil || sample.Outcome == OutcomeUnknown {
		return
	}
	var row control.TargetState
	o.fleet.UpdateTarget(now, name, func(old control.TargetState) (control.TargetState, bool) {
		if old.Name == "" || old.Left || old.Address != sample.target.Address {
			return old, false
		}
		row = tracker.Update(now, o.host, old, sample.Sample)
		o.logChange(old, row)
		return row, true
	})
	if row.Name == "" {
		return
	}
	if row.Kind == platform.TargetEngine {
		o.reporter.Report(row, sample.Cache)
	}
	o.publishLoad(now, name)
}

// publishLoad publishes a target's load at an interval that grows with the number of
// targets, so that the host's traffic stays constant.
func (o *Observer) publishLoad(now time.Time, name string) {
	interval := time.Duration(o.fleet.TargetCount()) * maxLoadSends * rowBytes * time.Second / publishBytesPerSecond
	if now.Sub(o.publishedAt[name]) >= max(interval, minPublishInterval) {
		o.publishedAt[name] = now
		o.fleet.PublishLoad(name)
	}
}

func (o *Observer) logChange(old, row control.TargetState) {
	if old.Healthy != row.Healthy {
		o.log.Info("Target health changed.", "target", row.Name, "healthy", row.Healthy)
	}
	if old.Leaving != row.Leaving {
		o.log.Info("Target leaving state changed.", "target", row.Name, "leaving", row.Leaving)
	}
}

func (o *Observer) stopPollers() {
	for _, p := range o.pollers {
		p.Stop()
	}
}

// OwnedTargets returns the rows of the targets that self observes, by name. A target
// is observed by a host of its region, or by any host if the region has none.
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
