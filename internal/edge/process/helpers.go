package process

import (
	"context"
	"sync"
	"time"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/streaming"
	"corianderhitch/internal/edge/targets"
	"corianderhitch/internal/wait"
)

// helperCheckInterval is how often a host asks the helpers of its runs whether they are stopping. A
// helper goes on for some seconds after that, within which the runs move.
const helperCheckInterval = time.Second

// isMovable reports whether a call can go on at another target while it runs.
func (p *Process) isMovable(a *edge.AuthorizedCall) bool {
	if a.Service.Engine == nil || !a.Service.Engine.SupportsMigration {
		return false
	}
	view := p.targets.View()
	if a.Regions.Restricted {
		view = view.Only(a.Service.Name, func(domain string) bool { return p.streaming.Regions.Allows(a.Regions, domain) })
	}
	return len(view.Serving(a.Service.Name)) > 1
}

// watchHelpers moves runs off their engines when the helpers by way of which their streams come are
// stopping, until ctx ends. The runs go on by this host's own connections, or by another helper.
func (p *Process) watchHelpers(ctx context.Context) {
	var checks sync.WaitGroup
	defer checks.Wait()
	var checked sync.Map // helpers whose check or moves are in progress: those of others don't wait for them
	for ctx.Err() == nil {
		for helper, runs := range p.runsByHelper() {
			if _, inProgress := checked.LoadOrStore(helper, true); inProgress {
				continue
			}
			checks.Go(func() {
				defer checked.Delete(helper)
				if p.exchange.HelperIsDraining(ctx, helper) {
					p.leaveHelper(ctx, helper, runs)
				}
			})
		}
		wait.For(ctx, helperCheckInterval)
	}
}

// runsByHelper returns the runs whose streams come by way of other hosts, by the addresses of these.
func (p *Process) runsByHelper() map[string][]*streaming.Run {
	runs := make(map[string][]*streaming.Run)
	for _, r := range p.streaming.Runs.All() {
		if helper := r.Helper(); helper != "" {
			runs[helper] = append(runs[helper], r)
		}
	}
	return runs
}

// leaveHelper moves runs to other engines, so that the end of a helper does not cut their streams. It
// returns when all have moved or ended, or when it is to be tried again.
func (p *Process) leaveHelper(ctx context.Context, helper string, runs []*streaming.Run) {
	p.log.Info("forward: helper is stopping; its runs are moved", "helper", helper, "runs", len(runs))
	engines, byEngine := make(map[string]*targets.Target), make(map[string][]*streaming.Run)
	for _, r := range runs {
		if t := r.Target(); t != nil {
			engines[t.Key()] = t
			byEngine[t.Key()] = append(byEngine[t.Key()], r)
		}
	}
	var moves sync.WaitGroup
	for key, runs := range byEngine {
		moves.Go(func() { p.mover.Evacuate(ctx, engines[key], bootclock.Now(), runs) })
	}
	moves.Wait()
}
