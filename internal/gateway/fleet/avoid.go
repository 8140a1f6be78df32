package fleet

import (
	"slices"
	"sync"
	"time"

	"corianderhitch/internal/platform"
)

// avoidFor is the time for which a target that refused as leaving or did not
// answer gets nothing new from this gateway. By then the agents have spread the
// news or found the target well.
const avoidFor = 5 * time.Second

// avoidList holds the targets that this gateway itself saw fail.
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
	l.until[target] = now.Add(avoidFor)
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

// Without returns the targets that are not named.
func Exclude(targets []platform.Target, names []string) []platform.Target {
	kept := make([]platform.Target, 0, len(targets))
	for _, t := range targets {
		if !slices.Contains(names, t.Name) {
			kept = append(kept, t)
		}
	}
	return kept
}
