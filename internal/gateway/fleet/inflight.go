package fleet

import (
	"math/rand/v2"
	"sync"

	"corianderhitch/internal/platform"
)

// InFlight counts this gateway's own requests in flight by target. It is safe for
// concurrent use.
type InFlight struct {
	mu           sync.Mutex
	count        map[string]int            // guarded by mu
	fingerprints map[string]map[uint64]int // guarded by mu; requests by target and fingerprint
}

// NewInFlight returns an empty InFlight.
func NewInFlight() *InFlight {
	return &InFlight{count: make(map[string]int), fingerprints: make(map[string]map[uint64]int)}
}

// Add counts one more request and returns the function that removes it. fingerprint
// identifies the request's content; it is zero if the content is not known.
func (f *InFlight) Add(target string, fingerprint uint64) (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count[target]++
	if f.fingerprints[target] == nil {
		f.fingerprints[target] = make(map[uint64]int)
	}
	f.fingerprints[target][fingerprint]++
	return sync.OnceFunc(func() { f.remove(target, fingerprint) })
}

func (f *InFlight) remove(target string, fingerprint uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count[target]--
	f.fingerprints[target][fingerprint]--
	if f.fingerprints[target][fingerprint] <= 0 {
		delete(f.fingerprints[target], fingerprint)
	}
	if f.count[target] <= 0 {
		delete(f.count, target)
		delete(f.fingerprints, target)
	}
}

// CoResidents returns the known fingerprints in flight on a target other than the
// given one.
func (f *InFlight) CoResidents(target string, fingerprint uint64) []uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var others []uint64
	for other := range f.fingerprints[target] {
		if other != fingerprint && other != 0 {
			others = append(others, other)
		}
	}
	return others
}

// Count returns the number of requests in flight on a target.
func (f *InFlight) Count(target string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.count[target]
}

// PowerOfTwoChoices draws two of the targets at random and returns the one with fewer
// requests in flight. It returns false if there are no targets.
func (f *InFlight) PowerOfTwoChoices(targets []platform.Target) (platform.Target, bool) {
	switch len(targets) {
	case 0:
		return platform.Target{}, false
	case 1:
		return targets[0], true
	}
	i := rand.IntN(len(targets))
	j := rand.IntN(len(targets) - 1)
	if j >= i {
		j++
	}
	if f.Count(targets[j].Name) < f.Count(targets[i].Name) {
		i = j
	}
	return targets[i], true
}
