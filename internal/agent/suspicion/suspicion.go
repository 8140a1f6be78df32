// Package suspicion decides which requests may have crashed their targets. It
// keeps the recent crashes with the fingerprints that ran on the target, and
// gives a verdict on a fingerprint:
//
//   - Isolate, after one crash: run it where no other suspect runs, so that a
//     second crash has one explanation.
//   - Refuse, after a second crash that no other fingerprint shares. The crash is
//     then explained, and what ran beside it is cleared.
//
// So one fingerprint costs at most two targets, and its neighbours complete.
// A fingerprint that completes is cleared. Evidence expires.
package suspicion

import (
	"sync"
	"time"

	"corianderhitch/api/control"
)

// Verdict tells how a request may run.
type Verdict int

// The verdicts on a fingerprint.
const (
	Clear Verdict = iota
	Isolate
	Refuse
)

const (
	// Window is how long a crash counts. A client that resends for longer starts
	// anew and may cost two more targets.
	Window = 10 * time.Minute
	// sameCrash is the time within which reports about one target mean one crash.
	sameCrash = 5 * time.Second
	// maxCrashes bounds the memory; the oldest is dropped.
	maxCrashes = 128
	// maxFingerprints bounds the fingerprints of one crash.
	maxFingerprints = 512
	// refuseAfter is the number of crashes after which a fingerprint is refused
	// even if others share them all.
	refuseAfter = 3
)

// Crash is the death of a target with what ran on it.
type Crash struct {
	Target       string
	At           time.Time // when it was first reported, by the local clock
	Fingerprints map[uint64]struct{}
}

// Register holds the recent crashes. It is safe for concurrent use.
type Register struct {
	mu      sync.Mutex
	crashes []Crash // oldest first, guarded by mu
}

// Add takes news of a crash or of a cleared fingerprint. Others are ignored.
func (r *Register) Add(now time.Time, n control.News) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	switch n.Kind {
	case control.NewsCrash:
		r.crash(now, n)
	case control.NewsCleared:
		r.clear(n.Fingerprint)
	}
}

// Verdict returns how a request may run, and for a refused one when its
// evidence expires.
func (r *Register) Verdict(now time.Time, fingerprint uint64) (Verdict, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	verdict := Judge(r.crashes, fingerprint)
	if verdict != Refuse {
		return verdict, 0
	}
	return verdict, r.remaining(now, fingerprint)
}

// Judge is the verdict on a fingerprint as a function of the recent crashes.
func Judge(crashes []Crash, fingerprint uint64) Verdict {
	if Culprit(crashes, fingerprint) {
		return Refuse
	}
	for _, c := range crashes {
		if _, ran := c.Fingerprints[fingerprint]; ran && !explained(crashes, c, fingerprint) {
			return Isolate
		}
	}
	return Clear
}

// Culprit tells whether the fingerprint alone ran in two or more crashes.
func Culprit(crashes []Crash, fingerprint uint64) bool {
	var common map[uint64]struct{}
	count := 0
	for _, c := range crashes {
		if _, ran := c.Fingerprints[fingerprint]; !ran {
			continue
		}
		count++
		common = intersect(common, c.Fingerprints)
	}
	return count >= refuseAfter || (count >= 2 && len(common) == 1)
}

func explained(crashes []Crash, c Crash, except uint64) bool {
	for other := range c.Fingerprints {
		if other != except && Culprit(crashes, other) {
			return true
		}
	}
	return false
}

func intersect(a, b map[uint64]struct{}) map[uint64]struct{} {
	if a == nil {
		return b
	}
	both := make(map[uint64]struct{})
	for x := range a {
		if _, ok := b[x]; ok {
			both[x] = struct{}{}
		}
	}
	return both
}

func (r *Register) crash(now time.Time, n control.News) {
	c := r.find(now, n.Target)
	c.Fingerprints[n.Fingerprint] = struct{}{}
	for _, beside := range n.Beside {
		if len(c.Fingerprints) >= maxFingerprints {
			return
		}
		c.Fingerprints[beside] = struct{}{}
	}
}

func (r *Register) find(now time.Time, target string) *Crash {
	for i := range r.crashes {
		if r.crashes[i].Target == target && now.Sub(r.crashes[i].At) < sameCrash {
			return &r.crashes[i]
		}
	}
	if len(r.crashes) >= maxCrashes {
		r.crashes = r.crashes[1:]
	}
	r.crashes = append(r.crashes, Crash{Target: target, At: now, Fingerprints: make(map[uint64]struct{})})
	return &r.crashes[len(r.crashes)-1]
}

func (r *Register) clear(fingerprint uint64) {
	for _, c := range r.crashes {
		delete(c.Fingerprints, fingerprint)
	}
}

func (r *Register) expire(now time.Time) {
	for len(r.crashes) > 0 && now.Sub(r.crashes[0].At) >= Window {
		r.crashes = r.crashes[1:]
	}
}

func (r *Register) remaining(now time.Time, fingerprint uint64) time.Duration {
	for _, c := range r.crashes {
		if _, ran := c.Fingerprints[fingerprint]; ran {
			return c.At.Add(Window).Sub(now)
		}
	}
	return Window
}
