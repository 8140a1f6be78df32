package waitlist

import (
	"time"

	"corianderhitch/internal/edge/bootclock"
)

const (
	// maxPromises bounds the promises that are remembered.
	maxPromises = 8192
	// promiseLifetime is how long a promise is remembered. Callers come back after at most a
	// third of their time-out.
	promiseLifetime = 30 * time.Second
	// promiseTolerance is how much sooner than told a caller may come back.
	promiseTolerance = 20 * time.Millisecond
)

// promise is when a rejected request was told to come back.
type promise struct {
	fingerprint string
	made, at    bootclock.Instant
	place       bool // it gets a place then; false if it came back sooner or was told to stay away
	// shared states that several requests at once had the fingerprint, so that it does not tell
	// callers apart.
	shared bool
}

// promises remembers promises by fingerprint.
type promises struct {
	byPrint map[string]*promise
	inOrder []*promise // by made
}

// isFull reports whether no more promises can be remembered.
func (p *promises) isFull() bool { return len(p.inOrder) >= maxPromises }

// add remembers when the request may come back, and whether a place is kept for it.
func (p *promises) add(now, at bootclock.Instant, fingerprint string, place bool) {
	if p.isFull() || fingerprint == "" || p.isShared(fingerprint) {
		return
	}
	made := &promise{fingerprint: fingerprint, made: now, at: at, place: place}
	p.byPrint[fingerprint] = made
	p.inOrder = append(p.inOrder, made)
}

// share remembers that several requests at once have a fingerprint.
func (p *promises) share(now bootclock.Instant, fingerprint string) {
	p.add(now, now, fingerprint, false)
	if made := p.byPrint[fingerprint]; made != nil {
		made.shared = true
	}
}

func (p *promises) isShared(fingerprint string) bool {
	made := p.byPrint[fingerprint]
	return made != nil && made.shared
}

// expire forgets old promises.
func (p *promises) expire(now bootclock.Instant) {
	for len(p.inOrder) > 0 && now.Sub(p.inOrder[0].made) > promiseLifetime {
		if old := p.inOrder[0]; p.byPrint[old.fingerprint] == old {
			delete(p.byPrint, old.fingerprint)
		}
		p.inOrder = p.inOrder[1:]
	}
}

// class returns the class of a request with a fingerprint, and whether it comes back as told,
// which uses up the promise. A caller that comes back too soon loses its place.
func (p *promises) class(now bootclock.Instant, fingerprint string) (class Class, kept bool) {
	made := p.byPrint[fingerprint]
	switch {
	case made == nil || made.shared || fingerprint == "":
		return Newcomer, false
	case made.at.Sub(now) > promiseTolerance:
		made.place = false
		return Early, false
	}
	delete(p.byPrint, fingerprint)
	if made.place {
		return Due, true
	}
	return Newcomer, false
}
