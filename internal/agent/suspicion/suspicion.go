// Package suspicion tracks which requests are suspected of crashing targets, from events
// of this host's own pools and of its peers. The rules are those of
// scheduling/suspicion.
package suspicion

import (
	"fmt"
	"sync"
	"time"

	"corianderhitch/api/control"
	"corianderhitch/internal/scheduling/suspicion"
)

// sameCrashWindow is the time within which reports about one target count as one crash.
const sameCrashWindow = 5 * time.Second

// FleetTracker is a suspicion.Tracker fed by events from the whole fleet. It is safe for
// concurrent use, and its zero value is ready to use.
type FleetTracker struct {
	mu        sync.Mutex
	tracker   suspicion.Tracker    // guarded by mu
	lastCrash map[string]time.Time // last crash by target, guarded by mu
}

// Add records an event about a request: a crash, a completion, or the survival of the
// point at which its target had crashed. Other kinds are ignored.
func (t *FleetTracker) Add(now time.Time, e control.Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch e.Kind {
	case control.EventCrash:
		t.tracker.RecordCrash(suspicion.Crash{
			ID:         t.crashID(now, e.Target),
			At:         t.lastCrash[e.Target],
			Suspects:   append([]uint64{e.Fingerprint}, e.Beside...),
			Progressed: ProgressedRequests(e),
		})
	case control.EventCleared:
		t.tracker.RecordCompletion(e.Fingerprint)
	case control.EventSurvived:
		t.tracker.RecordSurvival(e.Fingerprint)
	}
}

// Verdict returns whether and with which restrictions a request may run, and for how
// long it remains a suspect.
func (t *FleetTracker) Verdict(now time.Time, fingerprint uint64) (suspicion.Verdict, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tracker.Verdict(fingerprint, now), t.tracker.ExpiresIn(fingerprint, now)
}

// ProgressedRequests returns the fingerprint of the event if its request had produced
// tokens, otherwise nil.
func ProgressedRequests(e control.Event) []uint64 {
	if e.Produced == 0 {
		return nil
	}
	return []uint64{e.Fingerprint}
}

// crashID returns an id of the crash that a report about the target refers to, and drops
// crashes older than suspicion.Retention.
func (t *FleetTracker) crashID(now time.Time, target string) string {
	if t.lastCrash == nil {
		t.lastCrash = make(map[string]time.Time)
	}
	for name, at := range t.lastCrash {
		if now.Sub(at) > suspicion.Retention {
			delete(t.lastCrash, name)
		}
	}
	if last, ok := t.lastCrash[target]; !ok || now.Sub(last) >= sameCrashWindow {
		t.lastCrash[target] = now
	}
	return fmt.Sprintf("%s/%d", target, t.lastCrash[target].UnixNano())
}
