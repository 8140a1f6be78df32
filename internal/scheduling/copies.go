package scheduling

import "github.com/hashicorp/golang-lru/v2/simplelru"

// provedFingerprints bounds the requests that are known to run to their end,
// 8 B each and the list's own 50 B.
const provedFingerprints = 8192

// copies keeps equal requests together until one of them has run to its end. A
// caller that sends a crashing request several times at once then costs one
// target, not one for each copy; the death is known before the next target is
// risked. It is not safe for concurrent use.
type copies struct {
	running map[uint64]*copySet // by fingerprint
	proved  *simplelru.LRU[uint64, struct{}]
}

// copySet is where the copies of one request run.
type copySet struct {
	target *targetState
	count  int
}

func newCopies() *copies {
	proved, _ := simplelru.NewLRU[uint64, struct{}](provedFingerprints, nil) // fails only for a size below 1
	return &copies{running: make(map[uint64]*copySet), proved: proved}
}

// home returns the only target that may take another copy, or nil if any may.
func (c *copies) home(fingerprint uint64) *targetState {
	set, ok := c.running[fingerprint]
	if !ok || c.proved.Contains(fingerprint) {
		return nil
	}
	if !set.target.Healthy || set.target.Leaving {
		return nil
	}
	return set.target
}

// placed notes a copy that was granted. Requests without a fingerprint count not.
func (c *copies) placed(fingerprint uint64, t *targetState) {
	if fingerprint == 0 {
		return
	}
	set, ok := c.running[fingerprint]
	if !ok {
		set = &copySet{}
		c.running[fingerprint] = set
	}
	set.target = t
	set.count++
}

// released notes the end of a copy.
func (c *copies) released(fingerprint uint64) {
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
func (c *copies) prove(fingerprint uint64) {
	if fingerprint != 0 {
		c.proved.Add(fingerprint, struct{}{})
	}
}
