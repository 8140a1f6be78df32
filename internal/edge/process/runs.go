package process

import (
	"context"
	"time"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/observe"
	"corianderhitch/internal/edge/placement"
	"corianderhitch/internal/edge/retrybudget"
	"corianderhitch/internal/edge/streaming"
	"corianderhitch/internal/edge/targets"
)

// estimateSpread estimates how many runs other hosts place before this host learns of
// them, for the case that no hub places the run.
func (p *Process) estimateSpread() int {
	p.placementRate.RecordRun()
	switch {
	case len(p.members.Hubs()) == 0: // the list of hosts is not known yet
		return placement.MaxSpread
	case p.exchange.PlacesRuns():
		return 1
	}
	return placement.EstimateSpread(p.placementRate.PerSecond(), p.members.Count(), p.exchange.FleetLoadAge())
}

// chooseForPeer chooses an engine for a run of another host. Engines that want a pause from
// this host may accept that run; the other host excludes those that want one from it.
func (p *Process) chooseForPeer(service string, need placement.Requirements, tried map[string]bool) placement.Decision {
	c := p.policy.Current()
	if c == nil || c.Service(service) == nil || c.Service(service).Engine == nil {
		return placement.Decision{}
	}
	view := p.targets.View().Only(service, func(domain string) bool { return p.streaming.Regions.Allows(need.Regions, domain) })
	return p.streaming.ChooseEngine(view.Serving(service), c.Service(service), need, tried)
}

// reportPoller returns the poller of the engines' reports.
func (p *Process) reportPoller() *observe.ReportPoller {
	return &observe.ReportPoller{
		Log: p.log, Host: p.node.Name, Engines: p.streaming.Engines, Targets: p.targets,
		Services: func() []string {
			if c := p.policy.Current(); c != nil {
				return c.EngineServices()
			}
			return nil
		},
		Hosts:        p.members.Names,
		RunsInFlight: func(target string) int { return p.inflight.TotalLoad(target).Runs },
		ListIsLive:   func() bool { return p.exchange.HasLiveHub() || p.feeds.targets.Live() },
	}
}

// newEngineClient returns the client for control calls of engines, which are recorded as metrics.
func (p *Process) newEngineClient() edge.EngineClient {
	return &observe.EngineClient{EngineClient: p.adapter.NewEngineClient(p.pool),
		ObserveCall: func(call, result string, took time.Duration) { p.metrics.ObserveEngineCall(call, result, took) }}
}

// onTargetLeaving passes a leaving notice on to other hosts and moves this host's
// runs off the target.
func (p *Process) onTargetLeaving(t targets.Target, n targets.LeavingNotice) {
	runs := p.streaming.Runs.AtTarget(n.Key)
	p.log.Info("targets: target is leaving", "target", t.ID, "service", t.Service, "source", n.Source, "runs", len(runs))
	p.exchange.SendNotices()
	p.pool.CloseIdle(n.Key)
	go p.mover.Evacuate(context.Background(), &t, n.ReceivedAt, runs)
}

// isLeaving reports whether a target is leaving or no longer listed.
func (p *Process) isLeaving(key string) bool {
	_, announced := p.targets.LeavingNotice(key)
	return announced || p.targets.View().Get(key) == nil
}

// onRunEntered migrates a run that has just started or resumed at a leaving engine.
func (p *Process) onRunEntered(r *streaming.Run, key string) {
	n, announced := p.targets.LeavingNotice(key)
	if t := p.targets.View().Get(key); announced && t != nil {
		go p.mover.Evacuate(context.Background(), t, n.ReceivedAt, []*streaming.Run{r})
	}
}

// observeHosts tells the retry budgets of all services, and what divides the limits of targets,
// how many hosts there are.
func (p *Process) observeHosts() {
	p.limitShares.ObserveSize(bootclock.Now(), p.members.ListedCount())
	c := p.policy.Current()
	if c == nil {
		return
	}
	for _, service := range c.ServiceNames() {
		p.retryBudget(service).ObserveHosts()
	}
}

// retryBudget returns the retry budget of a service.
func (p *Process) retryBudget(service string) *retrybudget.Budget {
	p.retryBudgetsMu.Lock()
	defer p.retryBudgetsMu.Unlock()
	b := p.retryBudgets[service]
	if b == nil {
		b = retrybudget.New(p.node.Retry.Ratio, p.node.Retry.Slack, p.node.Retry.Window, p.startedAt, p.members.ListedCount)
		b.OnDecision = func(d retrybudget.Decision) { p.metrics.ObserveRetry(service, d.Granted) }
		p.retryBudgets[service] = b
	}
	return b
}

// connectionShare returns how many of the connections that a target accepts from all hosts
// fall to this one, 0 if that is not known.
func (p *Process) connectionShare(incarnation string) float64 {
	target, config, hosts := p.targets.View().Get(incarnation), p.policy.Current(), p.members.ListedCount()
	if target == nil || config == nil || hosts == 0 {
		return 0
	}
	service := config.Service(target.Service)
	if service == nil {
		return 0
	}
	return float64(service.MaxConnections) / float64(hosts)
}
