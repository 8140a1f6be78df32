package warmup

import (
	"time"

	"corianderhitch/internal/edge/bootclock"
)

// HubPermitFor is how long a permit that the hub grants is valid, from when its host asked. A run that
// is sent later would arrive with those of the hub's later permits.
const HubPermitFor = 250 * time.Millisecond

// ObserveHub records whether this host is the first hub by its own list of hosts. It grants permits only
// when it has been for as long as other hosts may take to know of it, so that it rarely does so
// together with another host. It does nothing on nil.
func (t *Tracker) ObserveHub(first bool, now bootclock.Instant) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case first && t.hubFrom == 0:
		t.hubFrom = now.Add(newcomerSpan)
		t.log.Info("warmup: this host is the first hub and will grant permits for cold targets", "in_ms", newcomerSpan.Milliseconds(), "hosts", len(t.shares.known))
	case !first && t.hubFrom != 0:
		t.hubFrom = 0
		t.log.Info("warmup: this host is no longer the first hub", "hosts", len(t.shares.known))
	}
}

// HasHubPermit reports whether this host, as the first hub, may grant a permit to send a cold target one
// run. It is false on nil and for a target that is not cold by what this host knows.
func (t *Tracker) HasHubPermit(incarnation string, now bootclock.Instant) bool {
	return t.hubPermit(incarnation, 0, now)
}

// TakeHubPermit grants a permit to send a cold target one run within HubPermitFor, if there is one. A
// permit that is not used is lost.
func (t *Tracker) TakeHubPermit(incarnation string, now bootclock.Instant) bool {
	return t.hubPermit(incarnation, 1, now)
}

// hubPermit reports whether there is a hub permit, and takes the given number.
func (t *Tracker) hubPermit(incarnation string, taken float64, now bootclock.Instant) bool {
	if t == nil || !t.AnyCold(now) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s, rate := t.bounded(incarnation, now)
	if rate <= 0 || t.hubFrom == 0 || now < t.hubFrom || !t.placedByHub(s.service) {
		return false
	}
	if s.hubUpdatedAt < t.hubFrom { // an earlier hub may have granted permits until then
		s.hubPermits, s.hubUpdatedAt = 0, t.hubFrom
	}
	_, h := divideWithHub(rate, t.bound)
	s.hubPermits = min(h.burst, s.hubPermits+h.perSecond*max(0, now.Sub(s.hubUpdatedAt).Seconds()))
	s.hubUpdatedAt = max(s.hubUpdatedAt, now)
	if s.hubPermits < 1 {
		return false
	}
	s.hubPermits -= taken
	return true
}

// division returns what all hosts share of a service's rate.
func (t *Tracker) division(service string, rate float64) division {
	if !t.placedByHub(service) {
		return divide(rate, t.bound)
	}
	hosts, _ := divideWithHub(rate, t.bound)
	return hosts
}

func (t *Tracker) placedByHub(service string) bool {
	return t.PlacedByHub != nil && t.PlacedByHub(service)
}
