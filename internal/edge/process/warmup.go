package process

import (
	"context"
	"time"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/node"
	"corianderhitch/internal/edge/targetnotice"
	"corianderhitch/internal/edge/targets"
	"corianderhitch/internal/edge/warmup"
	"corianderhitch/internal/platform"
)

const (
	// warmupRefreshInterval is how often the shares of cold targets follow the list of hosts.
	warmupRefreshInterval = 500 * time.Millisecond
	// borrowInterval is the least time between two questions for the share of another host.
	borrowInterval = 200 * time.Millisecond
)

// initWarmup makes the sends to cold targets bounded, if the deployment states a bound.
func (p *Process) initWarmup(notices *targetnotice.Tracker) {
	if p.node.Cold == (node.ColdBound{}) {
		return
	}
	p.warmup = warmup.New(p.log, p.node.Name, p.node.Cold, func(name string) (rate float64, coldFor time.Duration) {
		c := p.policy.Current()
		if c == nil || c.Service(name) == nil {
			return 0, 0
		}
		return c.Service(name).ColdRate, c.Service(name).ColdFor
	})
	p.warmup.PlacedByHub = func(name string) bool {
		c := p.policy.Current()
		return c != nil && c.Service(name) != nil && c.Service(name).Engine != nil
	}
	notices.Warmup = p.warmup
}

// hubPermits are the permits of the placing hub for its own runs.
type hubPermits struct{ process *Process }

// HasHubPermit implements placement.Permits. A host that has lost the store does not place for others, and
// another one may do so.
func (h hubPermits) HasHubPermit(incarnation string, now bootclock.Instant) bool {
	return h.process.exchange.PlacesRuns() && h.process.warmup.HasHubPermit(incarnation, now)
}

// TakeHubPermit implements placement.Permits.
func (h hubPermits) TakeHubPermit(incarnation string, now bootclock.Instant) bool {
	return h.process.exchange.PlacesRuns() && h.process.warmup.TakeHubPermit(incarnation, now)
}

// warmupEntries returns the function that is called with each entry of a target, nil for none.
func (p *Process) warmupEntries() func(t *targets.Target, revision platform.Revision) {
	if p.warmup == nil {
		return nil
	}
	return func(t *targets.Target, revision platform.Revision) {
		p.warmup.ObserveEntry(t.Key(), t.Service, revision, t.WarmupLeft, bootclock.Now())
	}
}

// refreshWarmup lets the shares of cold targets follow the list of hosts, and borrows those that
// other hosts don't use. It is called every followCheckInterval, by one goroutine.
func (p *Process) refreshWarmup(ctx context.Context) {
	if p.warmup == nil {
		return
	}
	now := bootclock.Now()
	if p.warmupRefreshedAt == 0 || now.Sub(p.warmupRefreshedAt) >= warmupRefreshInterval {
		p.warmupRefreshedAt = now
		var hosts []string
		if p.members.ListedCount() > 0 {
			hosts = p.members.Names()
		}
		p.warmup.Refresh(hosts, now)
		hubs := p.members.Hubs()
		p.warmup.ObserveHub(len(hubs) > 0 && hubs[0].Name == p.node.Name, now)
	}
	if now.Sub(p.borrowedAt) >= borrowInterval {
		p.borrowedAt = now
		p.exchange.BorrowShare(ctx)
	}
}
