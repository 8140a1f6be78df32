package targets

import (
	"slices"
	"time"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/targetnotice"
)

// Serving returns the targets of a service that don't leave, sorted by key, whether or not
// they want a pause from this host. The slice is shared; callers must not change it.
func (v *View) Serving(service string) []*Target {
	return keep(v.byService[service], func(t *Target) bool { return !t.Leaving })
}

// Available returns the targets of a service that accept new requests from this host, sorted
// by key. The slice is shared; callers must not change it.
func (v *View) Available(service string) []*Target {
	now := bootclock.Now()
	if !v.stated.AnyPaused(now) {
		return v.Serving(service)
	}
	return keep(v.Serving(service), func(t *Target) bool { return v.accepts(t.Key(), now) })
}

// AcceptsSoon reports whether a target of the service accepts new requests from this host, or
// does so after a trial that is in progress. Unlike Available and Trials together, it is one
// look at each target.
func (v *View) AcceptsSoon(service string) bool {
	now := bootclock.Now()
	return slices.ContainsFunc(v.Serving(service), func(t *Target) bool {
		verdict := v.stated.Check(t.Key(), targetnotice.Request, now, now)
		return verdict == targetnotice.Allowed || verdict == targetnotice.OnTrial
	})
}

// Refusing returns the incarnations of a service that have stated to this host that they
// leave or want a pause, or are on trial after one; other hosts may not know.
func (v *View) Refusing(service string) []string {
	var keys []string
	now := bootclock.Now()
	for _, t := range v.byService[service] {
		if key := t.Key(); !v.accepts(key, now) {
			keys = append(keys, key)
		}
	}
	return keys
}

// WantsPause reports whether an incarnation wants a pause from this host or is on trial after
// one, so that it may accept requests later.
func (v *View) WantsPause(key string) bool {
	now := bootclock.Now()
	return v.stated.PauseLeft(key, now) > 0 || v.stated.TrialLeft(key, now) > 0
}

// accepts reports whether an incarnation has stated nothing to this host that keeps a request
// which arrives now from it.
func (v *View) accepts(key string, now bootclock.Instant) bool {
	return v.stated.Check(key, targetnotice.Request, now, now) == targetnotice.Allowed
}

// Trials are targets on trial whose answers requests may wait for.
type Trials struct {
	Left  time.Duration   // until the first of them gets requests in any case; 0 if there are none
	Ended <-chan struct{} // closed when a trial ends
	Slots int             // requests that these targets process at once
}

// Trials returns the targets of a service that are on trial. There are none if another accepts
// requests.
func (v *View) Trials(service string) Trials {
	now := bootclock.Now()
	if !v.stated.AnyPaused(now) {
		return Trials{}
	}
	trials := Trials{Ended: v.stated.TrialEnded()} // read before the targets, so that no end is missed
	for _, t := range v.Serving(service) {
		key := t.Key()
		if v.accepts(key, now) {
			return Trials{}
		}
		if left := v.stated.TrialLeft(key, now); left > 0 {
			if trials.Left == 0 || left < trials.Left {
				trials.Left = left
			}
			trials.Slots += max(1, t.Slots)
		}
	}
	return trials
}

// PauseLeft returns the shortest time until a target of the service accepts requests again.
// It returns false if a target accepts them now, or if all targets leave.
func (v *View) PauseLeft(service string) (time.Duration, bool) {
	now := bootclock.Now()
	if !v.stated.AnyPaused(now) {
		return 0, false
	}
	shortest, paused := time.Duration(0), false
	for _, t := range v.Serving(service) {
		left := max(v.stated.PauseLeft(t.Key(), now), v.stated.TrialLeft(t.Key(), now))
		if left == 0 {
			return 0, false
		}
		if !paused || left < shortest {
			shortest, paused = left, true
		}
	}
	return shortest, paused
}

// Get returns the target of an incarnation, or nil. It also finds leaving targets that
// were recently removed from the list.
func (v *View) Get(key string) *Target { return v.byKey[key] }

// OthersAt returns the incarnations at an address except one.
func (v *View) OthersAt(address, except string) []string {
	var keys []string
	for key, t := range v.byKey {
		if t.Address == address && key != except {
			keys = append(keys, key)
		}
	}
	return keys
}

// Len returns the number of targets in the platform's list.
func (v *View) Len() int {
	n := 0
	for _, ts := range v.byService {
		n += len(ts)
	}
	return n
}

// keep returns the targets for which ok is true; all itself if that is all of them.
func keep(all []*Target, ok func(*Target) bool) []*Target {
	for i, t := range all {
		if ok(t) {
			continue
		}
		kept := append([]*Target(nil), all[:i]...)
		for _, t := range all[i+1:] {
			if ok(t) {
				kept = append(kept, t)
			}
		}
		return kept
	}
	return all
}
