package runner

import (
	"context"
	"errors"
	"net/http"
	"time"

	"corianderhitch/api/control"
	"corianderhitch/api/engine"
	"corianderhitch/api/problem"
	"corianderhitch/internal/engineclient"
	"corianderhitch/internal/gateway/fleet"
	"corianderhitch/internal/gateway/ids"
	"corianderhitch/internal/gateway/stream"
	"corianderhitch/internal/gateway/verdict"
	"corianderhitch/internal/platform"
)

const (
	// openTimeout bounds the wait for an engine to accept an attachment.
	openTimeout = 2 * time.Second
	// reopenTimeout is the same for an engine that has answered before. It is
	// short, as a frozen engine stalls the stream until it is left.
	reopenTimeout = 500 * time.Millisecond
	// attachPause separates attachments after failures. It doubles up to
	// maxAttachPause while no token comes.
	attachPause    = 25 * time.Millisecond
	maxAttachPause = 500 * time.Millisecond
	// maxStallBound limits the growth of the bound while an engine answers but
	// sends no token, as it does for a preempted generation.
	maxStallBound = 8 * time.Second
	// stallLimit is the time without a token after which an engine is left.
	stallLimit = 60 * time.Second
	// failedRetry is when a caller should come back after the retry budget.
	failedRetry = 2 * time.Second
)

// mode says how the next attachment is opened.
type mode int

const (
	modeStart    mode = iota // POST, nothing known yet
	modeContinue             // POST with the prefix
	modeAttach               // GET at the offset
)

// session is the run of one job. It is used by one goroutine.
type session struct {
	r       *Runner
	caller  context.Context // ends when the caller leaves
	ctx     context.Context // lives on without the caller
	cancel  context.CancelFunc
	job     Job
	sink    Sink // nil after the caller has left
	machine *stream.Machine

	place    *fleet.Place
	mode     mode
	attached bool // the engine has accepted an attachment
	avoid    []string
	news     []control.News // of the targets that were tried
	moves    int
	stall    time.Duration
	lastSeen time.Time // last token, or the start of the wait
	pause    time.Duration
	lastErr  error
	reason   engine.FinishReason
	sent     int // tokens handed to the sink
	gone     bool
	deaths   int // engines that died while they ran the job
}

func newSession(caller context.Context, r *Runner, job Job, sink Sink) *session {
	ctx, cancel := context.WithCancel(context.WithoutCancel(caller))
	s := &session{r: r, caller: caller, ctx: ctx, cancel: cancel, job: job, sink: sink, stall: job.StallBound}
	options := stream.Options{
		Limits:      r.limits,
		Generation:  ids.New(),
		MayContinue: job.MayContinue,
		WholeAnswer: job.WholeAnswer,
	}
	if job.Resume != nil {
		options.Generation = job.Resume.Generation
		options.Delivered = job.Resume.Delivered
		options.Fixed = job.Resume.Fixed
		options.Ran = true
		s.sent = job.Resume.Delivered
	}
	s.machine = stream.New(options)
	return s
}

func (s *session) close() {
	s.cancel()
	s.endPlace(false)
}

func (s *session) endPlace(complete bool) {
	if s.place != nil {
		s.r.fleet.End(s.place, len(s.machine.Tokens()), complete)
		s.place = nil
	}
}

// run attaches until the machine finishes or fails.
func (s *session) run() Result {
	if err := s.begin(); err != nil {
		return pass(err)
	}
	for {
		step := s.attachment()
		s.leave(step)
		switch step.Kind {
		case stream.StepFinish:
			return s.finished()
		case stream.StepFail:
			return s.failedWith(failed(step.Reason, s.sent > 0, s.machine.Ran(), s.lastErr))
		case stream.StepAttach:
			if late := s.late(); late != nil {
				s.r.cancelLater(s.target(), s.machine.Generation())
				return s.failedWith(late)
			}
			s.reattachMode()
			wait(s.ctx, s.nextPause())
		case stream.StepContinue, stream.StepRestart:
			if final := s.finalRefusal(); final != nil {
				return s.failedWith(final)
			}
			if err := s.move(step.Kind); err != nil {
				return s.failedWith(s.afterMove(err))
			}
		}
		if s.ctx.Err() != nil {
			return s.failedWith(s.interrupted())
		}
	}
}

// nextPause returns the pause before the next attachment.
func (s *session) nextPause() time.Duration {
	s.pause = min(max(2*s.pause, attachPause), maxAttachPause)
	return s.pause
}

// reattachMode keeps asking to start a generation that this engine has not
// accepted yet; the engine attaches if it runs it already.
func (s *session) reattachMode() {
	if s.attached {
		s.mode = modeAttach
	}
}

// finalRefusal returns the engine's refusal if another engine would refuse the
// request as well.
func (s *session) finalRefusal() *problem.Error {
	var refused *engineclient.RefusedError
	if s.machine.Ran() || !errors.As(s.lastErr, &refused) {
		return nil
	}
	switch refused.Problem.Kind {
	case problem.KindBadRequest, problem.KindTooLarge:
		return refused.Problem
	default:
		return nil
	}
}

// begin finds the first place, or takes that of the running generation.
func (s *session) begin() error {
	s.lastSeen = time.Now()
	if resume := s.job.Resume; resume != nil {
		s.place = s.r.fleet.Attached(resume.Target, s.job.Admit.Fingerprint)
		s.mode = modeAttach
		if resume.MayStart {
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
		return KeyReused()
	}
	if winner.Version != entry.Version || winner.Adapter != entry.Adapter {
		s.job.Admit.Version, s.job.Admit.Adapter = winner.Version, winner.Adapter
	}
	s.endPlace(false)
	s.machine.Join(winner.Generation)
	s.place = s.r.fleet.Attached(winner.Target, s.job.Admit.Fingerprint)
	s.r.metrics.Resume("directory")
	return nil
}

// directoryFor is how long the directory remembers a generation. Engines forget
// ended ones sooner.
const directoryFor = 10 * time.Minute

// KeyReused is the answer to an Idempotency-Key with another body.
func KeyReused() *problem.Error {
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
	if place.OwnChoice() && s.deaths >= maxDeathsAlone {
		return reasonError(stream.ReasonCrash, problem.RanUnknown)
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
	if s.machine.Ran() {
		return s.ctx
	}
	return s.caller
}

// leave cancels what stays behind on an engine that is left.
func (s *session) leave(step stream.Step) {
	if step.Leave && s.place != nil {
		s.r.cancelLater(s.place.Target, s.machine.Generation())
	}
}

// move finds another engine and prepares the attachment to it.
func (s *session) move(kind stream.StepKind) error {
	s.avoid = append(s.avoid, s.place.Target.Name)
	s.endPlace(false)
	s.attached = false
	s.stall = s.job.StallBound
	s.moves++
	if kind == stream.StepRestart {
		s.machine.Restarted(ids.New())
		s.mode = modeStart
		s.r.metrics.Retry("restart")
	} else {
		s.mode = modeContinue
		s.r.metrics.Retry("continue")
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

// afterMove adds what has run already to a refusal of another place.
func (s *session) afterMove(err error) *problem.Error {
	e := *problem.From(err)
	e.Ran = verdict.Ran(verdict.Evidence{Dispatched: s.machine.Ran(), Answered: s.sent > 0})
	if s.sent > 0 {
		lost := reasonError(stream.ReasonLost, e.Ran)
		return lost.WithCause(err)
	}
	return &e
}

func (s *session) interrupted() *problem.Error {
	ran := verdict.Ran(verdict.Evidence{Dispatched: s.machine.Ran(), Answered: s.sent > 0})
	return problem.New(problem.KindDraining, http.StatusServiceUnavailable, ran,
		"come back with the same Idempotency-Key at another gateway", "this gateway stops")
}

func (s *session) finished() Result {
	s.endPlace(s.reason != engine.FinishCanceled)
	if s.deaths > 0 {
		s.r.fleet.Report(control.News{
			ID: ids.New(), Kind: control.NewsCleared, Fingerprint: s.job.Admit.Fingerprint, Seen: time.Now(),
		})
	}
	return s.result(nil)
}

func (s *session) failedWith(err *problem.Error) Result { return s.result(err) }

func (s *session) result(err *problem.Error) Result {
	result := Result{
		Generation: s.machine.Generation(),
		Tokens:     s.machine.Tokens(),
		Reason:     s.reason,
		Err:        err,
		CallerGone: s.gone,
	}
	if s.place != nil {
		result.Target = s.place.Target
	}
	return result
}

// note remembers the error of an attachment and tells the agents what it means.
func (s *session) note(err error, failure stream.Failure) {
	s.lastErr = err
	target := s.place.Target.Name
	news := control.News{ID: ids.New(), Target: target, Seen: time.Now()}
	var refused *engineclient.RefusedError
	switch {
	case failure == stream.FailureDied:
		s.deaths++
		news.Kind = control.NewsCrash
		news.Ticket = s.place.Ticket()
		news.Fingerprint = s.job.Admit.Fingerprint
		news.Beside = s.r.fleet.InFlight().Beside(target, s.job.Admit.Fingerprint)
	case errors.As(err, &refused) && refused.Problem.Kind == problem.KindDraining:
		news.Kind = control.NewsLeaving
	case failure == stream.FailureNotSent:
		news.Kind = control.NewsDown
	default:
		return
	}
	s.news = append(s.news, news)
	s.r.fleet.Report(news)
}

// target returns the engine of the current place.
func (s *session) target() platform.Target { return s.place.Target }
