// Package freshness tracks when the configuration in force was last confirmed to be
// the newest. A revoked API key must stop admitting requests within a bounded time,
// even on a host that is partitioned or was suspended. Requests with a key therefore
// need a confirmation that began less than that time ago.
package freshness

import (
	"context"
	"log/slog"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"corianderhitch/internal/edge/bootclock"
)

// ConfirmFunc confirms the configuration once and returns the instant at which it
// was certainly the newest, which is before the answer arrived. If there is a newer
// configuration, it must put that one in force before it returns.
type ConfirmFunc func(ctx context.Context) (bootclock.Instant, error)

const (
	// confirmTimeout bounds one confirmation. The store answers in milliseconds, and
	// in a few hundred when it is slow.
	confirmTimeout = 1200 * time.Millisecond
	// retryPause follows a failed confirmation.
	retryPause = 600 * time.Millisecond
	// requestRetryPause is how long after a failed confirmation requests don't start another one: a store that
	// rejects calls at once would be called for each request.
	requestRetryPause = 200 * time.Millisecond
)

// Confirmer keeps the configuration confirmed. It is safe for concurrent use.
type Confirmer struct {
	log         *slog.Logger
	confirm     ConfirmFunc
	period      func() time.Duration
	confirmedAt atomic.Int64 // bootclock.Instant; 0 before the first confirmation

	mu      sync.Mutex
	running chan struct{}     // guarded by mu; closed at the end of the attempt in progress; nil if there is none
	failing bool              // guarded by mu; the last attempt failed
	endedAt bootclock.Instant // guarded by mu; end of the last attempt
}

// New returns a Confirmer. While Run runs, it confirms the configuration again
// whenever the last confirmation is older than period.
func New(log *slog.Logger, period func() time.Duration, confirm ConfirmFunc) *Confirmer {
	return &Confirmer{log: log, confirm: confirm, period: period}
}

// ConfirmedAt returns the last instant at which the configuration was certainly the
// newest, 0 before the first confirmation.
func (c *Confirmer) ConfirmedAt() bootclock.Instant { return bootclock.Instant(c.confirmedAt.Load()) }

// Age returns the time since ConfirmedAt. Before the first confirmation it returns
// the largest duration rather than the time since the host booted.
func (c *Confirmer) Age() time.Duration {
	if c.confirmedAt.Load() == 0 {
		return math.MaxInt64
	}
	return bootclock.Since(c.ConfirmedAt())
}

// Run keeps the configuration confirmed until ctx ends.
func (c *Confirmer) Run(ctx context.Context) {
	for {
		pause := c.period() - c.Age()
		if pause <= 0 { // also before the first confirmation
			<-c.attempt(ctx)
			if c.Age() >= c.period() {
				pause = retryPause
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(max(pause, time.Millisecond)):
		}
	}
}

// EnsureFresh reports whether there is a confirmation younger than maxAge. If not,
// it attempts one and waits for it at most maxWait, unless one has just failed. The
// attempt goes on when ctx ends.
func (c *Confirmer) EnsureFresh(ctx context.Context, maxAge, maxWait time.Duration) bool {
	if c.Age() < maxAge {
		return true
	}
	if c.hasJustFailed() {
		return false
	}
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case <-c.attempt(context.WithoutCancel(ctx)):
	case <-timer.C:
	case <-ctx.Done():
	}
	return c.Age() < maxAge
}

// hasJustFailed reports whether no attempt is in progress and the last one failed less than
// requestRetryPause ago.
func (c *Confirmer) hasJustFailed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running == nil && c.failing && bootclock.Since(c.endedAt) < requestRetryPause
}

// attempt starts a confirmation, or joins the one in progress. The channel is closed
// when the confirmation has succeeded or failed.
func (c *Confirmer) attempt(ctx context.Context) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running != nil {
		return c.running
	}
	done := make(chan struct{})
	c.running = done
	go func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
		defer cancel()
		confirmedAt, err := c.confirm(ctx)
		c.finish(confirmedAt, err)
	}()
	return done
}

// RecordConfirmation records a confirmation that was obtained in another way, unless
// a later one is known.
func (c *Confirmer) RecordConfirmation(confirmedAt bootclock.Instant) {
	for {
		old := c.confirmedAt.Load()
		if int64(confirmedAt) <= old || c.confirmedAt.CompareAndSwap(old, int64(confirmedAt)) {
			return
		}
	}
}

// finish records the result of an attempt, and logs when confirmations begin to fail
// and when they succeed again.
func (c *Confirmer) finish(confirmedAt bootclock.Instant, err error) {
	if err == nil {
		c.RecordConfirmation(confirmedAt)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running, c.endedAt = nil, bootclock.Now()
	switch {
	case err != nil && !c.failing:
		c.log.Warn("freshness: configuration cannot be confirmed", "age_ms", c.Age().Milliseconds(), "error", err.Error())
	case err == nil && c.failing:
		c.log.Info("freshness: configuration is confirmed again", "age_ms", c.Age().Milliseconds())
	}
	c.failing = err != nil
}
