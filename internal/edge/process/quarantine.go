package process

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strings"
	"time"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/platform"
	"corianderhitch/internal/quarantine"
	"corianderhitch/internal/wait"
)

const (
	// heldKey is the store's key of the evidence because of which requests are held back. It
	// outlives a loss of power on all hosts.
	heldKey = "corianderhitch/held-requests"
	// heldWriteAttempts bounds the attempts to write it: others may write at the same time,
	// or the store may be away.
	heldWriteAttempts = 8
	// heldRetryDelay is the time between the attempts, and between those to read it.
	heldRetryDelay = time.Second
	// keepsHeldFor is how long after a change that it caused a host also stores the changes that
	// follow by what others found out.
	keepsHeldFor = time.Minute
	// maxConflictDelay is the maximum of the random delay after another host's write.
	maxConflictDelay = 50 * time.Millisecond
	// maxLoggedCrashes bounds the crashes that a log line names.
	maxLoggedCrashes = 8
	// maxHeldRecords bounds the evidence in the store.
	maxHeldRecords = 512
)

// storedEvidence is the value of heldKey. Ages are as of WrittenAt, a wall clock: they are
// corrected by the time since then, within the bounds of maxStoredAge.
type storedEvidence struct {
	WrittenAt time.Time
	Evidence  quarantine.Evidence
}

// maxStoredAge bounds what a wrong wall clock may add to the age of stored evidence.
const maxStoredAge = 10 * time.Minute

func steadyNow() quarantine.Instant { return quarantine.Instant(bootclock.Now()) }

// onQuarantineChange logs and counts that a key is held back or no longer is, and stores it
// if this host's evidence completed the case.
func (p *Process) onQuarantineChange(c quarantine.Change) {
	p.metrics.ObserveQuarantine(c.Kind.String())
	attributes := []any{"change", c.Kind.String(), "key", c.Hold.Key.String(), "left_ms", (c.Hold.Until - c.Now).Milliseconds(), "by_this_host", c.Own,
		"crashes", len(c.Hold.Crashes), "crashed", describeCrashes(&c)}
	if c.Hold.Survived {
		attributes = append(attributes, "survived_ago_ms", (c.Now - c.Hold.SurvivedAt).Milliseconds())
	}
	p.log.Warn("quarantine: what is held back has changed", attributes...)
	if c.Kind == quarantine.Held {
		p.crashes.EndHeldWaits()
	}
	if c.Own {
		p.keepsHeldUntil.Store(int64(bootclock.Now().Add(keepsHeldFor)))
	}
	// A host that has stored a wrong blame corrects it, also if others found out.
	if p.keepsHeldUntil.Load() > int64(bootclock.Now()) {
		select {
		case p.heldChanged <- struct{}{}:
		default:
		}
	}
}

// describeCrashes names the crashes under a key: incarnation, reporting host and age of each.
func describeCrashes(c *quarantine.Change) string {
	var crashed []string
	for _, crash := range c.Hold.Crashes[:min(len(c.Hold.Crashes), maxLoggedCrashes)] {
		crashed = append(crashed, crash.Incarnation+" by "+crash.Host+" "+(c.Now-crash.At).Round(time.Millisecond).String()+" ago")
	}
	return strings.Join(crashed, ", ")
}

// heldKeys returns the number of keys that are held back or on probation.
func (p *Process) heldKeys() int { return len(p.quarantine.Holds()) }

// keepHeld reads the stored evidence once this host follows the store, and again in each
// era, and writes it after changes that this host caused.
func (p *Process) keepHeld(ctx context.Context) {
	read := int64(-1) // era in which the evidence was read
	for ctx.Err() == nil {
		changed := p.eras.Changed()
		if era := p.eras.Current(); p.feeds.live() && read != era && p.readHeld(ctx) {
			read = era
		}
		var again <-chan time.Time
		switch {
		case read == p.eras.Current():
		case p.feeds.live():
			again = time.After(heldRetryDelay)
		default:
			again = time.After(followCheckInterval) // a host that has just started follows the store soon
		}
		select {
		case <-ctx.Done():
		case <-again:
		case <-changed:
		case <-p.heldChanged:
			p.writeHeld(ctx)
		}
	}
}

// readHeld merges the evidence in the store and reports whether the store answered.
func (p *Process) readHeld(ctx context.Context) bool {
	evidence, _, err := p.storedEvidence(ctx)
	if err != nil {
		p.log.Info("quarantine: stored evidence cannot be read", "error", err.Error())
		return false
	}
	if p.quarantine.Merge(steadyNow(), evidence) {
		p.exchange.SendEvidence()
	}
	return true
}

// storedEvidence returns the evidence in the store and the revision of its entry.
func (p *Process) storedEvidence(ctx context.Context) (quarantine.Evidence, platform.Revision, error) {
	entry, err := p.store.Get(ctx, heldKey)
	if errors.Is(err, platform.ErrNotFound) {
		return quarantine.Evidence{}, platform.Absent, nil
	}
	if err != nil {
		return quarantine.Evidence{}, 0, err
	}
	var stored storedEvidence
	if err := json.Unmarshal(entry.Value, &stored); err != nil {
		p.log.Warn("quarantine: stored evidence cannot be decoded and is ignored", "key", heldKey, "error", err.Error())
		return quarantine.Evidence{}, entry.Revision, nil
	}
	age := min(max(time.Since(stored.WrittenAt), 0), maxStoredAge)
	e := stored.Evidence
	e.Failures, e.Survivals = e.Failures[:min(len(e.Failures), maxHeldRecords)], e.Survivals[:min(len(e.Survivals), maxHeldRecords)]
	for i := range e.Failures {
		e.Failures[i].Age += age
	}
	for i := range e.Survivals {
		e.Survivals[i].Age += age
	}
	return e, entry.Revision, nil
}

// writeHeld merges the evidence in the store and writes what holds keys back now.
func (p *Process) writeHeld(ctx context.Context) {
	var err error
	for range heldWriteAttempts {
		if ctx.Err() != nil {
			return
		}
		var stored quarantine.Evidence
		var revision platform.Revision
		if stored, revision, err = p.storedEvidence(ctx); err == nil {
			p.quarantine.Merge(steadyNow(), stored)
			var value []byte
			if value, err = json.Marshal(storedEvidence{WrittenAt: time.Now(), Evidence: p.quarantine.HeldEvidence(steadyNow())}); err == nil {
				_, err = p.store.Put(ctx, heldKey, value, revision, 0)
			}
		}
		switch {
		case err == nil:
			return
		case errors.Is(err, platform.ErrConflict):
			wait.For(ctx, rand.N(maxConflictDelay))
		default:
			wait.For(ctx, heldRetryDelay)
		}
	}
	p.log.Warn("quarantine: evidence cannot be stored; it is lost if all hosts lose power", "error", err.Error())
}
