package targets

import (
	"slices"
	"time"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/targetnotice"
)

// Serving returns the targets of a service that don't leave and whose failure domain is not
// evacuated, sorted by key, whether or not they want a pause from this host. The slice is shared;
// callers must not change it.
func (v *View) Serving(service string) []*Target {
	return keep(v.byService[service], func(t *Target) bool { return !t.Leaving && !v.evacuated.Blocks(t.Domain) })
}

// Only returns the view with those targets of a service whose failure domains are allowed, and without
// other services. It is the view itself if all are.
func (v *View) Only(service string, allowed func(domain string) bool) *View {
	all := v.byService[service]
	kept := keep(all, func(t *Target) bool { return allowed(t.Domain) })
	if len(kept) == len(all) {
		return v
	}
	only := *v
	only.byService = map[string][]*Target{service: kept}
	return &only
}

// Available returns the targets of a service that accept new requests from this host, sorted
// by key. The slice is shared; callers must not change it.
func (v *View) Available(service string) []*Target {
	now := bootclock.Now()
	if !v.stated.AnyRestricted(now) {
		return v.Serving(service)
	}
	return keep(v.Serving(service), func(t *Target) bool { return v.accepts(t.Key(), now) })
}

// maxShareless is how many requests wait for a cold target while this host has no share of what it
// bears.
const maxShareless = 4

// AcceptsWithin reports whether a target of the service accepts new requests from this host,
// does so after a trial that is in progress, or takes one more of them within a time, behind
// those of this host that wait already. It is one look at each target.
func (v *View) AcceptsWithin(service string, waiting int, within time.Duration) bool {
	now := bootclock.Now()
	rates, first := 0.0, time.Duration(-1) // of the targets whose limits are used up
	room := 0                              // slots of brittle targets, whose requests take turns
	for _, t := range v.Serving(service) {
		switch v.stated.Check(t.Key(), targetnotice.Request, now, now) {
		case targetnotice.Allowed, targetnotice.OnTrial:
			return true
		case targetnotice.Limited, targetnotice.Cold:
			left, rate := v.stated.PermitLeft(t.Key(), now)
			if rate == 0 { // other hosts hold all shares; of a cold target, this one may borrow some
				if waiting < maxShareless && left <= within && v.stated.IsCold(t.Key(), now) {
					return true
				}
				continue
			}
			rates += rate
			if first < 0 || left < first {
				first = left
			}
		case targetnotice.NoRoom:
			if v.stated.FullLeft(t.Key(), now) <= within {
				room += max(1, t.Slots)
			}
		}
	}
	if waiting < room {
		return true
	}
	return rates > 0 && first+time.Duration(float64(waiting)/rates*float64(time.Second)) <= within
}

// TakesTurns reports whether requests to a target of the service take turns at this host: it names
// a limit, is brittle or is cold.
func (v *View) TakesTurns(service string) bool {
	now := bootclock.Now()
	return (v.stated.AnyLimited() || v.stated.AnyBrittle() || v.stated.AnyCold(now)) && slices.ContainsFunc(v.Serving(service), func(t *Target) bool {
		return v.stated.NamesLimit(t.Key()) || v.stated.IsBrittle(t.Key()) || v.stated.IsCold(t.Key(), now)
	})
}

// Cold returns the incarnations of a service whose sends are bounded because they are cold, none if
// that is all that accept requests.
func (v *View) Cold(service string) []string {
	now := bootclock.Now()
	if !v.stated.AnyCold(now) {
		return nil
	}
	var cold []string
	warm := false
	for _, t := range v.Available(service) {
		if key := t.Key(); v.stated.IsCold(key, now) {
			cold = append(cold, key)
		} else {
			warm = true
		}
	}
	if !warm {
		return nil
	}
	return cold
}

// WithoutPermit returns the incarnations of a service that accept no request from this host only because
// they are cold and its share of what they bear is used up.
func (v *View) WithoutPermit(service string) []string {
	now := bootclock.Now()
	if !v.stated.AnyCold(now) {
		return nil
	}
	var keys []string
	for _, t := range v.Serving(service) {
		if key := t.Key(); v.stated.Check(key, targetnotice.Request, now, now) == targetnotice.Cold {
			keys = append(keys, key)
		}
	}
	return keys
}

// Unlimited returns the targets that Available returns and cold ones, without those that name a limit.
func (v *View) Unlimited(service string) []*Target {
	now := bootclock.Now()
	if !v.stated.AnyRestricted(now) {
		return v.Serving(service)
	}
	return keep(v.Serving(service), func(t *Target) bool {
		verdict := v.stated.Check(t.Key(), targetnotice.Request, now, now)
		return (verdict == targetnotice.Allowed || verdict == targetnotice.Cold) && !v.stated.NamesLimit(t.Key())
	})
}

// Refusing returns the incarnations of a service that have stated to this host that they
// leave or want a pause, or are on trial after one, and those of evacuated failure domains; other
// hosts may not know.
func (v *View) Refusing(service string) []string {
	var keys []string
	now := bootclock.Now()
	for _, t := range v.byService[service] {
		if key := t.Key(); !v.accepts(key, now) || v.evacuated.Blocks(t.Domain) {
			keys = append(keys, key)
		}
	}
	return keys
}

// WantsPause reports whether an incarnation wants a pause from this host, is on trial after one or
// is cold, so that it may accept requests later.
func (v *View) WantsPause(key string) bool {
	now := bootclock.Now()
	return v.stated.IsCold(key, now) || v.stated.PauseLeft(key, now) > 0 || v.stated.TrialLeft(key, now) > 0
}

// PausedForAny returns the incarnations among targets that want a pause from this host or, as far as this
// host has heard, from another one.
func (v *View) PausedForAny(among []*Target) (keys []string) {
	now := bootclock.Now()
	for _, t := range among {
		if key := t.Key(); v.stated.IsPausedForAny(key, now) {
			keys = append(keys, key)
		}
	}
	return keys
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
	if !v.stated.AnyRestricted(now) {
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

// typicalTurn is roughly how long requests occupy the room of a brittle target.
const typicalTurn = 100 * time.Millisecond

// Refusal is why no target of a service accepts requests from this host now.
type Refusal struct {
	Left    time.Duration // until the first of them does
	Limited bool          // that target names a limit or is brittle; otherwise it wants a pause
}

// Refusal returns why no target of a service accepts requests. It returns false if a target
// accepts them now, or if all targets leave. One that accepts a request now because the permits of a
// cold target allow it does not count: other requests of this host wait for them.
func (v *View) Refusal(service string) (Refusal, bool) {
	now := bootclock.Now()
	if !v.stated.AnyRestricted(now) {
		return Refusal{}, false
	}
	var first Refusal
	refused := false
	for _, t := range v.Serving(service) {
		key := t.Key()
		paused := max(v.stated.PauseLeft(key, now), v.stated.TrialLeft(key, now))
		limited, _ := v.stated.PermitLeft(key, now)
		limited = max(limited, v.stated.FullLeft(key, now))
		if limited == 0 && paused == 0 && v.stated.Check(key, targetnotice.Request, now, now) == targetnotice.NoRoom {
			limited = typicalTurn
		}
		left := max(paused, limited)
		if left == 0 && !v.stated.IsCold(key, now) {
			return Refusal{}, false
		}
		if !refused || left < first.Left {
			first, refused = Refusal{Left: left, Limited: limited >= paused}, true
		}
	}
	return first, refused
}

// InDomains returns the targets in failure domains, in no order.
func (v *View) InDomains(domains []string) []*Target {
	var in []*Target
	for _, t := range v.byKey {
		if slices.Contains(domains, t.Domain) {
			in = append(in, t)
		}
	}
	return in
}

// Get returns the target of an incarnation, or nil. It also finds leaving targets that
// were recently removed from the list.
func (v *View) Get(key string) *Target { return v.byKey[key] }

// Listed reports whether the platform's list has an entry of the incarnation. A target that has left
// is known for a while without one.
func (v *View) Listed(key string) bool {
	t := v.byKey[key]
	return t != nil && slices.ContainsFunc(v.byService[t.Service], func(listed *Target) bool { return listed.Key() == key })
}

// TakenOver reports whether the platform's list gives the address to another incarnation than key.
func (v *View) TakenOver(address, key string) bool {
	for _, ts := range v.byService {
		if slices.ContainsFunc(ts, func(t *Target) bool { return t.Address == address && t.Key() != key }) {
			return true
		}
	}
	return false
}

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
