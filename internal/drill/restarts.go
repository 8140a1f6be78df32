package drill

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	maxRollGap      = 4 * time.Second
	minRollGap      = 300 * time.Millisecond
	minStartPause   = 100 * time.Millisecond
	maxStartPause   = 500 * time.Millisecond
	togetherShare   = 0.2 // of rolling restarts, in which several hosts stop at once
	wholeFleetShare = 0.3 // of rolling restarts
)

// rollingRestart stops and starts hosts one after the other, or several at a time.
func rollingRestart(ctx context.Context, f *fleet, r *rand.Rand) error {
	order := r.Perm(len(f.hosts))
	if r.Float64() > wholeFleetShare {
		order = order[:1+r.IntN(max(1, len(order)/2))]
	}
	gap := between(r, minRollGap, maxRollGap)
	if r.Float64() < togetherShare {
		gap = 0
	}
	f.logger.Info("drill: rolling restart", "hosts", len(order), "gap", gap)
	for _, n := range order {
		h, pause := f.hosts[n], between(r, minStartPause, maxStartPause)
		f.playing.Go(func() {
			h.mu.Lock()
			defer h.mu.Unlock()
			if h.process.hasExited() || !h.ready.Load() {
				return
			}
			h.terminate(f.deployment.Bounds.Grace)
			if sleep(ctx, pause) != nil && f.ctx.Err() != nil {
				return
			}
			if err := h.start(); err != nil {
				f.logger.Error("drill: start of a host", "host", h.name, "error", err)
			}
		})
		if err := sleep(ctx, gap); err != nil {
			return err
		}
	}
	return nil
}

const maxLife = 2500 * time.Millisecond // of a process that is stopped early

// stopEarly stops a random host, starts it, and stops it again before it has settled.
func stopEarly(ctx context.Context, f *fleet, r *rand.Rand) error {
	h, pause, life := f.hosts[r.IntN(len(f.hosts))], between(r, minStartPause, maxStartPause), between(r, 0, maxLife)
	if !h.mu.TryLock() {
		return nil
	}
	defer h.mu.Unlock()
	f.logger.Info("drill: early stop", "host", h.name, "life", life)
	for range 2 {
		h.terminate(f.deployment.Bounds.Grace)
		if sleep(ctx, pause) != nil && f.ctx.Err() != nil {
			return nil
		}
		if err := h.start(); err != nil {
			return err
		}
		if sleep(ctx, life) != nil {
			return nil
		}
	}
	return nil
}

// reload sends SIGHUP to a random host.
func reload(_ context.Context, f *fleet, r *rand.Rand) error {
	h := f.hosts[r.IntN(len(f.hosts))]
	if h.mu.TryLock() {
		defer h.mu.Unlock()
		h.reload()
	}
	return nil
}

// killHost kills a random host and starts it again.
func killHost(ctx context.Context, f *fleet, r *rand.Rand) error {
	h, pause := f.hosts[r.IntN(len(f.hosts))], between(r, minRestart, maxRestart)
	if !h.mu.TryLock() {
		return nil
	}
	defer h.mu.Unlock()
	f.logger.Info("drill: host kill", "host", h.name)
	h.kill()
	if sleep(ctx, pause) != nil && f.ctx.Err() != nil {
		return nil
	}
	return h.start()
}
