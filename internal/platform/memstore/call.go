package memstore

import (
	"context"
	"fmt"
	"time"

	"corianderhitch/internal/platform"
)

// read performs a read call on key with the injected faults.
func (s *Store) read(ctx context.Context, key string, apply func() error) error {
	if ctx.Err() != nil {
		return unavailable(ctx)
	}
	s.mu.Lock()
	fault := s.faultForLocked(key)
	s.mu.Unlock()
	if sleep(ctx, fault.RequestDelay) != nil {
		return unavailable(ctx)
	}
	answerDelay, err := s.applyRead(key, apply)
	if sleep(ctx, answerDelay) != nil {
		return unavailable(ctx)
	}
	return err
}

// applyRead counts a read call and applies it, unless an outage or the rate limit
// prevents that. It returns the delay of the answer.
func (s *Store) applyRead(key string, apply func() error) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	f := s.faultForLocked(key)
	if f.Outage {
		return f.AnswerDelay, platform.ErrUnavailable
	}
	if !allowCall(s.reads, s.options.Now()) {
		s.counts.RateLimited++
		return f.AnswerDelay, platform.ErrRateLimited
	}
	s.expireLocked()
	return f.AnswerDelay, apply()
}

// write performs a write call on key with the injected faults. Callers may read the
// results of apply only if write returns nil, because apply may run later otherwise.
func (s *Store) write(ctx context.Context, key string, apply func() error) error {
	if ctx.Err() != nil {
		return unavailable(ctx)
	}
	s.mu.Lock()
	fault := s.faultForLocked(key)
	s.mu.Unlock()
	start := time.Now()
	if sleep(ctx, fault.RequestDelay) != nil {
		// The request is already in transit and takes effect although its caller no longer waits.
		remaining := fault.RequestDelay - time.Since(start)
		time.AfterFunc(max(remaining, 0), func() { _, _ = s.applyWrite(key, apply) })
		return outcomeUnknown(ctx)
	}
	answerDelay, err := s.applyWrite(key, apply)
	if sleep(ctx, answerDelay) != nil {
		return outcomeUnknown(ctx)
	}
	return err
}

// applyWrite counts a write call and applies it, unless an outage or the rate limit
// prevents that. It returns the delay of the answer, and platform.ErrOutcomeUnknown if
// a fault loses the answer.
func (s *Store) applyWrite(key string, apply func() error) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	f := s.faultForLocked(key)
	if f.Outage {
		return f.AnswerDelay, platform.ErrUnavailable
	}
	if !allowCall(s.writes, s.options.Now()) {
		s.counts.RateLimited++
		return f.AnswerDelay, platform.ErrRateLimited
	}
	s.expireLocked()
	err := apply()
	if s.loseAnswerLocked(key) {
		s.counts.LostAnswers++
		return f.AnswerDelay, platform.ErrOutcomeUnknown
	}
	return f.AnswerDelay, err
}

func unavailable(ctx context.Context) error {
	return fmt.Errorf("%w: %w", platform.ErrUnavailable, context.Cause(ctx))
}

func outcomeUnknown(ctx context.Context) error {
	return fmt.Errorf("%w: %w", platform.ErrOutcomeUnknown, context.Cause(ctx))
}

// sleep waits for d or the end of ctx, and returns the error of ctx.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
