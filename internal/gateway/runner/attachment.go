package runner

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"corianderhitch/api/engine"
	"corianderhitch/api/problem"
	"corianderhitch/internal/engineclient"
	"corianderhitch/internal/gateway/stream"
)

// attach opens one attachment, reads it until the state machine asks for another
// step, and returns that step.
func (s *session) attach() stream.Step {
	epoch := s.machine.BeginAttachment()
	ctx, span := s.runner.tracer.Start(s.ctx, "attach", trace.WithAttributes(
		attribute.String("target", s.target().Name), attribute.Int("offset", s.machine.Offset())))
	defer span.End()
	begin := time.Now()
	events, err := s.openAttachment(ctx)
	if err != nil {
		failure := classifyError(err, s.attached || s.dispatched)
		s.dispatched = s.dispatched || failure == stream.FailureConnectionLost
		if failure == stream.FailureConnectionLost && s.attached && reattachTimedOut(begin) {
			failure = stream.FailureUnresponsive
		}
		s.recordFailure(err, failure)
		return s.machine.HandleFailure(epoch, failure)
	}
	defer events.Close()
	s.attached = true
	s.machine.AttachmentAccepted(epoch)
	if s.sink != nil {
		s.sink.SetSource(s.target(), s.machine.Generation())
	}
	step := s.read(epoch, events)
	if step.Kind == stream.StepFinish {
		events.DrainAndClose()
	}
	return step
}

// reattachTimedOut reports whether an attempt to attach that began at begin has taken
// reattachTimeout or longer.
func reattachTimedOut(begin time.Time) bool { return time.Since(begin) >= reattachTimeout }

// openAttachment sends the request of the current mode and waits until the engine
// accepts it.
func (s *session) openAttachment(ctx context.Context) (*engineclient.Stream, error) {
	openCtx, cancel := context.WithCancel(ctx)
	timeout := openTimeout
	if s.attached {
		timeout = reattachTimeout
	}
	timer := time.AfterFunc(timeout, cancel)
	defer timer.Stop()
	address, generation := s.target().Address, s.machine.Generation()
	if s.mode == modeAttach {
		s.runner.metrics.RecordAttachment("reattach")
		return s.runner.engines.Attach(openCtx, address, generation, s.machine.Offset())
	}
	request := engine.GenerateRequest{
		ID:        generation,
		RequestID: s.job.Admit.RequestID,
		Model:     s.job.Admit.Model,
		Version:   s.job.Admit.Version,
		Adapter:   s.job.Admit.Adapter,
		Prompt:    s.job.Prompt,
		MaxTokens: s.job.Admit.MaxTokens,
		Priority:  s.job.Admit.Priority,
	}
	if s.mode == modeContinue {
		request.Prefix = s.machine.Tokens()
	}
	return s.runner.engines.Start(openCtx, address, request)
}

// watchdog closes a stream that sends nothing within a timeout.
type watchdog struct {
	timer *time.Timer
	fired atomic.Bool
}

func newWatchdog(events *engineclient.Stream, timeout time.Duration) *watchdog {
	w := &watchdog{}
	w.timer = time.AfterFunc(timeout, func() {
		w.fired.Store(true)
		events.Close()
	})
	return w
}

// read feeds the state machine from one attachment until it asks for another step.
// It flushes the tokens for the caller whenever the engine has no more buffered.
func (s *session) read(epoch int, events *engineclient.Stream) stream.Step {
	wd := newWatchdog(events, s.readTimeout())
	defer wd.timer.Stop()
	for {
		if !events.Buffered() {
			s.flush(wd)
			wd.timer.Reset(s.readTimeout())
		}
		event, err := events.Next()
		if err != nil {
			wd.timer.Stop()
			return s.handleReadError(epoch, err, wd.fired.Load())
		}
		if event.Done != nil {
			s.finishReason = event.Done.Reason
			return s.machine.HandleDone(epoch, *event.Done)
		}
		step := s.machine.HandleToken(epoch, event.Token)
		if step.Kind == stream.StepAccept {
			s.deliver(event.Token)
			continue
		}
		if step.Kind != stream.StepIgnore {
			s.lastErr = engineclient.ErrProtocol
			return step
		}
	}
}

// readTimeout returns how long the next token may take: at most until the deadline
// of the first token.
func (s *session) readTimeout() time.Duration {
	timeout := s.stallTimeout
	if deadline := s.job.Admit.Deadline; s.awaitsFirstToken() && !deadline.IsZero() {
		timeout = min(timeout, max(time.Until(deadline), 0)+time.Millisecond)
	}
	return timeout
}

// awaitsFirstToken reports whether the deadline of the first token applies: the
// response is streamed and no token has arrived yet.
func (s *session) awaitsFirstToken() bool {
	return len(s.machine.Tokens()) == 0 && s.delivered == 0 && !s.job.NonStreaming
}

// handleReadError handles an attachment that ended before the generation did. stalled
// states that the watchdog closed it.
func (s *session) handleReadError(epoch int, err error, stalled bool) stream.Step {
	failure := classifyError(err, true)
	if stalled {
		failure = s.handleStall()
	}
	s.recordFailure(err, failure)
	return s.machine.HandleFailure(epoch, failure)
}

// handleStall doubles the stall timeout, since the engine has accepted the attachment.
// After maxTimeWithoutToken it counts the engine as failed.
func (s *session) handleStall() stream.Failure {
	if time.Since(s.lastTokenAt) > maxTimeWithoutToken {
		return stream.FailureEngineError
	}
	s.stallTimeout = min(2*s.stallTimeout, maxStallTimeout)
	return stream.FailureStalled
}

// deliver records the arrival of a token and hands it to the sink, unless the caller
// has it already.
func (s *session) deliver(token engine.Token) {
	now := time.Now()
	if token.Offset == 0 {
		s.runner.metrics.RecordFirstToken(now.Sub(s.job.ReceivedAt))
	} else {
		s.runner.metrics.RecordInterToken(now.Sub(s.lastTokenAt))
	}
	s.lastTokenAt = now
	s.stallTimeout = s.job.StallTimeout
	s.backoff = 0
	s.reportSurvival(token.Offset)
	if s.sink == nil || token.Offset < s.delivered {
		return
	}
	if err := s.sink.Token(token.Offset, token.Text); err != nil {
		s.detach()
		return
	}
	s.delivered = token.Offset + 1
}

// flush sends collected tokens to the caller. A slow caller delays only its own
// stream; the watchdog is stopped meanwhile, so that the engine doesn't count as
// stalled.
func (s *session) flush(wd *watchdog) {
	if s.sink == nil {
		return
	}
	wd.timer.Stop()
	if err := s.sink.Flush(); err != nil {
		s.detach()
	}
}

// detach continues the generation without the caller, until it ends or the runner
// drains, so that the caller can come back for it.
func (s *session) detach() {
	s.sink = nil
	s.callerLeft = true
	context.AfterFunc(s.runner.detachedCtx, s.cancel)
}

// deadlineProblem returns an error if the deadline of the first token has passed, else
// nil.
func (s *session) deadlineProblem() *problem.Error {
	deadline := s.job.Admit.Deadline
	if !s.awaitsFirstToken() || deadline.IsZero() || time.Now().Before(deadline) {
		return nil
	}
	return problem.New(problem.KindDeadline, http.StatusGatewayTimeout, problem.RanUnknown,
		"come back with the same Idempotency-Key, or allow a later first token",
		"the engine sent no token before the deadline").WithRetryAfter(failureRetryAfter)
}
