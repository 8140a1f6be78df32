package services

import (
	"time"

	"corianderhitch/api/control"
	"corianderhitch/internal/agent/directory"
	"corianderhitch/internal/agent/scheduler"
	"corianderhitch/internal/agent/state"
)

// Peer serves other agents.
type Peer struct {
	state     *state.State
	scheduler *scheduler.Scheduler
}

// NewPeer returns the service.
func NewPeer(s *state.State, sched *scheduler.Scheduler) *Peer {
	return &Peer{state: s, scheduler: sched}
}

// Exchange takes a heartbeat with changes and answers with what the peer lacks.
func (p *Peer) Exchange(args control.ExchangeArgs, reply *control.ExchangeReply) error {
	answer, err := p.state.Answer(time.Now(), args)
	*reply = answer
	return err
}

// Observed takes load reports and cache events for the pools of this host.
func (p *Peer) Observed(args control.ObservedArgs, _ *control.Empty) error {
	p.scheduler.Observed(args)
	return nil
}

// Self returns the agent's own record.
func (p *Peer) Self(_ control.Empty, reply *control.Member) error {
	*reply = p.state.Self()
	return nil
}

// Decisions returns this host's recent decisions about a request.
func (p *Peer) Decisions(args control.ExplainArgs, reply *control.DecisionsReply) error {
	reply.Lines = p.scheduler.Explain(args)
	return nil
}

// Scheduling serves gateways that ask for places.
type Scheduling struct{ scheduler *scheduler.Scheduler }

// NewScheduling returns the service.
func NewScheduling(sched *scheduler.Scheduler) *Scheduling { return &Scheduling{scheduler: sched} }

// Admit waits until the request is granted or refused.
func (s *Scheduling) Admit(args control.AdmitArgs, reply *control.AdmitReply) error {
	answer, err := s.scheduler.Admit(args)
	*reply = answer
	return err
}

// Finish returns places and withdraws requests that wait.
func (s *Scheduling) Finish(args control.FinishArgs, _ *control.Empty) error {
	s.scheduler.Finish(args)
	return nil
}

// Reattach takes over generations that an earlier owner admitted.
func (s *Scheduling) Reattach(args control.ReattachArgs, _ *control.Empty) error {
	s.scheduler.Reattach(args)
	return nil
}

// Directory serves gateways that look for running generations.
type Directory struct{ directory *directory.Directory }

// NewDirectory returns the service.
func NewDirectory(d *directory.Directory) *Directory { return &Directory{directory: d} }

// Register adds an entry, or returns the one that was there before.
func (d *Directory) Register(entry control.DirectoryEntry, reply *control.RegisterReply) error {
	answer, err := d.directory.Register(time.Now(), entry)
	*reply = answer
	return err
}

// Lookup returns the entry of a request id.
func (d *Directory) Lookup(key control.DirectoryKey, reply *control.LookupReply) error {
	*reply = d.directory.Lookup(time.Now(), key)
	return nil
}
