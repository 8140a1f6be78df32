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

// attachment opens one attachment and reads it until the machine asks for
// another step.
func (s *session) attachment() stream.Step {
	epoch := s.machine.BeginAttachment()
	ctx, span := s.r.tracer.Start(s.ctx, "attach", trace.WithAttributes(
		attribute.String("target", s.target().Name), attribute.Int("offset", s.machine.Offset())))
	defer span.End()
	begin := time.Now()
	events, err := s.open(ctx)
	if err != nil {
		failure := classify(err, s.attached || s.dispatched)
		s.dispatched = s.dispatched || failure == stream.FailureConnectionLost
		if failure == stream.FailureConnectionLost && s.attached && reopenExpired(begin) {
			failure = stream.FailureUnresponsive
		}
		s.note(err, failure)
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

// reopenExpired tells whether an attachment that began then has used up its time.
func reopenExpired(begin time.Time) bool { return time.Since(begin) >= reopenTimeout }

// open sends the request of the current mode and waits for its acceptance.
func (s *session) open(ctx context.Context) (*engineclient.Stream, error) {
	openCtx, cancel := context.WithCancel(ctx)
	timeout := openTimeout
	if s.attached {
		timeout = reopenTimeout
	}
	timer := time.AfterFunc(timeout, cancel)
	defer timer.Stop()
	address, generation := s.target().Address, s.machine.Generation()
	if s.mode == modeAttach {
		s.r.metrics.RecordAttachment("reattach")
		return s.r.engines.Attach(openCtx, address, generation, s.machine.Offset())
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
	return s.r.engines.Start(openCtx, address, request)
}

// watchdog closes a stream that sends nothing for too long.
type watchdog struct {
	timer *time.Timer
	fired atomic.Bool
}

func newWatchdog(events *engineclient.Stream, bound time.Duration) *watchdog {
	w := &watchdog{}
	w.timer = time.AfterFunc(bound, func() {
		w.fired.Store(true)
		events.Close()
	})
	return w
}

// read feeds the machine from one attachment.
func (s *session) read(epoch int, events *engineclient.Stream) stream.Step {
	dog := newWatchdog(events, s.bound())
	defer dog.timer.Stop()
	for {
		if !events.Buffered() {
			s.flush(dog)
			dog.timer.Reset(s.bound())
		}
		event, err := events.Next()
		if err != nil {
			dog.timer.Stop()
			return s.broken(epoch, err, dog.fired.Load())
		}
		if event.Done != nil {
			s.reason = event.Done.Reason
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

// bound returns how long the next token may take. It does not reach past the
// deadline of the first one.
func (s *session) bound() time.Duration {
	bound := s.stall
	if deadline := s.job.Admit.Deadline; s.waitsForFirst() && !deadline.IsZero() {
		bound = min(bound, max(time.Until(deadline), 0)+time.Millisecond)
	}
	return bound
}

func (s *session) waitsForFirst() bool {
	return len(s.machine.Tokens()) == 0 && s.sent == 0 && !s.job.NonStreaming
}

// broken handles the end of an attachment without the end of the generation.
func (s *session) broken(epoch int, err error, stalled bool) stream.Step {
	failure := classify(err, true)
	if stalled {
		failure = s.stalled()
	}
	s.note(err, failure)
	return s.machine.HandleFailure(epoch, failure)
}

// stalled lengthens the bound, since the engine has accepted the attachment.
func (s *session) stalled() stream.Failure {
	if time.Since(s.lastSeen) > stallLimit {
		return stream.FailureEngineError
	}
	s.stall = min(2*s.stall, maxStallBound)
	return stream.FailureStalled
}

func (s *session) deliver(token engine.Token) {
	now := time.Now()
	if token.Offset == 0 {
		s.r.metrics.RecordFirstToken(now.Sub(s.job.ReceivedAt))
	} else {
		s.r.metrics.RecordInterToken(now.Sub(s.lastSeen))
	}
	s.lastSeen = now
	s.stall = s.job.StallTimeout
	s.pause = 0
	s.notePassed(token.Offset)
	if s.sink == nil || token.Offset < s.sent {
		return
	}
	if err := s.sink.Token(token.Offset, token.Text); err != nil {
		s.detach()
		return
	}
	s.sent = token.Offset + 1
}

// flush sends collected tokens. A slow caller holds up only its own stream.
func (s *session) flush(dog *watchdog) {
	if s.sink == nil {
		return
	}
	dog.timer.Stop()
	if err := s.sink.Flush(); err != nil {
		s.detach()
	}
}

// detach goes on without the caller, so that it can come back, until the
// runner drains.
func (s *session) detach() {
	s.sink = nil
	s.gone = true
	context.AfterFunc(s.r.attended, s.cancel)
}

// late tells whether the deadline of the first token has passed.
func (s *session) late() *problem.Error {
	deadline := s.job.Admit.Deadline
	if !s.waitsForFirst() || deadline.IsZero() || time.Now().Before(deadline) {
		return nil
	}
	return problem.New(problem.KindDeadline, http.StatusGatewayTimeout, problem.RanUnknown,
		"come back with the same Idempotency-Key, or allow a later first token",
		"the engine sent no token before the deadline").WithRetryAfter(failedRetry)
}
