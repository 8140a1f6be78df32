package runner

import (
	"context"
	"time"

	"corianderhitch/api/control"
	"corianderhitch/api/engine"
	"corianderhitch/internal/gateway/fleet"
	"corianderhitch/internal/gateway/ids"
	"corianderhitch/internal/gateway/stream"
	"corianderhitch/internal/platform"
	"corianderhitch/internal/wait"
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

	place    *fleet.Slot
	mode     mode
	attached bool // the engine has accepted an attachment
	// dispatched tells that bytes of the request left for the engine, which may
	// have died on them before it answered.
	dispatched bool
	avoid      []string
	news       []control.Event // of the targets that were tried
	moves      int
	stall      time.Duration
	lastSeen   time.Time // last token, or the start of the wait
	pause      time.Duration
	lastErr    error
	reason     engine.FinishReason
	sent       int // tokens handed to the sink
	gone       bool
	deaths     int // engines that died while they ran the job
	diedAt     int // tokens at the last death
	passed     int // deaths that it has run on after
}

func newSession(caller context.Context, r *Runner, job Job, sink Sink) *session {
	ctx, cancel := context.WithCancel(context.WithoutCancel(caller))
	s := &session{r: r, caller: caller, ctx: ctx, cancel: cancel, job: job, sink: sink, stall: job.StallTimeout}
	options := stream.Options{
		Limits:             r.limits,
		Generation:         ids.New(),
		ContinueFromPrefix: job.ContinueFromPrefix,
		NonStreaming:       job.NonStreaming,
	}
	if job.Resume != nil {
		options.Generation = job.Resume.Generation
		options.DeliveredTokens = job.Resume.DeliveredTokens
		options.PromptUnknown = job.Resume.PromptUnknown
		options.MayHaveRun = true
		s.sent = job.Resume.DeliveredTokens
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
		s.r.fleet.Release(s.place, len(s.machine.Tokens()), complete)
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
			return s.failedWith(failed(step.Reason, s.sent > 0, s.machine.MayHaveRun(), s.lastErr))
		case stream.StepAttach:
			if late := s.late(); late != nil {
				s.r.cancelLater(s.target(), s.machine.Generation())
				return s.failedWith(late)
			}
			s.reattachMode()
			wait.For(s.ctx, s.nextPause())
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

// leave cancels what stays behind on an engine that is left.
func (s *session) leave(step stream.Step) {
	if step.CancelPrevious && s.place != nil {
		s.r.cancelLater(s.place.Target, s.machine.Generation())
	}
}

// target returns the engine of the current place.
func (s *session) target() platform.Target { return s.place.Target }
