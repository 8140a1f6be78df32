// Package feed follows the store's entries under a key prefix. It lists them once and
// then watches for changes; it lists again when the store has compacted the history
// that a watch needs.
package feed

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/platform"
	"corianderhitch/internal/wait"
)

const (
	// liveGrace is how long after a failed call the feed still counts as live. The
	// list that follows a broken watch takes only a fraction of it.
	liveGrace = 800 * time.Millisecond
)

// errInterrupted ends a watch after Interrupt.
var errInterrupted = eris.New("feed: other calls to the store are not answered; the watch was ended")

// Sink receives what a Feed reads. One goroutine calls its methods.
type Sink interface {
	// Replace passes a complete list. If settled is false, the store has just come
	// back from an outage or from a copy, and missing entries must be kept: their leases
	// may have expired, or their writes may be lost, and their owners write them again.
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
	// EraSettled reports whether the entries that were lost with the restore before an era
	// have been written again. Nil stands for a store that is never restored.
	EraSettled func(era int64) bool
	// SettlePeriod is how long missing entries are kept after such an outage or restore.
	SettlePeriod time.Duration
	// WatchInterval returns the minimum time between two watches, so that changes in
	// quick succession cost one call.
	WatchInterval func() time.Duration
	// CatchUp brings the sink up to date without a list, if it still has what an earlier feed or another source brought, and
	// returns the revision to watch from. It returns platform.ErrCompacted if a list is needed; nil for always.
	CatchUp func(ctx context.Context) (platform.Revision, error)
	// RetryDelay returns the delay after a failed call. Failed calls are billed too.
	RetryDelay func() time.Duration

	// Only for the goroutine of Run:
	settling  bool              // missing entries are kept
	settledAt bootclock.Instant // when settling ends

	state  atomic.Int32 // a followState; changed under mu
	lostAt atomic.Int64 // bootclock.Instant as of which the state changed to lost

	mu          sync.Mutex
	endWatch    context.CancelFunc // guarded by mu; ends the watch in progress; nil if there is none
	interrupted bool               // guarded by mu; the next watch must not begin
	answeredAt  bootclock.Instant  // guarded by mu; lastAnswer of the latest Interrupt
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

// Interrupt ends the watch because the store has not answered other calls since lastAnswer. A
// watch that waits doesn't show that: it looks the same while nothing changes. The feed no longer
// counts as live if lastAnswer is longer ago than liveGrace, and lists again, since changes may have
// been lost.
func (f *Feed) Interrupt(lastAnswer bootclock.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.markLostLocked(lastAnswer) {
		return
	}
	f.answeredAt = lastAnswer
	if f.endWatch != nil {
		f.endWatch()
	} else {
		f.interrupted = true
	}
}

// otherAnswer returns when the store last answered a call other than the feed's, as of the latest Interrupt.
func (f *Feed) otherAnswer() bootclock.Instant {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.answeredAt
}

// setLive records that the store has answered.
func (f *Feed) setLive() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.Store(int32(live))
	f.interrupted = false
}

// markLost changes the state from live to lost. It has no effect in other states.
func (f *Feed) markLost() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.markLostLocked(bootclock.Now())
}

// markLostLocked is markLost as of an instant. It reports whether it changed the state. Callers hold f.mu.
func (f *Feed) markLostLocked(at bootclock.Instant) bool {
	if followState(f.state.Load()) != live {
		return false
	}
	f.lostAt.Store(int64(at))
	f.state.Store(int32(lost))
	return true
}

// beginWatch returns the context of the next watch, which Interrupt cancels, and a function that must be
// called at its end. ok is false if the feed was interrupted before.
func (f *Feed) beginWatch(ctx context.Context) (watchCtx context.Context, end func(), ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.interrupted {
		return ctx, func() {}, false
	}
	watchCtx, cancel := context.WithCancel(ctx)
	f.endWatch = cancel
	return watchCtx, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.endWatch = nil
		cancel()
	}, true
}

// Run follows the prefix until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	lastReached := bootclock.Now()
	unreachable := false
	defer f.stop()
	for ctx.Err() == nil {
		revision, err := f.begin(ctx, lastReached)
		for err == nil {
			lastReached = bootclock.Now()
			f.setLive()
			if unreachable {
				unreachable = false
				f.Log.Info("feed: store is reachable again", "prefix", f.Prefix, "revision", revision)
			}
			wait.For(ctx, f.WatchInterval())
			if f.settling && lastReached >= f.settledAt {
				revision, err = f.list(ctx, lastReached)
			} else {
				revision, err = f.watch(ctx, revision)
			}
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

func (f *Feed) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.Store(int32(stopped))
}

// begin brings the sink up to date.
func (f *Feed) begin(ctx context.Context, lastReached bootclock.Instant) (platform.Revision, error) {
	if f.CatchUp != nil {
		if revision, err := f.CatchUp(ctx); !errors.Is(err, platform.ErrCompacted) {
			return revision, err
		}
	}
	return f.list(ctx, lastReached)
}

// list reads all entries. After an outage or a restore of the store, missing entries are
// kept until the SettlePeriod has passed: leases expire during an outage, a restored store
// has lost what was written since the copy, and the owners need some time to write their
// entries again.
func (f *Feed) list(ctx context.Context, lastReached bootclock.Instant) (platform.Revision, error) {
	entries, revision, err := f.Store.List(ctx, f.Prefix, "", 0)
	if err != nil {
		return 0, err
	}
	outage := bootclock.Since(max(lastReached, f.otherAnswer()))
	restored := f.EraSettled != nil && !f.EraSettled(revision.Era())
	now := bootclock.Now()
	switch {
	case f.settling && now < f.settledAt: // missing entries are being kept already
	case restored, f.OutageThreshold > 0 && outage >= f.OutageThreshold:
		f.settling, f.settledAt = true, now.Add(f.SettlePeriod)
		f.Log.Info("feed: store was away, keeping missing entries for now", "prefix", f.Prefix, "away_ms", outage.Milliseconds(), "restored", restored)
	default:
		f.settling = false
	}
	f.Sink.Replace(entries, revision, !f.settling)
	return revision, nil
}

// watch waits for the next changes, applies them and returns the revision to watch from.
// While the list is settling it waits no longer than that, and does not apply deletions:
// an entry that expires has owners who may still write it again.
func (f *Feed) watch(ctx context.Context, after platform.Revision) (platform.Revision, error) {
	interruptible, end, ok := f.beginWatch(ctx)
	defer end()
	if !ok {
		return after, errInterrupted
	}
	watchCtx := interruptible
	if f.settling {
		var cancel context.CancelFunc
		watchCtx, cancel = context.WithTimeout(interruptible, f.settledAt.Sub(bootclock.Now()))
		defer cancel()
	}
	events, next, err := f.Store.Watch(watchCtx, f.Prefix, after)
	if f.settling {
		events = withoutDeletions(events)
		if err != nil && watchCtx.Err() != nil && interruptible.Err() == nil {
			return after, nil // the wait ended, not the connection
		}
	}
	if err != nil && interruptible.Err() != nil && ctx.Err() == nil {
		return after, errInterrupted
	}
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
