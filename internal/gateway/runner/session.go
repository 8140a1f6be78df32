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
	// reattachTimeout is the same for an engine that has answered before. It is short,
	// as a frozen engine stalls the stream until the runner fails over.
	reattachTimeout = 500 * time.Millisecond
	// minReattachDelay separates attachments after failures. It doubles up to
	// maxReattachDelay until a token arrives.
	minReattachDelay = 25 * time.Millisecond
	maxReattachDelay = 500 * time.Millisecond
	// maxStallTimeout limits the growth of the stall timeout while an engine answers
	// but sends no token, as it does for a preempted generation.
	maxStallTimeout = 8 * time.Second
	// maxTimeWithoutToken is the time without a token after which an engine counts as
	// failed.
	maxTimeWithoutToken = 60 * time.Second
	// failureRetryAfter is when a caller should retry after its retries are exhausted.
	failureRetryAfter = 2 * time.Second
)

// mode selects the request that opens the next attachment.
type mode int

const (
	modeStart    mode = iota // POST without a prefix
	modeContinue             // POST with the tokens so far as prefix
	modeAttach               // GET from an offset
)

// session is the state of one running job. It is used by one goroutine.
type session struct {
	runner    *Runner
	callerCtx context.Context // ends when the caller leaves
	ctx       context.Context // does not end when the caller leaves
	cancel    context.CancelFunc
	job       Job
	sink      Sink // nil if there is no sink or the caller has left
	machine   *stream.Machine

	slot     *fleet.Slot
	mode     mode
	attached bool // the engine has accepted an attachment
	// dispatched states that bytes of the request were sent to the engine, which may
	// have crashed on them before it answered.
	dispatched      bool
	triedTargets    []string
	events          []control.Event // about the tried targets, for the next owner
	stallTimeout    time.Duration
	lastTokenAt     time.Time // time of the last token, or of the start of the wait
	backoff         time.Duration
	lastErr         error
	finishReason    engine.FinishReason
	delivered       int // tokens that the caller has
	callerLeft      bool
	crashes         int // engines that crashed while they ran the job
	tokensAtCrash   int // tokens known at the last crash
	survivedCrashes int // value of crashes up to which survival is reported
}

func newSession(callerCtx context.Context, r *Runner, job Job, sink Sink) *session {
	ctx, cancel := context.WithCancel(context.WithoutCancel(callerCtx))
	s := &session{runner: r, callerCtx: callerCtx, ctx: ctx, cancel: cancel, job: job, sink: sink, stallTimeout: job.StallTimeout}
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
		s.delivered = job.Resume.DeliveredTokens
	}
	s.machine = stream.New(options)
	r.branches.Observe(job.Admit.PrefixHashes)
	return s
}

func (s *session) close() {
	s.cancel()
	s.releaseSlot(false)
}

// releaseSlot releases the current slot, if there is one.
func (s *session) releaseSlot(complete bool) {
	if s.slot != nil {
		s.runner.fleet.Release(s.slot, len(s.machine.Tokens()), complete)
		s.slot = nil
	}
}

// run attaches and fails over until the state machine finishes or fails.
func (s *session) run() Result {
	if err := s.acquireFirstSlot(); err != nil {
		return problemResult(err)
	}
	for {
		step := s.attach()
		switch step.Kind {
		case stream.StepFinish:
			return s.completed()
		case stream.StepFail:
			s.cancelGeneration(step)
			return s.failed(failureProblem(step.Reason, s.delivered > 0, s.machine.MayHaveRun(), s.lastErr))
		case stream.StepAttach:
			if missed := s.deadlineProblem(); missed != nil {
				s.runner.cancelInBackground(s.target(), s.machine.Generation())
				return s.failed(missed)
			}
			s.setReattachMode()
			wait.For(s.ctx, s.nextBackoff())
		case stream.StepContinue, stream.StepRestart:
			if invalid := s.invalidRequestProblem(); invalid != nil {
				return s.failed(invalid)
			}
			if err := s.failOver(step); err != nil {
				return s.failed(s.failoverProblem(err))
			}
		}
		if s.ctx.Err() != nil {
			return s.failed(s.drainingProblem())
		}
	}
}

// nextBackoff doubles and returns the delay before the next attachment.
func (s *session) nextBackoff() time.Duration {
	s.backoff = min(max(2*s.backoff, minReattachDelay), maxReattachDelay)
	return s.backoff
}

// setReattachMode switches to attaching once this engine has accepted the generation.
// Before that, the start request is sent again. This is safe because an engine that
// already runs the generation attaches to it.
func (s *session) setReattachMode() {
	if s.attached {
		s.mode = modeAttach
	}
}

// cancelGeneration cancels the generation on the engine of the current slot, if the step
// asks for it.
func (s *session) cancelGeneration(step stream.Step) {
	if step.CancelGeneration && s.slot != nil {
		s.runner.cancelInBackground(s.slot.Target, s.machine.Generation())
	}
}

// target returns the engine of the current slot.
func (s *session) target() platform.Target { return s.slot.Target }
