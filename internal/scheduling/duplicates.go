package scheduling

import "github.com/hashicorp/golang-lru/v2/simplelru"

// maxCompletedFingerprints bounds the fingerprints that are known to complete.
// Each takes 8 B plus about 50 B of list overhead.
const maxCompletedFingerprints = 8192

// duplicates keeps duplicates, which are requests with the same fingerprint, on
// one target until one of them has completed. If a caller sends a crashing
// request several times at once, it then crashes one target instead of one for
// each duplicate, and the crash is known before another target is tried. It is
// not safe for concurrent use.
type duplicates struct {
	running   map[uint64]*duplicateSet // by fingerprint
	completed *simplelru.LRU[uint64, struct{}]
}

// duplicateSet counts the running duplicates of one fingerprint and names their
// target.
type duplicateSet struct {
	target *targetState
	count  int
}

func newDuplicates() *duplicates {
	completed, _ := simplelru.NewLRU[uint64, struct{}](maxCompletedFingerprints, nil) // fails only for a size below 1
	return &duplicates{running: make(map[uint64]*duplicateSet), completed: completed}
}

// requiredTarget returns the only target that may run another duplicate, or nil if
// any target may.
func (d *duplicates) requiredTarget(fingerprint uint64) *targetState {
	set, ok := d.running[fingerprint]
	if !ok || d.completed.Contains(fingerprint) {
		return nil
	}
	if !set.target.Healthy || set.target.Leaving {
		return nil
	}
	return set.target
}

// add records a duplicate that was granted. Requests without a fingerprint are
// not tracked.
func (d *duplicates) add(fingerprint uint64, t *targetState) {
	if fingerprint == 0 {
		return
	}
	set, ok := d.running[fingerprint]
	if !ok {
		set = &duplicateSet{}
		d.running[fingerprint] = set
	}
	set.target = t
	set.count++
}

// remove records the end of a duplicate.
func (d *duplicates) remove(fingerprint uint64) {
	set, ok := d.running[fingerprint]
	if !ok {
		return
	}
	set.count--
	if set.count == 0 {
		delete(d.running, fingerprint)
	}
}

// markCompleted records that a request with the fingerprint has completed.
func (d *duplicates) markCompleted(fingerprint uint64) {
	if fingerprint != 0 {
		d.completed.Add(fingerprint, struct{}{})
	}
}
