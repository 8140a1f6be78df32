// Package feed follows the store's entries under a key prefix. It lists them once and
// then watches for changes; it lists again when the store has compacted the history
// that a watch needs.
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
	// liveGrace is how long after a failed call the feed still counts as live. The
	// list that follows a broken watch takes only a fraction of it.
	liveGrace = 800 * time.Millisecond
)

// Sink receives what a Feed reads. One goroutine calls its methods.
type Sink interface {
	// Replace passes a complete list. If settled is false, the store has just come
	// back from an outage and missing entries must be kept: their leases may have
	// expired during the outage, before their owners could renew them.
	Replace(entries []platform.Entry, revision platform.Revision, settled bool)
	// Apply passes changes in order of revision.
	Apply(events []platform.Event, revision platform.Revision)
}

// Feed follows one prefix of the store.
type Feed struct {
	Log    *slog.Logger
	Store  platform.Store
	Prefix string
	Sink   Sink
	// OutageThreshold is how long the store must have been unreachable for missing
	// entries to be kept at first. 0 disables this.
	OutageThreshold time.Duration
	// SettlePeriod is how long missing entries are kept after such an outage.
	SettlePeriod time.Duration
	// WatchInterval returns the minimum time between two watches, so that changes in
	// quick succession cost one call.
	WatchInterval func() time.Duration
	// RetryDelay returns the delay after a failed call. Failed calls are billed too.
	RetryDelay func() time.Duration

	state  atomic.Int32 // a followState
	lostAt atomic.Int64 // bootclock.Instant of the failure that changed the state to lost
}

type followState int32

const (
	stopped followState = iota
	live
	lost
)

// Live reports whether the prefix is being followed. It stays true for liveGrace after a
// failure.
func (f *Feed) Live() bool {
	switch followState(f.state.Load()) {
	case live:
		return true
	case lost:
		return bootclock.Since(bootclock.Instant(f.lostAt.Load())) < liveGrace
	default:
		return false
	}
}

// markLost changes the state from live to lost. It has no effect in other states.
func (f *Feed) markLost() {
	if followState(f.state.Load()) == live {
		f.lostAt.Store(int64(bootclock.Now()))
		f.state.Store(int32(lost))
	}
}

// Run follows the prefix until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	lastReached := bootclock.Now()
	unreachable := false
	defer f.state.Store(int32(stopped))
	for ctx.Err() == nil {
		revision, err := f.list(ctx, lastReached)
		for err == nil {
			lastReached = bootclock.Now()
			f.state.Store(int32(live))
			if unreachable {
				unreachable = false
				f.Log.Info("feed: store is reachable again", "prefix", f.Prefix, "revision", revision)
			}
			wait.For(ctx, f.WatchInterval())
			revision, err = f.watch(ctx, revision)
		}
		f.markLost()
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, platform.ErrCompacted) {
			f.Log.Info("feed: watch revision was compacted, listing again", "prefix", f.Prefix)
			continue
		}
		if !unreachable {
			unreachable = true
			f.Log.Warn("feed: store is not reachable", "prefix", f.Prefix, "error", err.Error())
		}
		wait.For(ctx, f.RetryDelay())
	}
}

// list reads all entries. After an outage it reads them twice, because leases expire
// during the outage and their owners need some time to register again.
func (f *Feed) list(ctx context.Context, lastReached bootclock.Instant) (platform.Revision, error) {
	entries, revision, err := f.Store.List(ctx, f.Prefix, "", 0)
	if err != nil {
		return 0, err
	}
	outage := bootclock.Since(lastReached)
	if f.OutageThreshold == 0 || outage < f.OutageThreshold {
		f.Sink.Replace(entries, revision, true)
		return revision, nil
	}
	f.Log.Info("feed: store was unreachable, keeping missing entries for now", "prefix", f.Prefix, "away_ms", outage.Milliseconds())
	f.Sink.Replace(entries, revision, false)
	return f.awaitSettled(ctx, revision)
}

// awaitSettled applies new and changed entries, but no deletions, until SettlePeriod has
// passed. Then it lists again.
func (f *Feed) awaitSettled(ctx context.Context, revision platform.Revision) (platform.Revision, error) {
	until := bootclock.Now().Add(f.SettlePeriod)
	for {
		remaining := until.Sub(bootclock.Now())
		if remaining <= 0 {
			break
		}
		watchCtx, cancel := context.WithTimeout(ctx, remaining)
		events, next, err := f.Store.Watch(watchCtx, f.Prefix, revision)
		cancel()
		// An error needs no handling: the list after the loop is complete in any case.
		if err == nil {
			f.Sink.Apply(withoutDeletions(events), next)
			revision = next
		}
		wait.For(ctx, min(remaining, f.WatchInterval()))
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

// watch waits for the next changes, applies them and returns the revision to watch from.
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

// withoutDeletions removes deletions from events, in place.
func withoutDeletions(events []platform.Event) []platform.Event {
	kept := events[:0]
	for _, e := range events {
		if !e.Deleted {
			kept = append(kept, e)
		}
	}
	return kept
}
