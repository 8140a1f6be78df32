package peers

import (
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/packed"
	"corianderhitch/internal/edge/policy"
)

// service serves the RPCs of other hosts. Its methods have the signatures that
// net/rpc requires.
type service struct{ exchange *Exchange }

// Sync records a host's state and returns the state of the fleet.
func (s *service) Sync(args SyncArgs, reply *SyncReply) error {
	e := s.exchange
	e.Inflight.SetPeerLoads(args.Host, args.Loads)
	e.Health.SetReport(args.Host, args.Failing)
	e.markLeaving(args.Host, args.Leaving)
	e.mergeLimits(args.Host, args.Limits)
	e.Notices.MergePauses(args.Pauses, bootclock.Now())
	e.mergeEvacuation(&args.Evacuation, "peer "+args.Host, 0)
	e.Warmup.Merge(args.Cold, bootclock.Now())
	*reply = SyncReply{
		Live:    e.FollowsStore(),
		Leaving: e.Targets.AnnouncedLeaving(),
		Limits:  e.Notices.LimitNotices(bootclock.Now()),
		Pauses:  e.Notices.PauseNotices(true, e.takesMoves, bootclock.Now()),
		Cold:    e.Warmup.Notices(bootclock.Now()),
		Failing: e.Health.CountReports(args.Host),
		List:    e.changesFor(&args),
		Vouch:   e.confirmation(policy.Stamp{Version: args.PolicyVersion, Revision: args.PolicyRevision}, args.Fetches),
		Era:     e.Eras.Current(), SettledEra: e.Eras.SettledEra(),
	}
	reply.Speed = e.Speeds.Merge(args.Speed, e.isFirstHub())
	reply.Evidence = e.evidenceReply(&args.Evidence)
	if args.WantFleet {
		reply.Fleet = e.Inflight.LoadsExcept(args.Host)
	}
	for _, key := range e.Health.RecentlyFailed() {
		reply.Failing[key]++
	}
	reply.Parts = e.Inflight.LoadsByHost(e.Targets.RecentlyLeaving())
	return nil
}

// Place chooses an engine for another host's run and reserves its capacity.
func (s *service) Place(args PlaceArgs, reply *PlaceReply) error {
	e := s.exchange
	if !e.FollowsStore() {
		return nil
	}
	*reply = e.placeHere(&args)
	return nil
}

// Notice records leaving targets. A hub syncs at once, so that the other hub hears of them.
func (s *service) Notice(args NoticeArgs, _ *NoticeReply) error {
	if args.Parts != nil {
		s.exchange.Inflight.SetLoadsByHost(args.Parts)
	}
	s.exchange.markLeaving(args.Host, args.Leaving)
	if s.exchange.IsHub() { // all hosts at once would overload the hubs
		s.exchange.SyncNow()
	}
	return nil
}

// Vouch returns how fresh this host's configuration is.
func (s *service) Vouch(args VouchArgs, reply *Confirmation) error {
	*reply = s.exchange.confirmation(policy.Stamp{Version: args.Version, Revision: args.Revision}, args.Fetches)
	return nil
}

// Configuration returns a part of this host's configuration.
func (s *service) Configuration(args ConfigurationArgs, reply *packed.Part) error {
	p := s.exchange.Policy.Current()
	if p.Stamp() != (policy.Stamp{Version: args.Version, Revision: args.Revision}) || p == nil {
		return nil
	}
	*reply = partOf(p.Packed(), args.Offset)
	return nil
}

// partOf returns the part of a text from offset on; the text is nil while it is being packed.
func partOf(text *packed.Text, offset int) packed.Part {
	if text == nil {
		return packed.Part{Has: true, Preparing: true}
	}
	return text.Part(offset, partBytes)
}

// confirmation returns how fresh this host's configuration is. If it is newer than known, its text is
// included for hosts that don't fetch it, and if it is not larger than a part.
func (e *Exchange) confirmation(known policy.Stamp, fetches bool) Confirmation {
	// Read the age before the configuration and the evacuated domains: newer ones may be applied
	// in between, but never older ones.
	c := Confirmation{Age: e.Confirmer.Age(), AsOf: e.Operator.AsOf()}
	c.Evacuation = e.Evacuated.Snapshot()
	if p := e.Policy.Current(); p != nil {
		c.Revision, c.Version = p.Revision, p.Version
		if p.Stamp().NewerThan(known) && (!fetches || len(p.Raw) <= partBytes) {
			c.Raw = p.Raw
		}
	}
	return c
}
