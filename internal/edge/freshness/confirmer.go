// Package freshness knows how long ago the configuration in force was surely the
// newest. A removed API key must stop admitting requests within a bound also on
// a host that is cut off or was suspended, so that requests with a key need a
// confirmation that began less than that bound ago.
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

// Source confirms the configuration once and returns the instant as of which it
// is surely the newest. It must put a newer one in force before it returns.
type ConfirmFunc func(ctx context.Context) (bootclock.Instant, error)

const (
	// attemptTimeout bounds one confirmation: the store answers in milliseconds,
	// and a slow one within a few hundred.
	attemptTimeout = 1200 * time.Millisecond
	// retryPause follows a failed confirmation.
	retryPause = 600 * time.Millisecond
)

// Confirmer keeps a confirmation young. It is safe for concurrent use.
type Confirmer struct {
	log    *slog.Logger
	source ConfirmFunc
	period func() time.Duration
	asOf   atomic.Int64 // bootclock.Instant; 0 before the first confirmation

	mu      sync.Mutex
	running chan struct{} // guarded by mu; closed at the end of the attempt that is going on
	lost    bool          // guarded by mu
}

// New returns a Confirmer that confirms when the last one is a period old, while
// Run runs.
func New(log *slog.Logger, period func() time.Duration, source ConfirmFunc) *Confirmer {
	return &Confirmer{log: log, source: source, period: period}
}

// AsOf returns the instant as of which the configuration was surely the newest.
func (c *Confirmer) ConfirmedAt() bootclock.Instant { return bootclock.Instant(c.asOf.Load()) }

// Age returns the time since AsOf, which is endless before the first
// confirmation: a host that has just booted is not confirmed by its clock.
func (c *Confirmer) Age() time.Duration {
	if c.asOf.Load() == 0 {
		return math.MaxInt64
	}
	return bootclock.Since(c.ConfirmedAt())
}

// Run confirms until ctx ends.
func (c *Confirmer) Run(ctx context.Context) {
	for {
		pause := c.period() - c.Age()
		if pause <= 0 { // also before the first
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

// Ensure waits at most patience for a confirmation younger than maxAge.
func (c *Confirmer) EnsureFresh(ctx context.Context, maxAge, patience time.Duration) bool {
	if c.Age() < maxAge {
		return true
	}
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-c.attempt(context.WithoutCancel(ctx)):
	case <-timer.C:
	case <-ctx.Done():
	}
	return c.Age() < maxAge
}

// attempt starts a confirmation, or joins the one that is going on.
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
		ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
		defer cancel()
		asOf, err := c.source(ctx)
		c.finish(asOf, err)
	}()
	return done
}

// Note takes a confirmation that came by another way.
func (c *Confirmer) RecordConfirmation(asOf bootclock.Instant) {
	for {
		old := c.asOf.Load()
		if int64(asOf) <= old || c.asOf.CompareAndSwap(old, int64(asOf)) {
			return
		}
	}
}

func (c *Confirmer) finish(asOf bootclock.Instant, err error) {
	if err == nil {
		c.RecordConfirmation(asOf)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = nil
	switch {
	case err != nil && !c.lost:
		c.log.Warn("freshness: configuration cannot be confirmed", "age_ms", c.Age().Milliseconds(), "error", err.Error())
	case err == nil && c.lost:
		c.log.Info("freshness: configuration is confirmed again", "age_ms", c.Age().Milliseconds())
	}
	c.lost = err != nil
}
