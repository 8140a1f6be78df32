package fleet

import (
	"slices"
	"sync"
	"time"

	"corianderhitch/internal/platform"
)

// avoidPeriod is how long this gateway sends nothing new to a target that announced
// that it leaves, or was not reachable. By then the agents have distributed the event
// or found the target healthy.
const avoidPeriod = 5 * time.Second

// avoidList holds the targets that this gateway itself saw leaving or failing. It is
// safe for concurrent use.
type avoidList struct {
	mu    sync.Mutex
	until map[string]time.Time // guarded by mu
}

func (l *avoidList) add(target string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, until := range l.until {
		if now.After(until) {
			delete(l.until, name)
		}
	}
	l.until[target] = now.Add(avoidPeriod)
}

func (l *avoidList) names(now time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var names []string
	for name, until := range l.until {
		if now.Before(until) {
			names = append(names, name)
		}
	}
	return names
}

// Exclude returns the targets whose names are not in names.
func Exclude(targets []platform.Target, names []string) []platform.Target {
	kept := make([]platform.Target, 0, len(targets))
	for _, t := range targets {
		if !slices.Contains(names, t.Name) {
			kept = append(kept, t)
		}
	}
	return kept
}
