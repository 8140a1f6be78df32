package runner

import (
	"context"
	"net/http"
	"slices"
	"time"

	"corianderhitch/api/control"
	"corianderhitch/api/problem"
	"corianderhitch/internal/gateway/ids"
	"corianderhitch/internal/gateway/stream"
	"corianderhitch/internal/platform"
	"corianderhitch/internal/wait"
)

// acquireFirstSlot requests the first slot and registers the generation. To resume a
// generation, it selects the engine that runs it instead.
func (s *session) acquireFirstSlot() error {
	s.lastTokenAt = time.Now()
	if resume := s.job.Resume; resume != nil {
		s.slot = s.runner.fleet.AttachedSlot(resume.Target, s.job.Admit.Fingerprint)
		s.mode = modeAttach
		if resume.StartIfUnknown {
			s.mode = modeStart
		}
		return nil
	}
	if err := s.admit(); err != nil {
		return err
	}
	return s.registerGeneration()
}

// registerGeneration registers the generation in the directory. If another gateway has
// registered one for the same request, the session adopts that one.
func (s *session) registerGeneration() error {
	entry := control.DirectoryEntry{
		Account:    s.job.Admit.Account,
		RequestID:  s.job.Admit.RequestID,
		BodyHash:   s.job.BodyHash,
		Generation: s.machine.Generation(),
		Target:     s.slot.Target,
		Model:      s.job.Admit.Model,
		Version:    s.job.Admit.Version,
		Adapter:    s.job.Admit.Adapter,
		Expires:    time.Now().Add(directoryTTL),
	}
	winner, won := s.runner.fleet.Register(s.ctx, entry)
	if won || winner.Generation == entry.Generation {
		return nil
	}
	if winner.BodyHash != entry.BodyHash {
		return KeyReusedProblem()
	}
	if winner.Version != entry.Version || winner.Adapter != entry.Adapter {
		s.job.Admit.Version, s.job.Admit.Adapter = winner.Version, winner.Adapter
	}
	s.releaseSlot(false)
	s.machine.AdoptGeneration(winner.Generation)
	s.slot = s.runner.fleet.AttachedSlot(winner.Target, s.job.Admit.Fingerprint)
	s.runner.metrics.RecordAttachment("directory")
	return nil
}

// directoryTTL is how long the directory keeps a generation. Engines discard ended
// generations sooner.
const directoryTTL = 10 * time.Minute

// KeyReusedProblem returns the error for an Idempotency-Key that was used before with
// another body.
func KeyReusedProblem() *problem.Error {
	return problem.New(problem.KindKeyReused, http.StatusConflict, problem.RanNo,
		"use a new Idempotency-Key for a new request",
		"the Idempotency-Key was used before with another body")
}

// admit requests a slot for the job, with what the runner has learned so far. It waits
// until the time that admitDeadline returns.
func (s *session) admit() error { return s.admitUntil(s.admitDeadline()) }

// admitDeadline returns until when the job may wait for a slot.
func (s *session) admitDeadline() time.Time {
	if deadline := s.job.Admit.Deadline; !deadline.IsZero() && s.delivered == 0 {
		return deadline
	}
	return time.Now().Add(defaultAdmitTimeout)
}

// admitUntil is admit with another end of the wait.
func (s *session) admitUntil(deadline time.Time) error {
	args := s.job.Admit
	args.Ticket = ids.New()
	args.Avoid = s.triedTargets
	args.News = s.events
	args.Produced = len(s.machine.Tokens())
	args.Deadline = deadline
	ctx, span := s.runner.tracer.Start(s.admitContext(), "admit")
	defer span.End()
	slot, err := s.runner.fleet.Admit(ctx, args)
	if err != nil {
		return err
	}
	s.slot = slot
	if slot.ChosenLocally() && s.crashes >= maxCrashesWithoutOwner {
		return reasonProblem(stream.ReasonRepeatedCrashes, problem.RanUnknown)
	}
	return nil
}

// maxCrashesWithoutOwner is the number of engines that may crash under a request while
// no owner of the pool can decide whether the request is the cause.
const maxCrashesWithoutOwner = 2

// defaultAdmitTimeout bounds the wait for a slot where the request has no deadline or
// the caller already has tokens.
const defaultAdmitTimeout = 30 * time.Second

// replaceTimeout bounds the wait for another engine in place of a silent one, which may go
// on meanwhile.
const replaceTimeout = 500 * time.Millisecond

// admitContext returns the context that bounds the wait for a slot: the caller's,
// until an engine may have run the request.
func (s *session) admitContext() context.Context {
	if s.machine.MayHaveRun() {
		return s.ctx
	}
	return s.callerCtx
}

// failOver requests a slot on another engine and prepares the attachment to it, which
// continues the generation or restarts the request as a new one. An engine that may only
// be silent is kept until another has taken over.
func (s *session) failOver(step stream.Step) error {
	left, generation := s.target(), s.machine.Generation()
	if !slices.Contains(s.triedTargets, left.Name) {
		s.triedTargets = append(s.triedTargets, left.Name)
	}
	s.releaseSlot(false)
	deadline := s.admitDeadline()
	if limit := time.Now().Add(replaceTimeout); step.MayReturn && limit.Before(deadline) {
		deadline = limit
	}
	err := s.admitUntil(deadline)
	sameEngine := err == nil && s.target().Name == left.Name
	if step.MayReturn && (err != nil || sameEngine) {
		return s.returnTo(left)
	}
	if step.CancelGeneration {
		s.runner.cancelInBackground(left, generation)
	}
	if err != nil {
		return err
	}
	s.attached = false
	s.dispatched = false
	s.stallTimeout = s.job.StallTimeout
	if step.Kind == stream.StepRestart {
		s.machine.Restart(ids.New())
		s.mode = modeStart
		s.runner.metrics.RecordRetry("restart")
	} else {
		s.mode = modeContinue
		s.runner.metrics.RecordRetry("continue")
	}
	s.lastTokenAt = time.Now()
	s.updateDirectory()
	return nil
}

// returnTo prepares another attachment to the engine that was to be left. Unless the owner
// of the pool has granted a slot there again, the stream goes on without one.
func (s *session) returnTo(target platform.Target) error {
	s.machine.Return()
	if s.slot != nil && s.slot.Target.Name != target.Name {
		s.releaseSlot(false)
	}
	if s.slot == nil {
		s.slot = s.runner.fleet.AttachedSlot(target, s.job.Admit.Fingerprint)
	}
	if missed := s.deadlineProblem(); missed != nil {
		s.runner.cancelInBackground(target, s.machine.Generation())
		return missed
	}
	s.setReattachMode()
	wait.For(s.ctx, s.nextBackoff())
	return nil
}

// updateDirectory registers the generation's new engine, best effort.
func (s *session) updateDirectory() {
	s.runner.fleet.Register(s.ctx, control.DirectoryEntry{
		Account: s.job.Admit.Account, RequestID: s.job.Admit.RequestID, BodyHash: s.job.BodyHash,
		Generation: s.machine.Generation(), Target: s.slot.Target, Model: s.job.Admit.Model,
		Version: s.job.Admit.Version, Adapter: s.job.Admit.Adapter, Expires: time.Now().Add(directoryTTL),
	})
}
