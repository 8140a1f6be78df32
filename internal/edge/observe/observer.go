// Package observe asks engines for their own reports. A target list can lag or
// fall silent while an engine is already about to leave; its report says so half
// a second late. Each engine is asked by one host, which tells the others.
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
	// period is how often an engine is asked while the target list is followed,
	// which usually knows first.
	period = 500 * time.Millisecond
	// alonePeriod is the same while it is not: a notice of two seconds leaves time
	// to move runs only if it is heard soon after the half second that reports lag.
	alonePeriod = 150 * time.Millisecond
	// askTimeout bounds one report.
	askTimeout = 300 * time.Millisecond
)

// Observer asks the engines that this host owns.
type ReportPoller struct {
	Log          *slog.Logger
	Host         string
	Engines      edge.EngineClient
	Targets      *targets.Registry
	Services     func() []string         // services whose targets are engines
	Hosts        func() []string         // all hosts, this one included
	RunsInFlight func(target string) int // in flight at a target; idle ones are not asked
	ListIsLive   func() bool             // tells whether the target list is followed now
}

// Run asks until ctx ends.
func (o *ReportPoller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		begun := time.Now()
		o.round(ctx)
		pause := period
		if !o.ListIsLive() {
			pause = alonePeriod
		}
		wait.For(ctx, pause-time.Since(begun))
	}
}

// round asks each owned engine once. If two hosts own an engine, it is asked
// twice.
func (o *ReportPoller) round(ctx context.Context) {
	view, hosts := o.Targets.View(), o.Hosts()
	var asked sync.WaitGroup
	for _, service := range o.Services() {
		for _, t := range view.Available(service) {
			if o.RunsInFlight(t.Key()) > 0 && rendezvous.Owner(t.Key(), hosts) == o.Host {
				asked.Go(func() { o.ask(ctx, t) })
			}
		}
	}
	asked.Wait()
}

func (o *ReportPoller) ask(ctx context.Context, t *targets.Target) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	report, err := o.Engines.Report(ctx, t.Address)
	if err != nil {
		o.Log.Warn("observe: engine does not report", "target", t.ID, "address", t.Address, "error", err.Error())
		return
	}
	if report.Leaving {
		o.Log.Info("observe: engine reports that it leaves", "target", t.ID, "leaves_in_ms", report.LeavesIn.Milliseconds(), "running", report.Running)
		o.Targets.MarkLeaving(t.Key(), "engine_report")
	}
}
