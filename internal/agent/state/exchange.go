package state

import (
	"time"

	"github.com/rotisserie/eris"

	"corianderhitch/api/control"
)

// Request builds the message to a peer. It is a heartbeat and carries the
// changes that the peer is not known to hold.
func (s *State) NewRequest(peer string) control.ExchangeArgs {
	s.mu.Lock()
	defer s.mu.Unlock()
	args := control.ExchangeArgs{
		Members: s.members.TakeRumors(peer),
		Targets: s.targets.TakeRumors(peer),
		News:    s.news.TakeRumors(peer),
	}
	s.seal(&args)
	return args
}

// ErrOtherEnvironment refuses agents that serve another environment.
var ErrEnvironmentMismatch = eris.New("exchange: agents of two environments meet; check --environment and --peers of both hosts")

// Answer takes a peer's message and builds the reply.
func (s *State) HandleRequest(now time.Time, args control.ExchangeArgs) (control.ExchangeReply, error) {
	if args.Environment != s.environment {
		return control.ExchangeReply{}, ErrEnvironmentMismatch
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.take(now, args)
	reply := control.ExchangeReply{
		From:    s.members.Self(),
		Members: s.members.TakeRumors(args.From.Host),
		Targets: s.targets.TakeRumors(args.From.Host),
		News:    s.news.TakeRumors(args.From.Host),
	}
	s.repairInto(args, &reply)
	held := s.document.Current()
	reply.DocumentRevision = held.Revision
	reply.DocumentHash = held.Hash
	if held.Revision > args.DocumentRevision {
		reply.Document = held.Content
	}
	return reply, nil
}

// Replied takes a peer's reply. When the tables differ it returns the message
// that repairs them.
func (s *State) HandleReply(now time.Time, reply control.ExchangeReply) (control.ExchangeArgs, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(reply.Document) > 0 {
		s.offer(reply.DocumentRevision, reply.Document)
	}
	s.checkDocument(reply.From, reply.DocumentRevision, reply.DocumentHash)
	s.takeRows(now, reply.From, reply.Members, reply.Targets, reply.News)
	return s.repair(reply)
}

// Failed records that no reply came from a peer.
func (s *State) RecordFailure(now time.Time, host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.members.Version()
	s.members.RecordFailure(now, host)
	if s.members.Version() != before {
		s.touch()
		s.hurry()
	}
}

func (s *State) seal(args *control.ExchangeArgs) {
	held := s.document.Current()
	args.Environment = s.environment
	args.From = s.members.Self()
	args.DocumentRevision = held.Revision
	args.DocumentHash = held.Hash
	args.MemberDigest = s.members.Checksums().Short()
	args.TargetDigest = s.targets.Checksums().Short()
}

func (s *State) take(now time.Time, args control.ExchangeArgs) {
	s.checkDocument(args.From, args.DocumentRevision, args.DocumentHash)
	s.takeRows(now, args.From, args.Members, args.Targets, args.News)
	if args.DocumentRevision > s.document.Current().Revision {
		s.ahead = args.From.AgentAddr
		s.hurry()
	}
}

func (s *State) takeRows(now time.Time, from control.Member, members []control.Member, targets []control.TargetState, events []control.Event) {
	before := s.members.Version()
	s.members.RecordContact(now, from)
	s.members.Merge(now, from.Host, members)
	if s.members.Version() != before {
		s.touch()
	}
	slow := s.targets.TopologyVersion()
	if s.targets.Merge(now, from.Host, targets) > 0 {
		s.touchTargets(now, slow)
	}
	s.takeNews(now, from.Host, events)
}

// repairInto adds to a reply what differs: the sums of the buckets if the
// tables differ, and the rows of differing buckets if the peer sent its sums.
func (s *State) repairInto(args control.ExchangeArgs, reply *control.ExchangeReply) {
	members, targets := s.members.Checksums(), s.targets.Checksums()
	reply.MemberDigest, reply.TargetDigest = members.Short(), targets.Short()
	if len(args.MemberDigest.Buckets) > 0 {
		if marked, differ := members.DifferingBuckets(args.MemberDigest); differ {
			reply.Members = append(reply.Members, s.members.InBuckets(marked)...)
		}
	} else if args.MemberDigest.Sum != reply.MemberDigest.Sum {
		reply.MemberDigest = members.Full()
	}
	if len(args.TargetDigest.Buckets) > 0 {
		if marked, differ := targets.DifferingBuckets(args.TargetDigest); differ {
			reply.Targets = append(reply.Targets, s.targets.InBuckets(marked)...)
		}
	} else if args.TargetDigest.Sum != reply.TargetDigest.Sum {
		reply.TargetDigest = targets.Full()
	}
}

// repair builds the second message of an exchange between differing tables. It
// carries the own rows and sums, so that the reply carries the peer's rows.
func (s *State) repair(reply control.ExchangeReply) (control.ExchangeArgs, bool) {
	memberSums, targetSums := s.members.Checksums(), s.targets.Checksums()
	membersMarked, membersDiffer := memberSums.DifferingBuckets(reply.MemberDigest)
	targetsMarked, targetsDiffer := targetSums.DifferingBuckets(reply.TargetDigest)
	if !membersDiffer && !targetsDiffer && !s.members.HasDeathReport(reply.From.Host) {
		return control.ExchangeArgs{}, false
	}
	args := control.ExchangeArgs{Members: s.members.TakeRumors(reply.From.Host)}
	if membersDiffer {
		args.Members = append(args.Members, s.members.InBuckets(membersMarked)...)
	}
	if targetsDiffer {
		args.Targets = s.targets.InBuckets(targetsMarked)
	}
	s.seal(&args)
	args.MemberDigest = memberSums.Full()
	args.TargetDigest = targetSums.Full()
	return args, true
}

func (s *State) checkDocument(from control.Member, revision int64, hash uint64) {
	if err := s.document.Check(revision, hash); err != nil {
		s.log.Error("Peer holds another content of this revision.", "peer", from.Host, "revision", revision, "error", err)
	}
}
