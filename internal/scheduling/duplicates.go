package scheduling

import "github.com/hashicorp/golang-lru/v2/simplelru"

// provedFingerprints bounds the requests that are known to run to their end,
// 8 B each and the list's own 50 B.
const maxCompletedFingerprints = 8192

// copies keeps equal requests together until one of them has run to its end. A
// caller that sends a crashing request several times at once then costs one
// target, not one for each copy; the death is known before the next target is
// risked. It is not safe for concurrent use.
type duplicates struct {
	running   map[uint64]*duplicateSet // by fingerprint
	completed *simplelru.LRU[uint64, struct{}]
}

// copySet is where the copies of one request run.
type duplicateSet struct {
	target *targetState
	count  int
}

func newDuplicates() *duplicates {
	proved, _ := simplelru.NewLRU[uint64, struct{}](maxCompletedFingerprints, nil) // fails only for a size below 1
	return &duplicates{running: make(map[uint64]*duplicateSet), completed: proved}
}

// home returns the only target that may take another copy, or nil if any may.
func (c *duplicates) requiredTarget(fingerprint uint64) *targetState {
	set, ok := c.running[fingerprint]
	if !ok || c.completed.Contains(fingerprint) {
		return nil
	}
	if !set.target.Healthy || set.target.Leaving {
		return nil
	}
	return set.target
}

// placed notes a copy that was granted. Requests without a fingerprint count not.
func (c *duplicates) add(fingerprint uint64, t *targetState) {
	if fingerprint == 0 {
		return
	}
	set, ok := c.running[fingerprint]
	if !ok {
		set = &duplicateSet{}
		c.running[fingerprint] = set
	}
	set.target = t
	set.count++
}

// released notes the end of a copy.
func (c *duplicates) remove(fingerprint uint64) {
	set, ok := c.running[fingerprint]
	if !ok {
		return
	}
	set.count--
	if set.count == 0 {
		delete(c.running, fingerprint)
	}
}

// prove notes that a request has run to its end.
func (c *duplicates) markCompleted(fingerprint uint64) {
	if fingerprint != 0 {
		c.completed.Add(fingerprint, struct{}{})
	}
}
