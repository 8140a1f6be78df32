package scheduler

import (
	"fmt"
	"time"

	"corianderhitch/api/control"
	"corianderhitch/internal/agent/events"
	fleetsuspicion "corianderhitch/internal/agent/suspicion"
	"corianderhitch/internal/scheduling/suspicion"
)

// recordEvents records events that a gateway reports with a request, and passes them
// on to the fleet.
func (s *Scheduler) recordEvents(now time.Time, events []control.Event) {
	if len(events) == 0 {
		return
	}
	enriched := make([]control.Event, 0, len(events))
	for _, e := range events {
		enriched = append(enriched, s.RecordEvent(now, e))
	}
	s.fleet.AddEvents(now, enriched)
}

// RecordEvent records an event of a target that a gateway or a peer reports, and
// returns it with the fingerprints of all requests that this host's pools had on the
// target. A gateway knows only its own requests on a target that crashed; the owner of
// the pool knows all of them. A verdict based on only some of them could reject a co-resident
// of the request that caused the crash. An event that agents repair is returned as it is.
func (s *Scheduler) RecordEvent(now time.Time, e control.Event) control.Event {
	history := events.IsHistory(e)
	if e.Kind == control.EventCrash && !history && s.isLeaving(now, e.Target) {
		e.Kind = control.EventDown // the end of a leaving target is not caused by a request
	}
	if e.Kind == control.EventCrash && !history {
		e.Beside = append(e.Beside, s.fingerprintsOn(e.Target)...)
	}
	s.suspects.Add(now, e)
	s.tellHolds(now)
	switch e.Kind {
	case control.EventCrash:
		s.recordCrash(e, history)
	case control.EventSurvived, control.EventCleared:
		if len(e.Prefixes) == 0 {
			s.recordClearance(e)
		}
	}
	return e
}

// tellHolds tells the fleet which prefixes this host's evidence has begun to hold back: others may
// count the same crashes at fewer moments.
func (s *Scheduler) tellHolds(now time.Time) {
	held := s.suspects.TakeNewHolds()
	if len(held) == 0 {
		return
	}
	id := fmt.Sprintf("held/%s/%x/%d", s.fleet.Self().Host, held[0], now.UnixNano())
	s.fleet.AddEvents(now, []control.Event{{ID: id, Kind: control.EventHeld, Prefixes: held, Seen: now}})
}

// clearanceRecorder is implemented by policies that track suspects themselves.
type clearanceRecorder interface {
	// RecordSurvival records that a request has run on past the point at which its
	// target crashed.
	RecordSurvival(fingerprint uint64, at time.Time)
	// RecordCompletion records that a request has run to its end.
	RecordCompletion(fingerprint uint64, at time.Time)
}

// recordClearance tells all pools that a request has run to its end, or past the point at
// which its target crashed.
func (s *Scheduler) recordClearance(e control.Event) {
	for _, p := range s.allPools() {
		p.send(func(p *pool, now time.Time) {
			policy, ok := p.policy.(clearanceRecorder)
			switch {
			case !ok:
			case e.Kind == control.EventSurvived:
				policy.RecordSurvival(e.Fingerprint, fleetsuspicion.ClearedAt(now, e))
			default:
				policy.RecordCompletion(e.Fingerprint, fleetsuspicion.ClearedAt(now, e))
			}
		})
	}
}

// isLeaving reports whether a target is known to be leaving.
func (s *Scheduler) isLeaving(now time.Time, target string) bool {
	for _, row := range s.fleet.Targets(now) {
		if row.Name == target {
			return row.Leaving || row.Load.Leaving
		}
	}
	return false
}

// fingerprintsOn returns the fingerprints of the requests that this host's pools have
// on a target. Pools with a full inbox are left out.
func (s *Scheduler) fingerprintsOn(target string) []uint64 {
	var found []uint64
	for _, p := range s.allPools() {
		answer := make(chan []uint64, 1)
		if !p.send(func(p *pool, _ time.Time) { answer <- p.fingerprintsOn(target) }) {
			continue
		}
		select {
		case fingerprints := <-answer:
			found = append(found, fingerprints...)
		case <-p.stopped:
		}
	}
	return found
}

// recordCrash tells all pools that a target crashed, with the requests that are known
// to have run on it. What runs on the target now is not affected by an earlier crash.
func (s *Scheduler) recordCrash(e control.Event, earlier bool) {
	for _, p := range s.allPools() {
		p.send(func(p *pool, now time.Time) {
			if !earlier {
				p.recordCrash(now, e.Target)
			}
			crash := fleetsuspicion.RemoteCrash(now, e)
			crash.ID = e.ID
			p.recordRemoteCrashes(crash)
		})
	}
}

// recordRemoteCrashes tells the policy of crashes that other hosts have observed.
func (p *pool) recordRemoteCrashes(crashes ...suspicion.Crash) {
	if policy, ok := p.policy.(remoteCrashRecorder); ok {
		for _, crash := range crashes {
			policy.RecordRemoteCrash(crash)
		}
	}
}

// remoteCrashRecorder is implemented by policies that use other hosts' reports of a
// crash.
type remoteCrashRecorder interface {
	// RecordRemoteCrash records a crash, which may be one that the policy already
	// knows from Crashed.
	RecordRemoteCrash(crash suspicion.Crash)
}

// fingerprintsOn returns the fingerprints of the requests that run on a target or
// ended incomplete on it within incompleteRetention.
func (p *pool) fingerprintsOn(target string) []uint64 {
	var fingerprints []uint64
	for _, g := range p.granted {
		if g.target.Name == target && g.args.Fingerprint != 0 {
			fingerprints = append(fingerprints, g.args.Fingerprint)
		}
	}
	for _, e := range p.incomplete {
		if e.target == target {
			fingerprints = append(fingerprints, e.fingerprint)
		}
	}
	return fingerprints
}

// incompleteRetention is how long a request that ended incomplete still counts as
// running on its target, because the report of the target's crash may arrive after the
// request's end.
const incompleteRetention = 2 * time.Second

// incompleteRequest is a request that ended incomplete.
type incompleteRequest struct {
	target      string
	fingerprint uint64
	endedAt     time.Time
}

// recordIncomplete remembers a request that ended incomplete, and drops those older
// than incompleteRetention.
func (p *pool) recordIncomplete(now time.Time, g grant) {
	recent := p.incomplete[:0]
	for _, r := range p.incomplete {
		if now.Sub(r.endedAt) < incompleteRetention {
			recent = append(recent, r)
		}
	}
	p.incomplete = recent
	if g.args.Fingerprint != 0 {
		p.incomplete = append(p.incomplete, incompleteRequest{target: g.target.Name, fingerprint: g.args.Fingerprint, endedAt: now})
	}
}
