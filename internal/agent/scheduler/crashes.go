package scheduler

import (
	"time"

	"corianderhitch/api/control"
	crashes "corianderhitch/internal/agent/suspicion"
	"corianderhitch/internal/scheduling/suspicion"
)

// learn takes what a gateway has seen of targets that it tried.
func (s *Scheduler) learn(now time.Time, news []control.Event) {
	if len(news) == 0 {
		return
	}
	whole := make([]control.Event, 0, len(news))
	for _, n := range news {
		whole = append(whole, s.RecordEvent(now, n))
	}
	s.fleet.AddEvents(now, whole)
}

// Heard takes news of a target, from a gateway or a peer, and returns it with
// what this host knows besides. A gateway knows only its own requests on a target
// that died; the owner of the pool knows all of them. Judging by a part would
// refuse a request that only ran beside the cause.
func (s *Scheduler) RecordEvent(now time.Time, n control.Event) control.Event {
	if n.Kind == control.EventCrash && s.leaving(now, n.Target) {
		n.Kind = control.EventDown // its end was announced and has no cause among the requests
	}
	if n.Kind == control.EventCrash {
		n.Beside = append(n.Beside, s.residents(n.Target)...)
	}
	s.suspects.Add(now, n)
	switch n.Kind {
	case control.EventCrash:
		s.crashed(n)
	case control.EventSurvived:
		s.passed(n.Fingerprint)
	}
	return n
}

// passer is a Policy that judges crashing requests itself.
type passer interface {
	// Passed takes the news that a request has run on after a crash.
	RecordSurvival(fingerprint uint64)
}

// passed tells the pools that a request has run on after a crash.
func (s *Scheduler) passed(fingerprint uint64) {
	for _, p := range s.all() {
		p.send(func(p *pool, _ time.Time) {
			if policy, ok := p.policy.(passer); ok {
				policy.RecordSurvival(fingerprint)
			}
		})
	}
}

// leaving tells whether a target was known to go away.
func (s *Scheduler) leaving(now time.Time, target string) bool {
	for _, row := range s.fleet.Targets(now) {
		if row.Name == target {
			return row.Leaving || row.Load.Leaving
		}
	}
	return false
}

// residents returns the fingerprints of the requests that the pools of this host
// have on a target.
func (s *Scheduler) residents(target string) []uint64 {
	var found []uint64
	for _, p := range s.all() {
		answer := make(chan []uint64, 1)
		if !p.send(func(p *pool, _ time.Time) { answer <- p.residents(target) }) {
			continue
		}
		select {
		case fingerprints := <-answer:
			found = append(found, fingerprints...)
		case <-p.gone:
		}
	}
	return found
}

// crashed tells the pools that a target died, and what ran on it as far as is
// known here.
func (s *Scheduler) crashed(n control.Event) {
	for _, p := range s.all() {
		p.send(func(p *pool, now time.Time) {
			p.crashed(now, n.Target)
			if policy, ok := p.policy.(hearer); ok {
				policy.RecordRemoteCrash(suspicion.Crash{
					ID: n.ID, Target: n.Target, At: now, Suspects: append([]uint64{n.Fingerprint}, n.Beside...),
					Progressed: crashes.ProgressedRequests(n),
				})
			}
		})
	}
}

// hearer is a Policy that takes what others know of a crash.
type hearer interface {
	// SuspectElsewhere takes a crash that may be one that Crashed told of.
	RecordRemoteCrash(crash suspicion.Crash)
}

// residents returns the fingerprints of the granted requests on a target.
func (p *pool) residents(target string) []uint64 {
	var fingerprints []uint64
	for _, g := range p.granted {
		if g.target.Name == target && g.args.Fingerprint != 0 {
			fingerprints = append(fingerprints, g.args.Fingerprint)
		}
	}
	for _, e := range p.cuts {
		if e.target == target {
			fingerprints = append(fingerprints, e.fingerprint)
		}
	}
	return fingerprints
}

// cutMemory is how long a request that ended incomplete still counts as one that
// ran on its target: the news of the target's death may come after its end.
const cutMemory = 2 * time.Second

// cut is a request that ended incomplete.
type cut struct {
	target      string
	fingerprint uint64
	at          time.Time
}

// noteCut remembers a request that ended incomplete, and forgets old ones.
func (p *pool) noteCut(now time.Time, g grant) {
	kept := p.cuts[:0]
	for _, c := range p.cuts {
		if now.Sub(c.at) < cutMemory {
			kept = append(kept, c)
		}
	}
	p.cuts = kept
	if g.args.Fingerprint != 0 {
		p.cuts = append(p.cuts, cut{target: g.target.Name, fingerprint: g.args.Fingerprint, at: now})
	}
}
