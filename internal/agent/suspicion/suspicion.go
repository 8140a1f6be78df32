// Package suspicion holds what this host knows of crashing requests, from its
// own pools and from the news of its peers. scheduling/suspicion judges.
package suspicion

import (
	"fmt"
	"sync"
	"time"

	"corianderhitch/api/control"
	"corianderhitch/internal/scheduling/suspicion"
)

// sameCrash is the time within which reports about one target mean one crash.
const sameCrash = 5 * time.Second

// Register is a Tracker fed by news. It is safe for concurrent use; its zero
// value is ready.
type FleetTracker struct {
	mu      sync.Mutex
	tracker suspicion.Tracker    // guarded by mu
	died    map[string]time.Time // last crash by target, guarded by mu
}

// Add takes news of a crash or of a cleared fingerprint. Others are ignored.
func (r *FleetTracker) Add(now time.Time, n control.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch n.Kind {
	case control.EventCrash:
		r.tracker.RecordCrash(suspicion.Crash{
			ID:         r.crashID(now, n.Target),
			At:         r.died[n.Target],
			Suspects:   append([]uint64{n.Fingerprint}, n.Beside...),
			Progressed: ProgressedRequests(n),
		})
	case control.EventCleared:
		r.tracker.RecordCompletion(n.Fingerprint)
	case control.EventSurvived:
		r.tracker.RecordSurvival(n.Fingerprint)
	}
}

// Verdict returns how a request may run, and how long it stays under suspicion.
func (r *FleetTracker) Verdict(now time.Time, fingerprint uint64) (suspicion.Verdict, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.Verdict(fingerprint, now), r.tracker.ExpiresIn(fingerprint, now)
}

// Progressed returns the request of the news if it had made tokens.
func ProgressedRequests(n control.Event) []uint64 {
	if n.Produced == 0 {
		return nil
	}
	return []uint64{n.Fingerprint}
}

// crashID names the crash that a report of a target's death means.
func (r *FleetTracker) crashID(now time.Time, target string) string {
	if r.died == nil {
		r.died = make(map[string]time.Time)
	}
	for name, at := range r.died {
		if now.Sub(at) > suspicion.Retention {
			delete(r.died, name)
		}
	}
	if last, ok := r.died[target]; !ok || now.Sub(last) >= sameCrash {
		r.died[target] = now
	}
	return fmt.Sprintf("%s/%d", target, r.died[target].UnixNano())
}
