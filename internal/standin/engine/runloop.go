package engine

import (
	"context"
	"time"

	"corianderhitch/internal/enginemodel"
)

// sweepInterval is the time between removals of expired generations.
const sweepInterval = time.Second

// run calls step at the times that the model asks for until ctx is done or the
// engine stops.
func (s *Server) run(ctx context.Context) {
	timer := time.NewTimer(sweepInterval)
	defer timer.Stop()
	for {
		timer.Reset(s.timeToNextStep())
		select {
		case <-timer.C:
		case <-s.wakeup:
		case <-ctx.Done():
			return
		}
		if reason := s.step(time.Now()); reason != "" {
			s.options.OnExit(reason)
			return
		}
	}
}

// timeToNextStep returns the time until the next step of the model, at most
// sweepInterval.
func (s *Server) timeToNextStep() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	next, ok := s.model.NextStep()
	if !ok {
		return sweepInterval
	}
	return min(sweepInterval, time.Until(next))
}

// step advances the model to now and applies its events to the generations. It
// returns why the engine stopped, or an empty reason if it continues.
func (s *Server) step(now time.Time) ExitReason {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired(now)
	var reason ExitReason
	for _, event := range s.model.Step(now) {
		switch event.Kind {
		case enginemodel.EventToken:
			g := s.generations[event.ID]
			g.tokenCount = event.Tokens + 1
			g.notify()
		case enginemodel.EventDone:
			g := s.generations[event.ID]
			s.record(now, Entry{Kind: EntryEnd, Generation: g.id, RequestID: g.requestID, Tokens: g.tokenCount, Reason: string(event.Reason)})
			g.finish(now, event.Reason)
		case enginemodel.EventPreempted:
			s.log.Debug("generation preempted", "generation", event.ID)
		case enginemodel.EventCrashed:
			reason = ExitCrashed
			s.record(now, Entry{Kind: EntryCrash, Generation: event.ID})
		case enginemodel.EventStopped:
			reason = ExitReclaimed
			s.record(now, Entry{Kind: EntryReclaimed})
		}
	}
	if reason != "" {
		s.interruptAll()
	}
	return reason
}

// removeExpired deletes generations that finished longer ago than the retention.
func (s *Server) removeExpired(now time.Time) {
	if now.Sub(s.lastSweep) < sweepInterval {
		return
	}
	s.lastSweep = now
	for id, g := range s.generations {
		if g.hasEnded() && now.Sub(g.endedAt) > s.options.Retention {
			delete(s.generations, id)
		}
	}
}

// interruptAll makes the streams of all unfinished generations abort their
// connections.
func (s *Server) interruptAll() {
	for _, g := range s.generations {
		if !g.hasEnded() {
			g.interrupted = true
			g.notify()
		}
	}
}

// wakeRunLoop makes the run loop recompute the time of the next step.
func (s *Server) wakeRunLoop() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}
