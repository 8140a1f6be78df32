package peers

import (
	"context"
	"sync"
	"time"

	"corianderhitch/api/control"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/relay"
	"corianderhitch/internal/quarantine"
	"corianderhitch/internal/wait"
)

// maxEvidenceInterval bounds the time between two sends of new evidence of crashing requests.
// In small fleets it is the sync interval.
const maxEvidenceInterval = 250 * time.Millisecond

// EvidenceArgs carries new evidence of requests that crash targets, and what the host has of
// the receiver's.
type EvidenceArgs struct {
	Evidence quarantine.Evidence
	Have     EvidencePosition
}

// EvidenceReply carries the receiver's evidence after EvidenceArgs.Have.
type EvidenceReply struct {
	Evidence quarantine.Evidence
	Position EvidencePosition
}

// EvidencePosition is up to where a host has the evidence of another host's process.
type EvidencePosition struct {
	Process uint64 // drawn at the start of the process
	Seq     uint64
}

// evidenceProgress is what a host and its peers have of each other's evidence.
type evidenceProgress struct {
	mu   sync.Mutex
	have map[string]EvidencePosition // guarded by mu; of other hosts' evidence, by host
	sent map[string]EvidencePosition // guarded by mu; of this host's evidence, by host
}

// SendEvidence sends new evidence without waiting for the next sync. It doesn't block.
func (e *Exchange) SendEvidence() {
	select {
	case e.evidenceRequested <- struct{}{}:
	default:
	}
}

// sendEvidenceOnRequest sends new evidence after calls of SendEvidence, until ctx ends. A hub
// sends it to all hosts, any other host to the hubs, and to all hosts if no hub answers.
func (e *Exchange) sendEvidenceOnRequest(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.evidenceRequested:
		}
		wait.For(ctx, noticeDelay)
		if e.IsHub() {
			e.exchangeEvidence(ctx, e.Members.All())
		} else if hubs := e.Members.Hubs(); !e.exchangeEvidence(ctx, hubs) {
			e.exchangeEvidence(ctx, e.Members.All())
		}
		wait.For(ctx, min(e.SyncInterval(), maxEvidenceInterval))
	}
}

// exchangeEvidence sends hosts the evidence that they lack and merges theirs. It reports
// whether one answered.
func (e *Exchange) exchangeEvidence(ctx context.Context, hosts []relay.Host) bool {
	answers := make(chan bool, len(hosts))
	for _, host := range hosts {
		if host.Name == e.Host {
			answers <- false
			continue
		}
		go func() {
			args, next := e.evidenceFor(host.Name)
			reply := new(EvidenceReply)
			err := e.call(ctx, host.Name, host.Address, "Evidence", args, reply)
			if err == nil {
				e.applyEvidence(host.Name, args.Have.Process, next, reply)
			}
			answers <- err == nil
		}()
	}
	answered := false
	for range hosts {
		answered = <-answers || answered
	}
	return answered
}

// evidenceFor returns what a host lacks of this host's evidence, and the sequence number that
// the host has after it.
func (e *Exchange) evidenceFor(host string) (EvidenceArgs, uint64) {
	p := &e.evidence
	p.mu.Lock()
	have, sent := p.have[host], p.sent[host]
	p.mu.Unlock()
	after := uint64(0)
	if sent.Process == have.Process {
		after = sent.Seq // otherwise the host has started again
	}
	evidence, next := e.Quarantine.Since(steadyNow(), after)
	return EvidenceArgs{Evidence: evidence, Have: have}, next
}

// applyEvidence merges a host's reply and records what it and this host have. known is the
// process that this host's evidence was chosen for.
func (e *Exchange) applyEvidence(host string, known, sent uint64, reply *EvidenceReply) {
	if known != reply.Position.Process {
		sent = 0 // the host has started again and lacks what its last process had
	}
	p := &e.evidence
	p.mu.Lock()
	if p.have == nil {
		p.have, p.sent = make(map[string]EvidencePosition), make(map[string]EvidencePosition)
	}
	p.have[host] = reply.Position
	p.sent[host] = EvidencePosition{Process: reply.Position.Process, Seq: sent}
	p.mu.Unlock()
	e.mergeEvidence(reply.Evidence)
}

// mergeEvidence merges evidence, which a hub passes on.
func (e *Exchange) mergeEvidence(evidence quarantine.Evidence) {
	if e.Quarantine.Merge(steadyNow(), evidence) && e.IsHub() {
		e.SendEvidence()
	}
}

// evidenceReply merges a host's evidence and returns what it lacks.
func (e *Exchange) evidenceReply(args *EvidenceArgs) EvidenceReply {
	e.mergeEvidence(args.Evidence)
	after := uint64(0)
	if args.Have.Process == e.process {
		after = args.Have.Seq
	}
	evidence, next := e.Quarantine.Since(steadyNow(), after)
	return EvidenceReply{Evidence: evidence, Position: EvidencePosition{Process: e.process, Seq: next}}
}

func steadyNow() quarantine.Instant { return quarantine.Instant(bootclock.Now()) }

// Evidence merges another host's evidence.
func (s *service) Evidence(args EvidenceArgs, reply *EvidenceReply) error {
	*reply = s.exchange.evidenceReply(&args)
	return nil
}

// Holds lists what this host holds back.
func (s *service) Holds(_ control.HoldsArgs, reply *control.HoldsReply) error {
	now := steadyNow()
	reply.Host = s.exchange.Host
	for _, h := range s.exchange.Quarantine.Holds() {
		r := control.Hold{Key: h.Key.String(), Left: h.Until - now, Survived: h.Survived}
		for _, c := range h.Crashes {
			r.Crashes = append(r.Crashes, control.Crash{Target: c.Incarnation, Host: c.Host, Age: now - c.At})
		}
		reply.Holds = append(reply.Holds, r)
	}
	return nil
}

// Release ends the hold of a key on all hosts.
func (s *service) Release(args control.ReleaseArgs, reply *control.ReleaseReply) error {
	key, err := quarantine.ParseKey(args.Key)
	if err != nil {
		return err
	}
	if reply.Released = s.exchange.Quarantine.Release(steadyNow(), key); reply.Released {
		s.exchange.SendEvidence()
	}
	return nil
}
