// Package observe polls engines for their own load reports. The target list can lag or
// be unavailable while an engine is already leaving; the engine's report shows that
// after half a second. Each engine is polled by one host, which informs the others.
package observe

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/targets"
	"corianderhitch/internal/rendezvous"
	"corianderhitch/internal/wait"
)

const (
	// pollInterval is the time between two polls of an engine while the target list
	// is live. The list usually shows a leaving engine first.
	pollInterval = 500 * time.Millisecond
	// unlistedPollInterval replaces pollInterval while the target list isn't live. An
	// engine may give only two seconds' notice and its reports lag by half a second, so
	// that only fast polling leaves enough time to migrate its runs.
	unlistedPollInterval = 150 * time.Millisecond
	// reportTimeout bounds one report call.
	reportTimeout = 300 * time.Millisecond
)

// ReportPoller polls the engines that this host owns.
type ReportPoller struct {
	Log          *slog.Logger
	Host         string
	Engines      edge.EngineClient
	Targets      *targets.Registry
	Services     func() []string         // services whose targets are engines
	Hosts        func() []string         // names of all hosts, including this one
	RunsInFlight func(target string) int // in flight at a target; idle targets are not polled
	ListIsLive   func() bool             // reports whether the target list is up to date
}

// Run polls until ctx ends.
func (p *ReportPoller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		startedAt := time.Now()
		p.pollOnce(ctx)
		pause := pollInterval
		if !p.ListIsLive() {
			pause = unlistedPollInterval
		}
		wait.For(ctx, pause-time.Since(startedAt))
	}
}

// pollOnce polls each owned engine that has runs in flight and names no limit of requests. While
// hosts disagree about the owner of an engine, it may be polled twice.
func (p *ReportPoller) pollOnce(ctx context.Context) {
	view, hosts := p.Targets.View(), p.Hosts()
	var polls sync.WaitGroup
	for _, service := range p.Services() {
		for _, t := range view.Unlimited(service) {
			if p.RunsInFlight(t.Key()) > 0 && rendezvous.Owner(t.Key(), hosts) == p.Host {
				polls.Go(func() { p.poll(ctx, t) })
			}
		}
	}
	polls.Wait()
}

// poll requests the report of one engine and marks the engine as leaving if it says so.
func (p *ReportPoller) poll(ctx context.Context, t *targets.Target) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := p.Engines.Report(ctx, t)
	if err != nil {
		p.Log.Warn("observe: engine report failed", "target", t.ID, "address", t.Address, "error", err.Error())
		return
	}
	if report.Leaving {
		p.Log.Info("observe: engine reports that it is leaving", "target", t.ID, "leaves_in_ms", report.LeavesIn.Milliseconds(), "running", report.Running)
		p.Targets.MarkLeaving(t.Key(), "engine_report")
	}
}
