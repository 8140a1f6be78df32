package engine

import (
	"context"
	"time"

	"corianderhitch/internal/enginemodel"
)

// sweepEvery is the time between searches for generations past their retention.
const sweepEvery = time.Second

// run advances the model in real time until ctx ends.
func (s *Server) run(ctx context.Context) {
	timer := time.NewTimer(sweepEvery)
	defer timer.Stop()
	for {
		timer.Reset(s.untilStep())
		select {
		case <-timer.C:
		case <-s.kick:
		case <-ctx.Done():
			return
		}
		if ended := s.step(time.Now()); ended != "" {
			s.options.OnEnd(ended)
			return
		}
	}
}

// untilStep returns the time until the next step or sweep.
func (s *Server) untilStep() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	next, ok := s.model.NextStep()
	if !ok {
		return sweepEvery
	}
	return min(sweepEvery, time.Until(next))
}

// step advances the model and returns why the engine has ended, if it has.
func (s *Server) step(now time.Time) End {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(now)
	var end End
	for _, event := range s.model.Step(now) {
		switch event.Kind {
		case enginemodel.EventToken:
			g := s.generations[event.ID]
			g.tokens = event.Tokens + 1
			g.wake()
		case enginemodel.EventDone:
			g := s.generations[event.ID]
			s.record(now, Entry{Kind: EntryEnd, Generation: g.id, RequestID: g.requestID, Tokens: g.tokens, Reason: string(event.Reason)})
			g.end(now, event.Reason)
		case enginemodel.EventPreempted:
			s.log.Debug("preempted", "generation", event.ID)
		case enginemodel.EventCrashed:
			end = EndCrashed
			s.record(now, Entry{Kind: EntryCrash, Generation: event.ID})
		case enginemodel.EventStopped:
			end = EndReclaimed
			s.record(now, Entry{Kind: EntryReclaimed})
		}
	}
	if end != "" {
		s.loseAll()
	}
	return end
}

// sweep forgets generations past their retention.
func (s *Server) sweep(now time.Time) {
	if now.Sub(s.swept) < sweepEvery {
		return
	}
	s.swept = now
	for id, g := range s.generations {
		if g.done() && now.Sub(g.ended) > s.options.Retention {
			delete(s.generations, id)
		}
	}
}

// loseAll cuts the streams of all generations that have not ended.
func (s *Server) loseAll() {
	for _, g := range s.generations {
		if !g.done() {
			g.lost = true
			g.wake()
		}
	}
}

// wakeRunner makes the runner look at the model again.
func (s *Server) wakeRunner() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}
