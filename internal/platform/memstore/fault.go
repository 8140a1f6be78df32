package memstore

import (
	"context"
	"fmt"
	"strings"
	"time"

	"corianderhitch/internal/platform"
)

// Fault describes how the store misbehaves until the next SetFault. The zero
// value is a healthy store. Prefix restricts every fault but HostListLag to
// calls on keys with the prefix; calls on leases and the host list have no key
// and are touched only when Prefix is empty.
type Fault struct {
	// Outage makes every call fail with platform.ErrUnavailable, also watches
	// that wait already. Leases run on.
	Outage bool `json:"outage,omitempty"`
	// RequestDelay passes before a call takes effect. A write whose caller gives
	// up meanwhile takes effect nevertheless when the delay ends.
	RequestDelay time.Duration `json:"request_delay_ns,omitempty"`
	// AnswerDelay passes between the effect and the answer.
	AnswerDelay time.Duration `json:"answer_delay_ns,omitempty"`
	// LoseAnswers is the probability that a write takes effect and its answer is
	// lost.
	LoseAnswers float64 `json:"lose_answers,omitempty"`
	// LoseNext is the number of next writes whose answers are lost.
	LoseNext int    `json:"lose_next,omitempty"`
	Prefix   string `json:"prefix,omitempty"`
	// HostListLag delays changes of the host list.
	HostListLag time.Duration `json:"host_list_lag_ns,omitempty"`
}

// SetFault replaces the fault.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.wakeLocked()
}

// Fault returns the fault in force. LoseNext counts down.
func (s *Store) Fault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// noKey marks calls on leases and the host list.
const noKey = "\x00"

// faultLocked returns the fault as it applies to a call on key.
func (s *Store) faultLocked(key string) Fault {
	if s.fault.Prefix == "" || (key != noKey && strings.HasPrefix(key, s.fault.Prefix)) {
		return s.fault
	}
	return Fault{}
}

// loseAnswerLocked decides whether the answer of a write on key is lost.
func (s *Store) loseAnswerLocked(key string) bool {
	f := s.faultLocked(key)
	if f.LoseNext > 0 {
		s.fault.LoseNext--
		return true
	}
	return f.LoseAnswers > 0 && s.random.Float64() < f.LoseAnswers
}

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
