// Package targetnotice decides whether a target may be sent a request after it has stated in
// its answers to this host that it leaves, that it wants a pause, how many requests a second it
// takes from all hosts, or that too many rejections make it fail. Leaving and pauses are decided
// by the answers alone: a target list or a peer that calls the target ready doesn't change the
// decision, so that a host without its store and peers decides alike. Of limits, hosts also tell
// each other, and of pauses as a hint for the destinations of moves. It reads no clock and does no I/O.
package targetnotice

import (
	"sync"
	"sync/atomic"
	"time"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/targetspeed"
)

const (
	// maxPause bounds how long an answer pauses a target. A target whose incarnation has no
	// start time may restart unnoticed, and a faulty one may state any number. After the
	// bound its next answer pauses it again; until then it gets only the requests that are
	// sent before that answer arrives. Pauses up to the bound are kept in full.
	maxPause = 10 * time.Minute
	// maxContinuations is how many runs may continue at a target during its pause. They are
	// lost otherwise, and the platform allows two requests in a pause.
	maxContinuations = 2
	// spreadShare of a pause, at most maxSpread, is the range of the random delays after
	// which hosts use the target again.
	spreadShare = 0.25
	maxSpread   = time.Second
	// trialTimeout is how long after the first trial of a target that has not answered it
	// gets all requests: targets reject at once, and accepted requests may take long.
	trialTimeout = 150 * time.Millisecond
	// trialWindow is how long after a pause the first request is a trial. Later, none have
	// accumulated.
	trialWindow = 10 * time.Second
	// maxTargets bounds the memory for incarnations that no longer exist.
	maxTargets = 4096
)

// Use is what a target is needed for.
type Use int

// Uses of a target. The zero value is the one that the rules restrict most.
const (
	Request               Use = iota // a caller's request, also when it is sent again or hedged
	Continuation                     // a caller's request that continues from memory that the target holds
	Probe                            // a question about the target itself
	CopyDestination                  // to receive the memory of a run
	ForwardedRequest                 // a Request of another host, which takes it from its own shares of limits and room
	Control                          // a call for a run that executes at the target, such as moving it
	ForwardedContinuation            // a Continuation of another host, which takes it from its own share of what a cold target bears
)

// occupies reports whether a use takes from this host's share of the room at a target.
func (u Use) occupies() bool { return u == Request || u.continues() }

// continues reports whether a use continues from memory that the target holds.
func (u Use) continues() bool { return u == Continuation || u == ForwardedContinuation }

// warmsUp reports whether a use takes from this host's share of what a cold target bears.
func (u Use) warmsUp() bool { return u == Request || u == Continuation }

// ReachesEvacuated reports whether a use is also made of targets in evacuated failure domains: it
// brings no request there.
func (u Use) ReachesEvacuated() bool { return u == Control || u == Probe }

// ShowsRoom reports whether the target's answer to a use shows if it has room for requests.
func (u Use) ShowsRoom() bool { return u == Request || u.continues() || u == ForwardedRequest }

// Verdict states whether a target may be used, or why not.
type Verdict int

// Verdicts.
const (
	Allowed Verdict = iota
	Leaving
	Paused
	OnTrial // the pause has ended, and the answer to the first request is awaited
	Limited // this host's share of the limit that the target names is used up
	NoRoom  // the target is brittle, and one more request may find no room
	// Evacuated means that the operator has evacuated the target's failure domain, or that this host
	// does not know yet which are. No target states it; the gate decides.
	Evacuated
	Cold // this host's share of what a cold target bears is used up
)

// String returns the name of the verdict in logs and metrics.
func (v Verdict) String() string {
	return [...]string{"allowed", "leaving", "paused", "on_trial", "limited", "no_room", "evacuated", "cold"}[v]
}

// Tracker remembers what targets have stated, by incarnation. It is safe for concurrent use.
type Tracker struct {
	// Share returns this host's share of a target's limit, which at most the given number of
	// hosts use; nil for a host without others. It is called often and with a lock held. Set it
	// before the first use.
	Share func(incarnation string, holders int) float64
	// Warmup bounds the sends to cold targets; nil for no bound. Set it before the first use.
	Warmup Warmup

	mu      sync.Mutex
	targets map[string]*statements // guarded by mu
	// hints are the pauses that targets want from other hosts.
	hints map[targetspeed.ID]pauseHint // guarded by mu
	// pausesUntil is when the last pause that a target wants from this host ends.
	pausesUntil bootclock.Instant // guarded by mu
	// trialEnded is closed and replaced when a trial ends.
	trialEnded chan struct{} // guarded by mu
	// lastEnd is when the last restriction after a pause of any target ends, a
	// bootclock.Instant.
	lastEnd atomic.Int64
	// limitsUntil is until when other hosts are told of limits, a bootclock.Instant.
	limitsUntil atomic.Int64
	limited     atomic.Int64 // number of targets that name a limit
	brittle     atomic.Int64 // number of targets that are brittle
}

// Trial is the first request to a target after its pause. Others are sent only after the
// target has answered it.
type Trial struct{ incarnation string }

// statements is what one incarnation has stated.
type statements struct {
	leaving       bool
	leavingAt     bootclock.Instant // when the first such answer arrived
	pausedUntil   bootclock.Instant
	continuations int               // sent in the current pause
	openAt        bootclock.Instant // when requests need no trial any more
	trial         *Trial            // without an answer yet; nil if none
	limit         Limit
	limitedAt     bootclock.Instant // when the limit was last stated or lifted
	permits       permits           // accrue while a limit is stated
	sends         recentSends
	brittle       brittleness
	waiting       int // requests of this host without an answer, since the first statement
	updatedAt     bootclock.Instant
}

func (s *statements) paused(now bootclock.Instant) bool { return now < s.pausedUntil }

// onTrial reports whether the answer to a trial is awaited.
func (s *statements) onTrial(now bootclock.Instant) bool { return s.trial != nil && now < s.openAt }

// New returns an empty tracker.
func New() *Tracker {
	return &Tracker{targets: make(map[string]*statements), hints: make(map[targetspeed.ID]pauseHint), trialEnded: make(chan struct{})}
}

// ObserveLeaving records an answer, received at the given time, that states that the
// incarnation leaves. It reports whether this is the first one.
func (t *Tracker) ObserveLeaving(incarnation string, at bootclock.Instant) (first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.statements(incarnation, at)
	first = !s.leaving
	if first || at < s.leavingAt {
		s.leaving, s.leavingAt = true, at
	}
	return first
}

// ObservePause records an answer, received at the given time, that asks for a pause. draw is
// a random number in [0, 1) that places the end of the pause at this host. It returns the
// end, and whether the target was not paused before.
func (t *Tracker) ObservePause(incarnation string, at bootclock.Instant, pause time.Duration, draw float64) (until bootclock.Instant, began bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.statements(incarnation, at)
	pause = min(pause, maxPause)
	spread := time.Duration(draw * min(spreadShare*float64(pause), float64(maxSpread)))
	if began = !s.paused(at); began {
		s.continuations = 0
	}
	s.pausedUntil = max(s.pausedUntil, at.Add(pause+spread))
	t.pausesUntil = max(t.pausesUntil, s.pausedUntil)
	s.openAt = s.pausedUntil.Add(trialWindow)
	t.lastEnd.Store(max(t.lastEnd.Load(), int64(s.openAt)))
	t.endTrial(s)
	return s.pausedUntil, began
}

// Check returns whether an incarnation may be used now. arrived is when the caller's request
// arrived at this host; only requests and continuations have one.
func (t *Tracker) Check(incarnation string, use Use, arrived, now bootclock.Instant) Verdict {
	v := t.CheckWithPermit(incarnation, use, arrived, now)
	if v == Allowed && !t.mayWarmUp(incarnation, use, now) {
		v = Cold
	}
	return v
}

// CheckWithPermit is Check for a request that needs no part of this host's share of what a cold target
// bears: the hub has granted it a permit.
func (t *Tracker) CheckWithPermit(incarnation string, use Use, arrived, now bootclock.Instant) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.verdict(incarnation, t.targets[incarnation], use, arrived, now)
}

// Admit is Check for a send that follows immediately, which it counts. If the send is a trial,
// it is returned and EndTrial must be called.
func (t *Tracker) Admit(incarnation string, use Use, arrived, now bootclock.Instant) (Verdict, *Trial) {
	return t.admit(incarnation, use, arrived, now, false)
}

// AdmitWithPermit is Admit for a request as that of CheckWithPermit.
func (t *Tracker) AdmitWithPermit(incarnation string, use Use, arrived, now bootclock.Instant) (Verdict, *Trial) {
	return t.admit(incarnation, use, arrived, now, true)
}

func (t *Tracker) admit(incarnation string, use Use, arrived, now bootclock.Instant, permitted bool) (Verdict, *Trial) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.targets[incarnation]
	v := t.verdict(incarnation, s, use, arrived, now)
	if v == Allowed && !permitted && !t.takeWarmup(incarnation, use, now) {
		v = Cold
	}
	if v != Allowed || s == nil {
		return v, nil
	}
	if use.occupies() {
		s.waiting++
	}
	if s.limit.Stated && use.occupies() {
		s.sends.add(now)
		s.permits.accrue(now, t.hostRate(incarnation, s))
		s.permits.take()
	}
	switch {
	case use.continues() && s.paused(now):
		s.continuations++
	case use == Request && now < s.openAt:
		s.openAt = min(s.openAt, now.Add(trialTimeout))
		s.trial = &Trial{incarnation}
		return v, s.trial
	}
	return v, nil
}

// EndTrial ends a trial; nil stands for a send that is none. If the target has not answered,
// the next request is a trial. An answer that asks for a pause must have been observed before.
func (t *Tracker) EndTrial(trial *Trial, answered bool) {
	if trial == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.targets[trial.incarnation]
	if s == nil || s.trial != trial {
		return // the target has asked for another pause
	}
	if answered {
		s.openAt = 0
	}
	t.endTrial(s)
}

// endTrial ends the trial of a target, if there is one. Callers hold t.mu.
func (t *Tracker) endTrial(s *statements) {
	if s.trial != nil {
		s.trial = nil
		close(t.trialEnded)
		t.trialEnded = make(chan struct{})
	}
}

// TrialEnded returns a channel that is closed when a trial ends.
func (t *Tracker) TrialEnded() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.trialEnded
}

// TrialLeft returns how long the incarnation's trial may last, 0 if it isn't on trial.
func (t *Tracker) TrialLeft(incarnation string, now bootclock.Instant) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.targets[incarnation]; s != nil && s.onTrial(now) {
		return s.openAt.Sub(now)
	}
	return 0
}

// verdict decides by what the target has stated; s is nil if it has stated nothing. Callers
// hold t.mu.
func (t *Tracker) verdict(incarnation string, s *statements, use Use, arrived, now bootclock.Instant) Verdict {
	if s == nil || use == Control {
		return Allowed
	}
	if s.leaving {
		takenBefore := (use == Request || use == ForwardedRequest || use.continues()) && arrived <= s.leavingAt
		if !takenBefore {
			return Leaving
		}
	}
	if s.paused(now) && (!use.continues() || s.continuations >= maxContinuations) {
		return Paused
	}
	if (use == Request || use == ForwardedRequest) && s.onTrial(now) {
		return OnTrial
	}
	if (use == Request || use == Probe) && !t.hasPermit(incarnation, s, now) {
		return Limited
	}
	if use == Request && !t.hasRoom(incarnation, s, now) {
		return NoRoom
	}
	return Allowed
}

// AnyRestricted reports whether a target may be paused, on trial or limited. It is cheap.
func (t *Tracker) AnyRestricted(now bootclock.Instant) bool {
	return int64(now) < t.lastEnd.Load() || t.AnyLimited() || t.AnyBrittle() || t.AnyCold(now)
}

// PauseLeft returns how long the incarnation's pause lasts, 0 if it isn't paused.
func (t *Tracker) PauseLeft(incarnation string, now bootclock.Instant) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.targets[incarnation]; s != nil && s.paused(now) {
		return s.pausedUntil.Sub(now)
	}
	return 0
}

// IsLeaving reports whether the incarnation has stated that it leaves.
func (t *Tracker) IsLeaving(incarnation string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.targets[incarnation]
	return s != nil && s.leaving
}

// statements returns the record of an incarnation. Callers hold t.mu.
func (t *Tracker) statements(incarnation string, now bootclock.Instant) *statements {
	s := t.targets[incarnation]
	if s == nil {
		if len(t.targets) >= maxTargets {
			t.forgetOne(now)
		}
		s = &statements{}
		t.targets[incarnation] = s
	}
	s.updatedAt = max(s.updatedAt, now)
	return s
}

// forgetOne deletes a record that restricts nothing any more or, if there is none, the one
// that was updated first. Callers hold t.mu.
func (t *Tracker) forgetOne(now bootclock.Instant) {
	oldest := ""
	for incarnation, s := range t.targets {
		if !s.leaving && now >= s.openAt && !s.limit.Stated && s.brittle.rejections == 0 {
			delete(t.targets, incarnation)
			return
		}
		if oldest == "" || s.updatedAt < t.targets[oldest].updatedAt {
			oldest = incarnation
		}
	}
	if t.targets[oldest].limit.Stated {
		t.limited.Add(-1)
	}
	if t.targets[oldest].brittle.rejections > 0 {
		t.brittle.Add(-1)
	}
	delete(t.targets, oldest)
}
