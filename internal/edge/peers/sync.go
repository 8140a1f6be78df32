package peers

import (
	"context"
	"time"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/relay"
)

const (
	// minSyncInterval is the sync interval of a small fleet. Within it, hosts that
	// don't know of each other's runs choose the same idle engine.
	minSyncInterval = 80 * time.Millisecond
	// syncIntervalPerHost makes the interval grow with the fleet, so that a hub
	// serves at most 200 syncs per second. A hub knows of new runs because it places
	// them; it needs the syncs only to learn that runs ended.
	syncIntervalPerHost = 5 * time.Millisecond
	// fleetLoadEvery: one in fleetLoadEvery syncs requests the loads of all hosts.
	fleetLoadEvery = 4
	// standbySyncEvery: one in standbySyncEvery syncs also goes to the second hub, which
	// is on standby.
	standbySyncEvery = 5
)

// Run syncs with the hubs and sends leaving notices until ctx ends.
func (e *Exchange) Run(ctx context.Context) {
	go e.sendNoticesOnRequest(ctx)
	go e.sendEvidenceOnRequest(ctx)
	timer := time.NewTimer(minSyncInterval)
	defer timer.Stop()
	for round := 0; ; round++ {
		requested := false
		select {
		case <-ctx.Done():
			return
		case <-e.syncRequested:
			requested = true
		case <-timer.C:
		}
		timer.Reset(e.SyncInterval())
		for rank, hub := range e.Members.Hubs() {
			due := rank == 0 || requested || round%standbySyncEvery == 0 || !e.mayFollow(e.Members.Hubs()[0].Name)
			if hub.Name != e.Host && due {
				go e.sync(ctx, hub, round%fleetLoadEvery == 0 || len(e.Members.Hubs()) < relay.HubCount)
			}
		}
	}
}

// SyncInterval returns the time between two syncs with the first hub.
func (e *Exchange) SyncInterval() time.Duration { return syncInterval(e.Members.Count()) }

func syncInterval(hosts int) time.Duration {
	return max(minSyncInterval, syncIntervalPerHost*time.Duration(hosts))
}

// FleetLoadAge returns the maximum age of the other hosts' loads on a host that
// places runs itself.
func (e *Exchange) FleetLoadAge() time.Duration { return fleetLoadEvery * e.SyncInterval() }

// syncFailed asks the other hub at once when a hub has stopped answering.
func (e *Exchange) syncFailed(wasResponsive bool) {
	if wasResponsive {
		e.SyncNow()
	}
}

// learnsSpeedFrom reports whether a hub merges this host's samples of the targets' speed: the first one
// that answers does. The first hub sends its own samples to no other.
func (e *Exchange) learnsSpeedFrom(hub string) bool {
	for _, h := range e.Members.Hubs() {
		if h.Name == e.Host {
			return false
		}
		if h.Name == hub || e.isResponsive(h.Name) {
			return h.Name == hub
		}
	}
	return false
}

// isFirstHub reports whether this host is the hub that merges the samples of all others.
func (e *Exchange) isFirstHub() bool {
	hubs := e.Members.Hubs()
	return len(hubs) > 0 && hubs[0].Name == e.Host
}

// sync sends this host's state to a hub and applies its answer.
func (e *Exchange) sync(ctx context.Context, hub relay.Host, wantFleet bool) {
	args := SyncArgs{Host: e.Host, WantFleet: wantFleet, Loads: e.Inflight.OwnLoads(), Leaving: e.Targets.AnnouncedLeaving(), Failing: e.Health.RecentlyFailed(), ListRevision: e.ChangeLog.Revision(), ListSettling: e.ChangeLog.Settling(),
		Limits: e.Notices.LimitNotices(bootclock.Now()), Pauses: e.Notices.PauseNotices(false, e.takesMoves, bootclock.Now()), Cold: e.Warmup.Notices(bootclock.Now())}
	learnsSpeed := e.learnsSpeedFrom(hub.Name)
	if learnsSpeed {
		args.Speed = e.Speeds.Report()
	}
	var sentEvidence uint64
	args.Evidence, sentEvidence = e.evidenceFor(hub.Name)
	own := e.Policy.Current().Stamp()
	args.PolicyRevision, args.PolicyVersion, args.Fetches = own.Revision, own.Version, true
	args.Evacuation = e.Evacuated.Snapshot()
	askedAt := bootclock.Now()
	reply := new(SyncReply)
	wasResponsive := e.isResponsive(hub.Name)
	if err := e.call(ctx, hub.Name, hub.Address, "Sync", args, reply); err != nil {
		e.syncFailed(wasResponsive)
		return // logged by call
	}
	e.applyEvidence(hub.Name, args.Evidence.Have.Process, sentEvidence, &reply.Evidence)
	if !e.IsHub() { // a hub gets the state of each host directly
		if wantFleet {
			e.Inflight.SetFleetLoads(reply.Fleet)
		}
		e.Inflight.SetLoadsByHost(reply.Parts)
		e.Health.SetFleetReports(reply.Failing)
	}
	if learnsSpeed {
		e.Speeds.Apply(reply.Speed)
	}
	e.markLeaving(hub.Name, reply.Leaving)
	e.mergeLimits(hub.Name, reply.Limits)
	e.Notices.MergePauses(reply.Pauses, bootclock.Now())
	e.Warmup.Merge(reply.Cold, bootclock.Now())
	e.Eras.Observe(reply.Era, "peer "+hub.Name)
	e.Eras.MarkSettled(reply.SettledEra)
	if confirmedAt, ok := e.applyConfirmation(hub, askedAt, &reply.Vouch); ok {
		e.Confirmer.RecordConfirmation(confirmedAt)
	}
	e.recordFollowing(hub.Name, reply.Live)
	if !reply.Live {
		return
	}
	if reply.List.Large { // the hub's answer counts once this host has the list
		e.fetchTargetList(ctx, hub)
		return
	}
	e.ChangeLog.ApplyChanges(reply.List)
	e.mu.Lock()
	e.lastHubAnswer = max(e.lastHubAnswer, askedAt)
	e.mu.Unlock()
}
