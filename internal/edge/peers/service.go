package peers

import "corianderhitch/internal/edge/bootclock"

// service answers the other hosts. Its methods have the form of net/rpc.
type service struct{ e *Exchange }

// Exchange takes a host's news and returns this host's.
func (s *service) Exchange(args News, reply *News) error {
	s.e.take(&args)
	*reply = s.e.news()
	return nil
}

// Vouch tells how fresh this host's configuration is.
func (s *service) Vouch(args VouchArgs, reply *VouchReply) error {
	// The age is read before the configuration: a newer one may come in force
	// between the two, never an older one.
	reply.Age = bootclock.Since(s.e.Confirmer.AsOf())
	if p := s.e.Policy.Current(); p != nil {
		reply.Revision = p.Revision
		if p.Revision > args.Revision {
			reply.Raw = p.Raw
		}
	}
	return nil
}
