package peers

// service answers the other hosts. Its methods have the form of net/rpc.
type service struct{ e *Exchange }

// Sync takes a host's news and returns the fleet's.
func (s *service) Sync(args SyncArgs, reply *SyncReply) error {
	e := s.e
	e.Inflight.SetPeerLoads(args.Host, args.Loads)
	e.Health.SetReport(args.Host, args.Failing)
	e.takeLeaving(args.Host, args.Leaving)
	*reply = SyncReply{
		Live:    e.FollowsStore(),
		Leaving: e.Targets.AnnouncedLeaving(),
		Failing: e.Health.CountReports(args.Host),
		List:    e.ChangeLog.Since(args.ListRevision),
		Vouch:   e.vouch(args.PolicyRevision),
	}
	if args.WantFleet {
		reply.Fleet = e.Inflight.LoadsExcept(args.Host)
	}
	for _, key := range e.Health.RecentlyFailed() {
		reply.Failing[key]++
	}
	reply.Parts = e.Inflight.LoadsByHost(e.Targets.RecentlyLeaving())
	return nil
}

// Place chooses an engine for a host's run.
func (s *service) Place(args PlaceArgs, reply *PlaceReply) error {
	e := s.e
	if !e.FollowsStore() {
		return nil
	}
	tried := make(map[string]bool, len(args.Tried))
	for _, key := range args.Tried {
		tried[key] = true
	}
	reply.Able = true
	// Of runs that are placed at the same time, each must see the load of those
	// before it.
	e.placing.Lock()
	defer e.placing.Unlock()
	if reply.Decision = e.ChooseEngine(args.Service, args.Need, tried); reply.Target != "" {
		e.Inflight.Reserve(args.Host, reply.Target, args.Load)
	}
	return nil
}

// Notice takes urgent news.
func (s *service) Notice(args NoticeArgs, _ *NoticeReply) error {
	if args.Parts != nil {
		s.e.Inflight.SetLoadsByHost(args.Parts)
	}
	s.e.takeLeaving(args.Host, args.Leaving)
	s.e.SyncNow()
	return nil
}

// Vouch tells how fresh this host's configuration is.
func (s *service) Vouch(args VouchArgs, reply *Confirmation) error {
	*reply = s.e.vouch(args.Revision)
	return nil
}

func (e *Exchange) vouch(known int64) Confirmation {
	// The age is read before the configuration: a newer one may come in force
	// between the two, never an older one.
	v := Confirmation{Age: e.Confirmer.Age()}
	if p := e.Policy.Current(); p != nil {
		v.Revision = p.Revision
		if p.Revision > known {
			v.Raw = p.Raw
		}
	}
	return v
}
