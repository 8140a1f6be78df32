package peers

import (
	"context"
	"time"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/relay"
)

const (
	// leastSyncPeriod is the age that loads of other hosts reach in a small fleet:
	// within it, hosts choose the same empty engine.
	leastSyncPeriod = 80 * time.Millisecond
	// syncPerHost makes the period grow with the fleet, so that a hub answers at
	// most 200 calls a second: it knows of runs that begin from placing them, and
	// learns from syncs only that they ended.
	syncPerHost = 5 * time.Millisecond
	// fleetTurns is how many syncs go without the loads of all hosts to one with
	// them.
	fleetTurns = 4
	// standbyTurns is how many syncs with the first hub go with one to the second,
	// which only stands by.
	standbyTurns = 5
)

// Run syncs with the hubs until ctx ends.
func (e *Exchange) Run(ctx context.Context) {
	go e.announce(ctx)
	timer := time.NewTimer(leastSyncPeriod)
	defer timer.Stop()
	for turn := 0; ; turn++ {
		hurried := false
		select {
		case <-ctx.Done():
			return
		case <-e.hurry:
			hurried = true
		case <-timer.C:
		}
		timer.Reset(e.SyncPeriod())
		for rank, hub := range e.Members.Hubs() {
			due := rank == 0 || hurried || turn%standbyTurns == 0 || !e.answers(e.Members.Hubs()[0].Name)
			if hub.Name != e.Host && due {
				go e.sync(ctx, hub, turn%fleetTurns == 0 || len(e.Members.Hubs()) < relay.HubCount)
			}
		}
	}
}

// Period returns the time between two syncs with the first hub.
func (e *Exchange) SyncPeriod() time.Duration {
	return max(leastSyncPeriod, syncPerHost*time.Duration(e.Members.Count()))
}

// FleetAge returns the age that the loads of all hosts reach on a host that
// places runs alone.
func (e *Exchange) FleetLoadAge() time.Duration { return fleetTurns * e.SyncPeriod() }

func (e *Exchange) sync(ctx context.Context, hub relay.Host, wantFleet bool) {
	args := SyncArgs{Host: e.Host, WantFleet: wantFleet, Loads: e.Inflight.OwnLoads(), Leaving: e.Targets.AnnouncedLeaving(), Failing: e.Health.RecentlyFailed(), ListRevision: e.ChangeLog.Revision()}
	if p := e.Policy.Current(); p != nil {
		args.PolicyRevision = p.Revision
	}
	asked := bootclock.Now()
	reply := new(SyncReply)
	if err := e.call(ctx, hub.Name, hub.Address, "Sync", args, reply); err != nil {
		return // call logs it
	}
	if !e.IsHub() { // hubs hear of each host directly
		if wantFleet {
			e.Inflight.SetFleetLoads(reply.Fleet)
		}
		e.Inflight.SetLoadsByHost(reply.Parts)
		e.Health.SetFleetReports(reply.Failing)
	}
	e.takeLeaving(hub.Name, reply.Leaving)
	if asOf, ok := e.takeVouch(hub.Address, asked, &reply.Vouch); ok {
		e.Confirmer.RecordConfirmation(asOf)
	}
	if !reply.Live {
		return
	}
	e.ChangeLog.ApplyChanges(reply.List)
	e.mu.Lock()
	e.heard = max(e.heard, asked)
	e.mu.Unlock()
}
