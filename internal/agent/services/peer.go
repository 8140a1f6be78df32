package services

import (
	"time"

	"corianderhitch/api/control"
	"corianderhitch/internal/agent/directory"
	"corianderhitch/internal/agent/scheduler"
	"corianderhitch/internal/agent/state"
)

// Peer is the service for other agents.
type Peer struct {
	state     *state.State
	scheduler *scheduler.Scheduler
}

// NewPeer returns the service.
func NewPeer(s *state.State, sched *scheduler.Scheduler) *Peer {
	return &Peer{state: s, scheduler: sched}
}

// Exchange handles a peer's heartbeat with its changes and returns those that the peer
// lacks.
func (p *Peer) Exchange(args control.ExchangeArgs, reply *control.ExchangeReply) error {
	answer, err := p.state.HandleRequest(time.Now(), args)
	*reply = answer
	return err
}

// Observed applies load reports and cache events to the pools of this host.
func (p *Peer) Observed(args control.ObservedArgs, _ *control.Empty) error {
	p.scheduler.ApplyObservations(args)
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

// Directory is the service for gateways that look up running generations.
type Directory struct{ directory *directory.Directory }

// NewDirectory returns the service.
func NewDirectory(d *directory.Directory) *Directory { return &Directory{directory: d} }

// Register adds an entry, or returns the existing one.
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
