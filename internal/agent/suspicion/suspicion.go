// Package suspicion tracks which requests are suspected of crashing targets, from events
// of this host's own pools and of its peers. The rules are those of scheduling/suspicion for
// requests that are sent again, and of package quarantine for beginnings of prompts that
// several requests share.
package suspicion

import (
	"fmt"
	"log/slog"
	"sync"
	"time"

	"corianderhitch/api/control"
	"corianderhitch/internal/agent/events"
	"corianderhitch/internal/scheduling/suspicion"
)

// historySlack is added to the time of a completion or survival that agents repair: the
// delays of messages shift it against the crash that it follows.
const historySlack = time.Second

// FleetTracker is a suspicion.Tracker fed by events from the whole fleet. It is safe for
// concurrent use, and its zero value is ready to use.
type FleetTracker struct {
	Host string
	Log  *slog.Logger // nil for none

	mu      sync.Mutex
	tracker suspicion.Tracker // guarded by mu
	parts   parts             // guarded by mu
}

// Add records an event about a request: a crash, a completion, the survival of the point at
// which its target had crashed, or the hold or release of prefixes. Other kinds are ignored.
func (t *FleetTracker) Add(now time.Time, e control.Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.parts.init(now, t.Host, t.Log)
	switch e.Kind {
	case control.EventCrash:
		t.tracker.RecordCrash(RemoteCrash(now, e))
		t.parts.recordCrash(now, e)
	case control.EventCleared:
		if len(e.Prefixes) > 0 {
			t.parts.recordSurvival(now, now.Add(-e.Age-e.Since), e.Prefixes)
			return
		}
		t.tracker.RecordCompletion(e.Fingerprint, ClearedAt(now, e))
	case control.EventReleased:
		t.parts.release(now, e)
	case control.EventHeld:
		t.parts.recordHeld(now, e)
	case control.EventSurvived:
		t.tracker.RecordSurvival(e.Fingerprint, ClearedAt(now, e))
	}
}

// Crashes returns the recorded crashes with their present suspects.
func (t *FleetTracker) Crashes(now time.Time) []suspicion.Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tracker.Crashes(now)
}

// RemoteCrash returns the crash that an event received now reports. Several gateways
// report a crash; their reports count as one.
func RemoteCrash(now time.Time, e control.Event) suspicion.Crash {
	at := now
	if events.IsHistory(e) {
		at = now.Add(-e.Age)
	}
	return suspicion.Crash{
		ID:         fmt.Sprintf("%s/%d", e.Target, at.UnixNano()),
		Target:     e.Target,
		Remote:     true,
		At:         at,
		Suspects:   append([]uint64{e.Fingerprint}, e.Beside...),
		Progressed: progressedRequests(e),
	}
}

// ClearedAt returns the time until which an event received now clears a request of
// crashes.
func ClearedAt(now time.Time, e control.Event) time.Time {
	if !events.IsHistory(e) {
		return now
	}
	return now.Add(historySlack - e.Age)
}

// Verdict returns whether and with which restrictions a request may run, and for how
// long it remains a suspect.
func (t *FleetTracker) Verdict(now time.Time, fingerprint uint64) (suspicion.Verdict, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tracker.Verdict(fingerprint, now), t.tracker.ExpiresIn(fingerprint, now)
}

// RecordAnswer records that the answer to a prompt with the prefixes began after the given
// time. It returns the prefixes if other hosts should hear of it, else nil.
func (t *FleetTracker) RecordAnswer(now, began time.Time, prefixes []uint64) []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.parts.recordSurvival(now, began, prefixes)
}

// TakeNewHolds returns the prefixes that this host's own evidence has held back since the last
// call, of which other hosts should hear.
func (t *FleetTracker) TakeNewHolds() []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	taken := t.parts.newHolds
	t.parts.newHolds = nil
	return taken
}

// Held returns the prefix because of which a request must not be sent, nil if there is none.
// admits states that the request is sent if there is none.
func (t *FleetTracker) Held(now time.Time, prefixes []uint64, admits bool) *HeldPrefix {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.parts.held(now, prefixes, admits)
}

// HeldPrefixes returns the prefixes that are held back, in order.
func (t *FleetTracker) HeldPrefixes(now time.Time) []control.HeldPrefix {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.parts.list(now)
}

// Holds returns the number of times that a prefix was held back. While it is the same, a
// request that was admitted need not be checked again.
func (t *FleetTracker) Holds() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.parts.holds
}

// progressedRequests returns the fingerprint of the event if its request had produced
// tokens, otherwise nil.
func progressedRequests(e control.Event) []uint64 {
	if e.Produced == 0 {
		return nil
	}
	return []uint64{e.Fingerprint}
}
