// Package storeera tracks the era of the platform's store. A store that is restored from a
// copy begins a new era: it has lost what was written since the copy, until the operator
// and the targets have written it again. What it says before that is no news, and must not
// be taken for the newest state.
package storeera

import (
	"context"
	"errors"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/platform"
	"corianderhitch/internal/wait"
)

const (
	// SettlePeriod is how long after a restore the operator and the targets take to write
	// again what was lost.
	SettlePeriod = 2500 * time.Millisecond
	// markerKey holds the latest era that was settled. It spares hosts that start later the
	// SettlePeriod. A restored copy holds an earlier era, or none.
	markerKey = "corianderhitch/settled-era"
	// markerRetry is the time between attempts to read or write the marker.
	markerRetry = time.Second
)

// Tracker knows the latest era of the store and whether it is settled. It is safe for
// concurrent use.
type Tracker struct {
	log *slog.Logger

	mu      sync.Mutex
	era     int64             // guarded by mu
	seenAt  bootclock.Instant // guarded by mu; when this process first heard of era
	known   bool              // guarded by mu; an era was observed
	settled bool              // guarded by mu; somebody else found that era is settled
	changed chan struct{}     // guarded by mu; closed and replaced when era rises
}

// New returns a tracker that has not seen any era.
func New(log *slog.Logger) *Tracker { return &Tracker{log: log, changed: make(chan struct{})} }

// Observe records the era of an answer of the store, or of a host that has seen it. Source
// is for the log line about a restored store.
func (t *Tracker) Observe(era int64, source string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.known && era <= t.era {
		return
	}
	before, restored := t.era, t.known
	t.era, t.known, t.settled, t.seenAt = era, true, false, bootclock.Now()
	close(t.changed)
	t.changed = make(chan struct{})
	if restored {
		t.log.Warn("store: came back from an older copy", "era", era, "era_before", before, "source", source)
	}
}

// Current returns the latest era, 0 before any was observed.
func (t *Tracker) Current() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.era
}

// Settled reports whether what was lost with the restore that began an era has certainly
// been written again. Era 0 began with no restore.
func (t *Tracker) Settled(era int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return era == 0 || (t.known && t.era == era && (t.settled || bootclock.Since(t.seenAt) >= SettlePeriod))
}

// SettledEra returns the current era if it is settled, otherwise 0.
func (t *Tracker) SettledEra() int64 {
	if era := t.Current(); t.Settled(era) {
		return era
	}
	return 0
}

// MarkSettled records that another host, or the marker in the store, knows an era to be
// settled.
func (t *Tracker) MarkSettled(era int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.known && t.era == era {
		t.settled = true
	}
}

// Changed returns a channel that is closed when the era rises.
func (t *Tracker) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Run reads the marker of each new era from the store until ctx ends. Where writesMarker
// returns true it writes the marker once the era is settled.
func (t *Tracker) Run(ctx context.Context, store platform.Store, writesMarker func() bool) {
	for ctx.Err() == nil {
		era, changed := t.Current(), t.Changed()
		marked := era == 0 || t.readMarker(ctx, store, era)
		for !marked && ctx.Err() == nil && t.Current() == era {
			wait.For(ctx, markerRetry)
			if t.Settled(era) && writesMarker() {
				marked = t.writeMarker(ctx, store, era)
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// readMarker reports whether the store holds the marker of an era, and records it.
func (t *Tracker) readMarker(ctx context.Context, store platform.Store, era int64) bool {
	e, err := store.Get(ctx, markerKey)
	if err != nil {
		if !errors.Is(err, platform.ErrNotFound) {
			t.log.Info("store: marker of the settled era cannot be read", "era", era, "error", err.Error())
		}
		return false
	}
	if string(e.Value) != strconv.FormatInt(era, 10) || e.Revision.Era() != era {
		return false
	}
	t.MarkSettled(era)
	return true
}

// writeMarker reports whether it wrote the marker of a settled era. A write that is done
// only in a later era does no harm: the marker names its own era.
func (t *Tracker) writeMarker(ctx context.Context, store platform.Store, era int64) bool {
	_, err := store.Put(ctx, markerKey, []byte(strconv.FormatInt(era, 10)), platform.AnyRevision, 0)
	if err != nil {
		t.log.Info("store: marker of the settled era cannot be written", "era", era, "error", err.Error())
	}
	return err == nil
}
