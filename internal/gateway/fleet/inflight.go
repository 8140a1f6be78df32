package fleet

import (
	"math/rand/v2"
	"sync"

	"corianderhitch/internal/platform"
)

// InFlight counts this gateway's own requests by target. It is safe for
// concurrent use.
type InFlight struct {
	mu    sync.Mutex
	count map[string]int            // guarded by mu
	runs  map[string]map[uint64]int // guarded by mu; fingerprints by target
}

// NewInFlight returns counts of zero.
func NewInFlight() *InFlight {
	return &InFlight{count: make(map[string]int), runs: make(map[string]map[uint64]int)}
}

// Add counts one more request and returns the function that ends it. The
// fingerprint names the request's content, zero if it is not known.
func (f *InFlight) Add(target string, fingerprint uint64) (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count[target]++
	if f.runs[target] == nil {
		f.runs[target] = make(map[uint64]int)
	}
	f.runs[target][fingerprint]++
	return sync.OnceFunc(func() { f.remove(target, fingerprint) })
}

func (f *InFlight) remove(target string, fingerprint uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count[target]--
	f.runs[target][fingerprint]--
	if f.runs[target][fingerprint] <= 0 {
		delete(f.runs[target], fingerprint)
	}
	if f.count[target] <= 0 {
		delete(f.count, target)
		delete(f.runs, target)
	}
}

// Beside returns the fingerprints in flight on a target but for one.
func (f *InFlight) CoResidents(target string, fingerprint uint64) []uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var beside []uint64
	for other := range f.runs[target] {
		if other != fingerprint && other != 0 {
			beside = append(beside, other)
		}
	}
	return beside
}

// Count returns the requests in flight on a target.
func (f *InFlight) Count(target string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.count[target]
}

// PowerOfTwo draws two of the targets and returns the one with fewer requests in
// flight. It returns false if there is none.
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
