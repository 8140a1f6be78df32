package engine

import (
	"context"
	"time"

	"corianderhitch/internal/enginemodel"
)

// sweepEvery is the time between searches for generations past their retention.
const sweepInterval = time.Second

// run advances the model in real time until ctx ends.
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

// untilStep returns the time until the next step or sweep.
func (s *Server) timeToNextStep() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	next, ok := s.model.NextStep()
	if !ok {
		return sweepInterval
	}
	return min(sweepInterval, time.Until(next))
}

// step advances the model and returns why the engine has ended, if it has.
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
			s.log.Debug("preempted", "generation", event.ID)
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

// sweep forgets generations past their retention.
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

// loseAll cuts the streams of all generations that have not ended.
func (s *Server) interruptAll() {
	for _, g := range s.generations {
		if !g.hasEnded() {
			g.interrupted = true
			g.notify()
		}
	}
}

// wakeRunner makes the runner look at the model again.
func (s *Server) wakeRunLoop() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}
