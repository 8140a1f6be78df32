// Package feed follows the entries under a prefix of the store: a list, then
// watches, and a list again whenever the store has lost the history.
package feed

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/platform"
	"corianderhitch/internal/wait"
)

const (
	// liveGrace is how long after a failure the prefix still counts as followed: a
	// watch that is cut is followed by a list within a fraction of it.
	liveGrace = 800 * time.Millisecond
)

// Sink takes what a Feed learns. Its methods are called by one goroutine.
type Sink interface {
	// Replace takes the whole list. With settled false, missing entries mean
	// nothing: the store was away and their writers may still be about to
	// return.
	Replace(entries []platform.Entry, revision platform.Revision, settled bool)
	// Apply takes changes.
	Apply(events []platform.Event, revision platform.Revision)
}

// Feed follows one prefix.
type Feed struct {
	Log    *slog.Logger
	Store  platform.Store
	Prefix string
	Sink   Sink
	// Outage is how long the store must have been away before missing entries
	// are doubted; 0 if they never are.
	OutageThreshold time.Duration
	// Settle is how long they are doubted after its return.
	SettlePeriod time.Duration
	// Pause returns the least time between two watches, so that changes close
	// together cost one call.
	WatchInterval func() time.Duration
	// RetryPause returns the pause after a failed call, which is paid for as well.
	RetryDelay func() time.Duration

	state  atomic.Int32 // feedState
	lostAt atomic.Int64 // bootclock.Instant of the first failure in state lost
}

type feedState int32

const (
	stopped feedState = iota
	live
	lost
)

// Live tells whether the prefix is being followed at this moment.
func (f *Feed) Live() bool {
	switch feedState(f.state.Load()) {
	case live:
		return true
	case lost:
		return bootclock.Since(bootclock.Instant(f.lostAt.Load())) < liveGrace
	default:
		return false
	}
}

// failed leaves the state live for lost, and only that one.
func (f *Feed) failed() {
	if feedState(f.state.Load()) == live {
		f.lostAt.Store(int64(bootclock.Now()))
		f.state.Store(int32(lost))
	}
}

// Run follows the prefix until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	reached := bootclock.Now()
	down := false
	defer f.state.Store(int32(stopped))
	for ctx.Err() == nil {
		revision, err := f.list(ctx, reached)
		for err == nil {
			reached = bootclock.Now()
			f.state.Store(int32(live))
			if down {
				down = false
				f.Log.Info("feed: store is reachable again", "prefix", f.Prefix, "revision", revision)
			}
			wait.For(ctx, f.WatchInterval())
			revision, err = f.watch(ctx, revision)
		}
		f.failed()
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, platform.ErrCompacted) {
			f.Log.Info("feed: list again because the store dropped the history", "prefix", f.Prefix)
			continue
		}
		if !down {
			down = true
			f.Log.Warn("feed: store cannot be reached", "prefix", f.Prefix, "error", err.Error())
		}
		wait.For(ctx, f.RetryDelay())
	}
}

// list reads all entries. After an outage it reads them twice: entries lapse
// while the store is away, and their writers need a while to return.
func (f *Feed) list(ctx context.Context, reached bootclock.Instant) (platform.Revision, error) {
	entries, revision, err := f.Store.List(ctx, f.Prefix, "", 0)
	if err != nil {
		return 0, err
	}
	away := bootclock.Since(reached)
	if f.OutageThreshold == 0 || away < f.OutageThreshold {
		f.Sink.Replace(entries, revision, true)
		return revision, nil
	}
	f.Log.Info("feed: store was away, missing entries are doubted", "prefix", f.Prefix, "away_ms", away.Milliseconds())
	f.Sink.Replace(entries, revision, false)
	return f.settle(ctx, revision)
}

// settle takes new and changed entries until the doubt ends, and then the whole
// list.
func (f *Feed) settle(ctx context.Context, revision platform.Revision) (platform.Revision, error) {
	until := bootclock.Now().Add(f.SettlePeriod)
	for {
		left := until.Sub(bootclock.Now())
		if left <= 0 {
			break
		}
		waiting, cancel := context.WithTimeout(ctx, left)
		events, next, err := f.Store.Watch(waiting, f.Prefix, revision)
		cancel()
		if err == nil {
			f.Sink.Apply(written(events), next)
			revision = next
		}
		wait.For(ctx, min(left, f.WatchInterval()))
		if ctx.Err() != nil {
			return 0, ctx.Err()
		}
	}
	entries, revision, err := f.Store.List(ctx, f.Prefix, "", 0)
	if err == nil {
		f.Sink.Replace(entries, revision, true)
	}
	return revision, err
}

func (f *Feed) watch(ctx context.Context, after platform.Revision) (platform.Revision, error) {
	events, next, err := f.Store.Watch(ctx, f.Prefix, after)
	if err != nil {
		return after, err
	}
	if len(events) > 0 {
		f.Sink.Apply(events, next)
	}
	return next, nil
}

func written(events []platform.Event) []platform.Event {
	kept := events[:0]
	for _, e := range events {
		if !e.Deleted {
			kept = append(kept, e)
		}
	}
	return kept
}
