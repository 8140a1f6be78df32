package memstore

import (
	"context"
	"fmt"
	"time"

	"corianderhitch/internal/platform"
)

// read runs one reading call on key under the faults.
func (s *Store) read(ctx context.Context, key string, apply func() error) error {
	if ctx.Err() != nil {
		return unavailable(ctx)
	}
	s.mu.Lock()
	before := s.faultLocked(key)
	s.mu.Unlock()
	if sleep(ctx, before.RequestDelay) != nil {
		return unavailable(ctx)
	}
	answerDelay, err := s.applyRead(key, apply)
	if sleep(ctx, answerDelay) != nil {
		return unavailable(ctx)
	}
	return err
}

func (s *Store) applyRead(key string, apply func() error) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	f := s.faultLocked(key)
	if f.Outage {
		return f.AnswerDelay, platform.ErrUnavailable
	}
	if !allow(s.reads, s.options.Now()) {
		s.counts.RateLimited++
		return f.AnswerDelay, platform.ErrRateLimited
	}
	s.expireLocked()
	return f.AnswerDelay, apply()
}

// write runs one writing call on key under the faults. The result of apply may
// be read only if write returns nil.
func (s *Store) write(ctx context.Context, key string, apply func() error) error {
	if ctx.Err() != nil {
		return unavailable(ctx)
	}
	s.mu.Lock()
	before := s.faultLocked(key)
	s.mu.Unlock()
	start := time.Now()
	if sleep(ctx, before.RequestDelay) != nil {
		// The message is on its way and arrives without its sender.
		left := before.RequestDelay - time.Since(start)
		time.AfterFunc(max(left, 0), func() { _, _ = s.applyWrite(key, apply) })
		return unknown(ctx)
	}
	answerDelay, err := s.applyWrite(key, apply)
	if sleep(ctx, answerDelay) != nil {
		return unknown(ctx)
	}
	return err
}

func (s *Store) applyWrite(key string, apply func() error) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	f := s.faultLocked(key)
	if f.Outage {
		return f.AnswerDelay, platform.ErrUnavailable
	}
	if !allow(s.writes, s.options.Now()) {
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

func unknown(ctx context.Context) error {
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
