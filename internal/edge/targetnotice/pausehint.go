package targetnotice

import (
	"time"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/targetspeed"
)

// maxPauseNotices bounds the pauses in one message, and the hints that are kept.
const maxPauseNotices = 64

// PauseNotice tells another host of a pause that a target wants. It binds only the host that the target
// told; others prefer different destinations for moves.
type PauseNotice struct {
	Target targetspeed.ID
	Millis uint32 // until the pause ends
	// Relayed states that the sender was not told by the target. Such a notice goes no further: two hubs
	// would lengthen the pause by the time on the way each time that they send it back.
	Relayed bool
}

// pauseHint is what other hosts were told of a target.
type pauseHint struct {
	until     bootclock.Instant
	firstHand bootclock.Instant // the same, by hosts that the target told
}

// PauseNotices returns the pauses that targets want from this host, of those incarnations that are wanted,
// and the hints that a hub passes on.
func (t *Tracker) PauseNotices(relays bool, wanted func(incarnation string) bool, now bootclock.Instant) []PauseNotice {
	own, relayed := t.pauses(now)
	var out []PauseNotice
	add := func(id targetspeed.ID, until bootclock.Instant, relayed bool) {
		if left := until.Sub(now).Milliseconds(); left > 0 && len(out) < maxPauseNotices {
			out = append(out, PauseNotice{Target: id, Millis: uint32(left), Relayed: relayed})
		}
	}
	for incarnation, until := range own {
		if wanted(incarnation) {
			add(targetspeed.IDOf(incarnation), until, false)
		}
	}
	if relays {
		for id, until := range relayed {
			add(id, until, true)
		}
	}
	return out
}

// pauses returns until when targets want a pause from this host, and from others that said so themselves.
func (t *Tracker) pauses(now bootclock.Instant) (own map[string]bootclock.Instant, others map[targetspeed.ID]bootclock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now < t.pausesUntil {
		own = make(map[string]bootclock.Instant)
		for incarnation, s := range t.targets {
			if s.paused(now) {
				own[incarnation] = s.pausedUntil
			}
		}
	}
	if len(t.hints) > 0 {
		others = make(map[targetspeed.ID]bootclock.Instant, len(t.hints))
		for id, h := range t.hints {
			others[id] = h.firstHand
		}
	}
	return own, others
}

// MergePauses records the pauses that targets want from other hosts.
func (t *Tracker) MergePauses(notices []PauseNotice, now bootclock.Instant) {
	if len(notices) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, h := range t.hints {
		if now >= h.until {
			delete(t.hints, id)
		}
	}
	for _, n := range notices {
		h, known := t.hints[n.Target]
		if !known && len(t.hints) >= maxPauseNotices {
			continue
		}
		until := now.Add(min(time.Duration(n.Millis)*time.Millisecond, maxPause))
		h.until = max(h.until, until)
		if !n.Relayed {
			h.firstHand = max(h.firstHand, until)
		}
		t.hints[n.Target] = h
	}
}

// IsPausedForAny reports whether the incarnation wants a pause from this host or, as far as this host has
// heard, from another one.
func (t *Tracker) IsPausedForAny(incarnation string, now bootclock.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.targets[incarnation]; s != nil && s.paused(now) {
		return true
	}
	return len(t.hints) > 0 && now < t.hints[targetspeed.IDOf(incarnation)].until
}
