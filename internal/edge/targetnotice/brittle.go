package targetnotice

import (
	"time"

	"corianderhitch/internal/edge/bootclock"
)

const (
	// minFullPause and maxFullPause bound how long a host sends nothing to a brittle target
	// that has rejected its request for want of room. The pause doubles with each rejection in a
	// row, and is longer by up to fullSpread of it, at random.
	minFullPause = time.Second
	maxFullPause = 4 * time.Second
	fullSpread   = 0.5
	// holdersPerSlot times the slots of a brittle target is how many hosts use it.
	holdersPerSlot = 2
)

// brittleness is what a target that fails after too many rejections has stated, and what this host
// knows of its room.
type brittleness struct {
	rejections int // a second beyond which it fails; 0 if it is not brittle
	slots      int
	fullUntil  bootclock.Instant
	pause      time.Duration // the last one; 0 after an accepted request
}

// ObserveBrittle records an answer that states that a target with so many slots is brittle, or, if
// rejections is 0, that it isn't. It reports whether that is new.
func (t *Tracker) ObserveBrittle(incarnation string, at bootclock.Instant, rejections, slots int) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.targets[incarnation]; rejections == 0 && (s == nil || s.brittle.rejections == 0) {
		return false
	}
	s := t.statements(incarnation, at)
	was := s.brittle.rejections
	switch {
	case rejections > 0 && was == 0:
		t.brittle.Add(1)
	case rejections == 0:
		t.brittle.Add(-1)
		s.brittle = brittleness{}
	}
	s.brittle.rejections, s.brittle.slots = rejections, max(1, slots)
	return was != rejections
}

// ObserveRoom records whether a brittle target had room for a request. draw is a random number in
// [0, 1). It returns how long this host pauses.
func (t *Tracker) ObserveRoom(incarnation string, at bootclock.Instant, accepted bool, draw float64) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.targets[incarnation]
	switch {
	case s == nil || s.brittle.rejections == 0:
		return 0
	case accepted:
		s.brittle.pause = 0
		return 0
	}
	b := &s.brittle
	if at >= b.fullUntil {
		b.pause = min(maxFullPause, max(minFullPause, 2*b.pause))
		b.fullUntil = at.Add(b.pause + time.Duration(draw*fullSpread*float64(b.pause)))
	}
	return b.fullUntil.Sub(at)
}

// AnyBrittle reports whether a target is brittle. It is cheap.
func (t *Tracker) AnyBrittle() bool { return t.brittle.Load() > 0 }

// IsBrittle reports whether an incarnation is brittle.
func (t *Tracker) IsBrittle(incarnation string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.targets[incarnation]
	return s != nil && s.brittle.rejections > 0
}

// hasRoom reports whether a brittle target is expected to have room for one more request of this
// host: all hosts together leave no more than its slots unanswered, so that none has to wait there.
func (t *Tracker) hasRoom(incarnation string, s *statements, now bootclock.Instant) bool {
	b := &s.brittle
	if b.rejections == 0 {
		return true
	}
	share := 1.0
	if t.Share != nil {
		share = t.Share(incarnation, holdersPerSlot*b.slots)
	}
	return now >= b.fullUntil && share > 0 && s.waiting < max(1, int(share*float64(b.slots)))
}

// EndWait records that a request that Admit allowed has been answered or lost.
func (t *Tracker) EndWait(incarnation string, use Use) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.targets[incarnation]; s != nil && use.occupies() && s.waiting > 0 {
		s.waiting--
	}
}

// FullLeft returns how long this host pauses for want of room, 0 if it doesn't.
func (t *Tracker) FullLeft(incarnation string, now bootclock.Instant) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.targets[incarnation]; s != nil {
		return max(0, s.brittle.fullUntil.Sub(now))
	}
	return 0
}

// Knows reports whether the incarnation has stated anything.
func (t *Tracker) Knows(incarnation string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.targets[incarnation] != nil
}
