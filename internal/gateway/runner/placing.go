package runner

import (
	"context"
	"net/http"
	"time"

	"corianderhitch/api/control"
	"corianderhitch/api/problem"
	"corianderhitch/internal/gateway/ids"
	"corianderhitch/internal/gateway/stream"
)

// begin finds the first place, or takes that of the running generation.
func (s *session) begin() error {
	s.lastSeen = time.Now()
	if resume := s.job.Resume; resume != nil {
		s.place = s.r.fleet.AttachedSlot(resume.Target, s.job.Admit.Fingerprint)
		s.mode = modeAttach
		if resume.StartIfUnknown {
			s.mode = modeStart
		}
		return nil
	}
	if err := s.admit(); err != nil {
		return err
	}
	return s.register()
}

// register publishes the generation. If another gateway was faster, this one
// reads the other's generation.
func (s *session) register() error {
	entry := control.DirectoryEntry{
		Account:    s.job.Admit.Account,
		RequestID:  s.job.Admit.RequestID,
		BodyHash:   s.job.BodyHash,
		Generation: s.machine.Generation(),
		Target:     s.place.Target,
		Model:      s.job.Admit.Model,
		Version:    s.job.Admit.Version,
		Adapter:    s.job.Admit.Adapter,
		Expires:    time.Now().Add(directoryFor),
	}
	winner, won := s.r.fleet.Register(s.ctx, entry)
	if won || winner.Generation == entry.Generation {
		return nil
	}
	if winner.BodyHash != entry.BodyHash {
		return KeyReusedProblem()
	}
	if winner.Version != entry.Version || winner.Adapter != entry.Adapter {
		s.job.Admit.Version, s.job.Admit.Adapter = winner.Version, winner.Adapter
	}
	s.endPlace(false)
	s.machine.AdoptGeneration(winner.Generation)
	s.place = s.r.fleet.AttachedSlot(winner.Target, s.job.Admit.Fingerprint)
	s.r.metrics.RecordAttachment("directory")
	return nil
}

// directoryFor is how long the directory remembers a generation. Engines forget
// ended ones sooner.
const directoryFor = 10 * time.Minute

// KeyReused is the answer to an Idempotency-Key with another body.
func KeyReusedProblem() *problem.Error {
	return problem.New(problem.KindKeyReused, http.StatusConflict, problem.RanNo,
		"use a new Idempotency-Key for a new request",
		"the Idempotency-Key was used before with another body")
}

func (s *session) admit() error {
	args := s.job.Admit
	args.Ticket = ids.New()
	args.Avoid = s.avoid
	args.News = s.news
	args.Produced = len(s.machine.Tokens())
	if args.Deadline.IsZero() || s.sent > 0 {
		args.Deadline = time.Now().Add(moveDeadline)
	}
	ctx, span := s.r.tracer.Start(s.waiter(), "admit")
	defer span.End()
	place, err := s.r.fleet.Admit(ctx, args)
	if err != nil {
		return err
	}
	s.place = place
	if place.ChosenLocally() && s.deaths >= maxDeathsAlone {
		return reasonError(stream.ReasonRepeatedCrashes, problem.RanUnknown)
	}
	return nil
}

// maxDeathsAlone is the number of engines that may die under a request while no
// owner of the pool can judge it.
const maxDeathsAlone = 2

// moveDeadline bounds the wait for a place where the request itself sets none.
const moveDeadline = 30 * time.Second

// waiter returns the context that gives up the wait for a place: the caller's
// until an engine has run something.
func (s *session) waiter() context.Context {
	if s.machine.MayHaveRun() {
		return s.ctx
	}
	return s.caller
}

// move finds another engine and prepares the attachment to it.
func (s *session) move(kind stream.StepKind) error {
	s.avoid = append(s.avoid, s.place.Target.Name)
	s.endPlace(false)
	s.attached = false
	s.dispatched = false
	s.stall = s.job.StallTimeout
	s.moves++
	if kind == stream.StepRestart {
		s.machine.Restart(ids.New())
		s.mode = modeStart
		s.r.metrics.RecordRetry("restart")
	} else {
		s.mode = modeContinue
		s.r.metrics.RecordRetry("continue")
	}
	if err := s.admit(); err != nil {
		return err
	}
	s.lastSeen = time.Now()
	s.publish()
	return nil
}

// publish tells the directory of the new place, as a hint.
func (s *session) publish() {
	s.r.fleet.Register(s.ctx, control.DirectoryEntry{
		Account: s.job.Admit.Account, RequestID: s.job.Admit.RequestID, BodyHash: s.job.BodyHash,
		Generation: s.machine.Generation(), Target: s.place.Target, Model: s.job.Admit.Model,
		Version: s.job.Admit.Version, Adapter: s.job.Admit.Adapter, Expires: time.Now().Add(directoryFor),
	})
}
