package state

import (
	"time"

	"github.com/rotisserie/eris"

	"corianderhitch/api/control"
)

// NewRequest builds the first message of an exchange with a peer. It serves as a
// heartbeat and carries the pending changes that the peer is not known to have.
func (s *State) NewRequest(peer string) control.ExchangeArgs {
	s.mu.Lock()
	defer s.mu.Unlock()
	args := control.ExchangeArgs{
		Members: s.members.TakeRumors(peer),
		Targets: s.targets.TakeRumors(peer),
		News:    s.events.TakeRumors(peer),
	}
	s.fillHeader(&args)
	return args
}

// ErrEnvironmentMismatch rejects exchanges with agents of another environment.
var ErrEnvironmentMismatch = eris.New("exchange: the agents belong to different environments; check --environment and --peers of both hosts")

// HandleRequest merges a peer's message and returns the reply. It returns
// ErrEnvironmentMismatch if the peer belongs to another environment.
func (s *State) HandleRequest(now time.Time, args control.ExchangeArgs) (control.ExchangeReply, error) {
	if args.Environment != s.environment {
		return control.ExchangeReply{}, ErrEnvironmentMismatch
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mergeRequest(now, args)
	reply := control.ExchangeReply{
		From:    s.members.Self(),
		Members: s.members.TakeRumors(args.From.Host),
		Targets: s.targets.TakeRumors(args.From.Host),
		News:    s.events.TakeRumors(args.From.Host),
	}
	s.addDifferences(args, &reply)
	current := s.document.Current()
	reply.DocumentRevision = current.Revision
	reply.DocumentHash = current.Hash
	if current.Revision > args.DocumentRevision {
		reply.Document = current.Content
	}
	return reply, nil
}

// HandleReply merges a peer's reply. If the tables of the two agents still differ it
// returns the next message of the exchange and true.
func (s *State) HandleReply(now time.Time, reply control.ExchangeReply) (control.ExchangeArgs, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(reply.Document) > 0 {
		s.applyDocumentIfNewer(reply.DocumentRevision, reply.Document)
	}
	s.checkDocument(reply.From, reply.DocumentRevision, reply.DocumentHash)
	s.mergeRows(now, reply.From, reply.Members, reply.Targets, reply.News)
	return s.buildRepair(reply)
}

// RecordFailure records that an exchange with a host failed, which makes the host a
// suspect.
func (s *State) RecordFailure(now time.Time, host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.members.Version()
	s.members.RecordFailure(now, host)
	if s.members.Version() != before {
		s.notify()
		s.signalUrgent()
	}
}

// fillHeader sets the fields that every message carries.
func (s *State) fillHeader(args *control.ExchangeArgs) {
	current := s.document.Current()
	args.Environment = s.environment
	args.From = s.members.Self()
	args.DocumentRevision = current.Revision
	args.DocumentHash = current.Hash
	args.MemberDigest = s.members.Checksums().Short()
	args.TargetDigest = s.targets.Checksums().Short()
	args.EventDigest = s.events.Checksums().Short()
}

func (s *State) mergeRequest(now time.Time, args control.ExchangeArgs) {
	s.checkDocument(args.From, args.DocumentRevision, args.DocumentHash)
	s.mergeRows(now, args.From, args.Members, args.Targets, args.News)
	if args.DocumentRevision > s.document.Current().Revision {
		s.newerDocumentPeer = args.From.AgentAddr
		s.signalUrgent()
	}
}

func (s *State) mergeRows(now time.Time, from control.Member, members []control.Member, targets []control.TargetState, events []control.Event) {
	before := s.members.Version()
	s.members.RecordContact(now, from)
	s.members.Merge(now, from.Host, members)
	if s.members.Version() != before {
		s.notify()
	}
	topologyBefore := s.targets.TopologyVersion()
	if s.targets.Merge(now, from.Host, targets) > 0 {
		s.notifyTargets(now, topologyBefore)
	}
	s.addEvents(now, from.Host, events)
}

// addDifferences adds to a reply what the peer needs to reconcile its tables: the
// bucket checksums if the tables differ, or the rows of the differing buckets if
// the peer sent its bucket checksums.
func (s *State) addDifferences(args control.ExchangeArgs, reply *control.ExchangeReply) {
	members, targets := s.members.Checksums(), s.targets.Checksums()
	reply.MemberDigest, reply.TargetDigest = members.Short(), targets.Short()
	if len(args.MemberDigest.Buckets) > 0 {
		if differing, differ := members.DifferingBuckets(args.MemberDigest); differ {
			reply.Members = append(reply.Members, s.members.InBuckets(differing)...)
		}
	} else if args.MemberDigest.Sum != reply.MemberDigest.Sum {
		reply.MemberDigest = members.Full()
	}
	if len(args.TargetDigest.Buckets) > 0 {
		if differing, differ := targets.DifferingBuckets(args.TargetDigest); differ {
			reply.Targets = append(reply.Targets, s.targets.InBuckets(differing)...)
		}
	} else if args.TargetDigest.Sum != reply.TargetDigest.Sum {
		reply.TargetDigest = targets.Full()
	}
	s.addMissingEvents(args, reply)
}

// addMissingEvents adds to a reply the events about suspects that the caller lacks, or
// the bucket checksums if the caller has to name the events that it has.
func (s *State) addMissingEvents(args control.ExchangeArgs, reply *control.ExchangeReply) {
	checksums := s.events.Checksums()
	reply.EventDigest = checksums.Short()
	more := args.EventDigest.Sum != reply.EventDigest.Sum
	if differing, differ := checksums.DifferingBuckets(args.EventDigest); differ {
		var missing []control.Event
		missing, more = s.events.Missing(differing, args.EventHashes)
		reply.News = append(reply.News, missing...)
	}
	if more {
		reply.EventDigest = checksums.Full()
	}
}

// buildRepair builds the follow-up message of an exchange between agents whose
// tables differ. It carries this agent's rows of the differing buckets and its bucket
// checksums, so that the reply carries the peer's rows. It returns false if there is
// nothing to reconcile.
func (s *State) buildRepair(reply control.ExchangeReply) (control.ExchangeArgs, bool) {
	memberChecksums, targetChecksums := s.members.Checksums(), s.targets.Checksums()
	memberBuckets, membersDiffer := memberChecksums.DifferingBuckets(reply.MemberDigest)
	targetBuckets, targetsDiffer := targetChecksums.DifferingBuckets(reply.TargetDigest)
	eventBuckets, eventsDiffer := s.events.Checksums().DifferingBuckets(reply.EventDigest)
	eventsDiffer = eventsDiffer && s.events.TakeRepair()
	if !membersDiffer && !targetsDiffer && !eventsDiffer && !s.members.HasDeathReport(reply.From.Host) {
		return control.ExchangeArgs{}, false
	}
	args := control.ExchangeArgs{Members: s.members.TakeRumors(reply.From.Host)}
	if membersDiffer {
		args.Members = append(args.Members, s.members.InBuckets(memberBuckets)...)
	}
	if targetsDiffer {
		args.Targets = s.targets.InBuckets(targetBuckets)
	}
	s.fillHeader(&args)
	args.MemberDigest = memberChecksums.Full()
	args.TargetDigest = targetChecksums.Full()
	if eventsDiffer {
		args.EventDigest = s.events.Checksums().Full()
		args.EventHashes = s.events.Hashes(eventBuckets)
	}
	return args, true
}

// checkDocument logs an error if the peer has different content for the revision in
// force.
func (s *State) checkDocument(from control.Member, revision int64, hash uint64) {
	if err := s.document.Check(revision, hash); err != nil {
		s.log.Error("Peer has different content for the same document revision.", "peer", from.Host, "revision", revision, "error", err)
	}
}
