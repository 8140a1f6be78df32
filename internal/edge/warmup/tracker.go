package warmup

import (
	"log/slog"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/node"
	"corianderhitch/internal/platform"
)

const (
	// maxTargets bounds the memory for incarnations that no longer exist.
	maxTargets = 4096
	// toldFor is how long after an answer other hosts are told that a target is cold. It covers
	// several syncs of the largest fleets.
	toldFor = 3 * time.Second
	// maxDelay is how long a notice may be on its way: longer than calls between hosts take.
	maxDelay = 500 * time.Millisecond
	// maxNotices bounds the targets in one message.
	maxNotices = 256
	// maxCold bounds what an answer or another host states.
	maxCold = time.Hour
	// maxLines of logLinesSpan are logged of targets that turn cold or warm.
	maxLines     = 64
	logLinesSpan = 10 * time.Second
)

// Notice tells another host that a target is cold.
type Notice struct {
	Incarnation string
	Left        time.Duration // until the target is warm, when the notice was written
}

// Tracker knows which targets are cold, and accounts what this host may send to them. It is safe
// for concurrent use.
type Tracker struct {
	log   *slog.Logger
	bound node.ColdBound
	// service returns the rate of a service's cold targets, 0 for no bound, and how long its
	// targets are cold after their start, 0 if that is not stated.
	service func(name string) (rate float64, coldFor time.Duration)
	// PlacedByHub reports whether a hub places the runs of a service, and grants a part of what its cold
	// targets bear; nil for no service. It is called with a lock held. Set it before the first use.
	PlacedByHub func(service string) bool

	mu       sync.Mutex
	shares   shares             // guarded by mu
	targets  map[string]*target // guarded by mu; by incarnation
	hubFrom  bootclock.Instant  // guarded by mu; from when this host grants hub permits, 0 for never
	lines    int                // guarded by mu; logged since linesAt
	linesAt  bootclock.Instant  // guarded by mu
	coldEnds atomic.Int64       // when the last cold target is warm, a bootclock.Instant
	coldNow  atomic.Int64       // number of cold targets
}

// New returns the tracker of a host. service returns what the configuration states of a service; it
// is called with a lock held.
func New(log *slog.Logger, host string, bound node.ColdBound, service func(name string) (rate float64, coldFor time.Duration)) *Tracker {
	return &Tracker{log: log, bound: bound, service: service, shares: newShares(host), targets: make(map[string]*target)}
}

// AnyCold reports whether a target may be cold. It is cheap.
func (t *Tracker) AnyCold(now bootclock.Instant) bool { return int64(now) < t.coldEnds.Load() }

// Count returns the number of cold targets, 0 on nil.
func (t *Tracker) Count() int {
	if t == nil {
		return 0
	}
	return int(t.coldNow.Load())
}

// Refresh records the hosts that are listed now, none if that is not known, and notes which targets
// have become warm.
func (t *Tracker) Refresh(hosts []string, now bootclock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shares.observe(hosts, now)
	var last bootclock.Instant
	for incarnation, s := range t.targets {
		t.note(incarnation, s, "time", now)
		last = max(last, s.until())
	}
	t.coldEnds.Store(int64(last)) // a later statement may have ended a time that was stated before
}

// ObserveEntry records that an entry of the target list has been read. An entry that was read before
// changes nothing.
func (t *Tracker) ObserveEntry(incarnation, service string, revision platform.Revision, left time.Duration, now bootclock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.targets[incarnation]
	switch {
	case s == nil:
		s = t.add(incarnation, now)
		s.permits = rand.Float64() // hosts that learn of a target together don't send together
	case s.revision == revision:
		s.seenAt = now
		return
	default:
		t.note(incarnation, s, "time", now)
	}
	s.service, s.revision, s.seenAt = service, revision, now
	if _, coldFor := t.service(service); coldFor > 0 {
		left = min(left, coldFor)
	}
	if s.byEntry = 0; revision > s.markedAt {
		s.byMark = 0
	}
	if left > 0 {
		s.byEntry = now.Add(left)
	}
	t.note(incarnation, s, "entry", now)
}

// ObserveAnswer records that an answer of the target states how long it is cold, 0 if it is warm. It
// does nothing on nil.
func (t *Tracker) ObserveAnswer(incarnation string, left time.Duration, now bootclock.Instant) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.targets[incarnation]
	if s == nil || left <= 0 && s.byAnswer == 0 {
		return
	}
	t.note(incarnation, s, "time", now)
	s.byAnswer = 0
	if left > 0 {
		s.byAnswer, s.toldAt = now.Add(min(left, maxCold)), now
	}
	t.note(incarnation, s, "answer", now)
}

// MarkCold records that a target counts as cold until an instant, unless an entry that was written
// after the revision says otherwise. It does nothing for an incarnation that is not in the list, and
// on nil, which stands for a deployment that bounds nothing.
func (t *Tracker) MarkCold(incarnation string, until bootclock.Instant, revision platform.Revision, now bootclock.Instant) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.targets[incarnation]; s != nil {
		t.note(incarnation, s, "time", now)
		s.byMark, s.markedAt = max(s.byMark, until), max(s.markedAt, revision)
		t.note(incarnation, s, "mark", now)
	}
}

// Notices returns the cold targets of which other hosts are told: those that have lately said so in
// an answer to this host. The list tells them of the others.
func (t *Tracker) Notices(now bootclock.Instant) []Notice {
	if t == nil || !t.AnyCold(now) {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Notice
	for incarnation, s := range t.targets {
		if s.toldAt != 0 && now.Sub(s.toldAt) <= toldFor && s.byAnswer > now && len(out) < maxNotices {
			out = append(out, Notice{Incarnation: incarnation, Left: s.byAnswer.Sub(now)})
		}
	}
	return out
}

// Merge records what another host has heard from targets.
func (t *Tracker) Merge(notices []Notice, now bootclock.Instant) {
	if t == nil || len(notices) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range notices {
		s := t.targets[n.Incarnation]
		if s == nil || n.Left <= 0 {
			continue
		}
		t.note(n.Incarnation, s, "time", now)
		// Each way between hosts adds to what is left. Notices that go back and forth must not make
		// each other last.
		until := now.Add(min(n.Left, maxCold))
		if s.byAnswer <= now || until.Sub(s.byAnswer) > maxDelay {
			s.toldAt = now
		}
		s.byAnswer = max(s.byAnswer, until)
		t.note(n.Incarnation, s, "peer", now)
	}
}

// IsCold reports whether sends to a target are bounded now because it is cold.
func (t *Tracker) IsCold(incarnation string, now bootclock.Instant) bool {
	if !t.AnyCold(now) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	_, rate := t.bounded(incarnation, now)
	return rate > 0
}

// Available reports whether this host may send a target one more request now.
func (t *Tracker) Available(incarnation string, now bootclock.Instant) bool {
	left, _ := t.Left(incarnation, false, now)
	return left <= 0
}

// Left returns how long it takes until this host may send a target one more request, or a run that
// continues from the target's memory, and the rate at which it may send; 0 and 0 if sends are not
// bounded.
func (t *Tracker) Left(incarnation string, continues bool, now bootclock.Instant) (left time.Duration, perSecond float64) {
	if !t.AnyCold(now) {
		return 0, 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s, rate := t.bounded(incarnation, now)
	if rate <= 0 {
		return 0, 0
	}
	h := t.holdingOf(incarnation, s, rate, now)
	s.accrue(now, h)
	left = s.wait(continues, now, h)
	if left > 0 {
		s.wantedAt = now
	}
	if left > 0 && continues {
		s.keptUntil = now.Add(keptForRuns)
	}
	return left, h.perSecond
}

// Take takes the permit for a send that follows at once, if there is one. It returns true for a
// target whose sends are not bounded.
func (t *Tracker) Take(incarnation string, continues bool, now bootclock.Instant) bool {
	if !t.AnyCold(now) {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s, rate := t.bounded(incarnation, now)
	if rate <= 0 {
		return true
	}
	h := t.holdingOf(incarnation, s, rate, now)
	s.accrue(now, h)
	if s.wait(continues, now, h) > 0 {
		return false
	}
	s.permits--
	s.sentAt = now
	if continues {
		s.keptUntil = 0
	}
	return true
}

// bounded returns a target and the rate that bounds the sends to it, 0 if none does. Callers hold
// t.mu.
func (t *Tracker) bounded(incarnation string, now bootclock.Instant) (*target, float64) {
	s := t.targets[incarnation]
	if s == nil || now >= s.until() {
		return nil, 0
	}
	rate, _ := t.service(s.service)
	return s, rate
}

// holdingOf returns what this host may send: by its own share, unless that is lent, and by those of
// other hosts. Callers hold t.mu.
func (t *Tracker) holdingOf(incarnation string, s *target, rate float64, now bootclock.Instant) holding {
	h, _ := s.borrowed(now)
	if now >= s.lentUntil {
		own := t.shares.of(incarnation, t.division(s.service, rate), now)
		h.perSecond += own.perSecond
		h.burst += own.burst
	}
	return h
}

// add adds an incarnation. Callers hold t.mu.
func (t *Tracker) add(incarnation string, now bootclock.Instant) *target {
	if len(t.targets) >= maxTargets {
		oldest := ""
		for key, s := range t.targets {
			if oldest == "" || s.seenAt < t.targets[oldest].seenAt {
				oldest = key
			}
		}
		if t.targets[oldest].coldSince != 0 {
			t.coldNow.Add(-1)
		}
		delete(t.targets, oldest)
	}
	s := &target{seenAt: now, updatedAt: now, asked: rand.IntN(maxTargets)} // hosts begin with different lenders
	s.hubPermits, s.hubUpdatedAt = math.MaxFloat64, now                     // as many as may be saved up: none were granted
	t.targets[incarnation] = s
	return s
}

// note logs that a target has become cold or warm, and counts it. It is called before each change
// of until when a target is cold, too: one that was warm for a moment has no permits left from
// before. Callers hold t.mu.
func (t *Tracker) note(incarnation string, s *target, source string, now bootclock.Instant) {
	until := s.until()
	t.coldEnds.Store(max(t.coldEnds.Load(), int64(until)))
	switch cold := now < until; {
	case cold && s.coldSince == 0:
		t.coldNow.Add(1)
		if s.sentAt != 0 || s.updatedAt != now {
			s.permits, s.hubPermits = 0, 0 // what it was sent while it was warm may have arrived in this second
		}
		s.coldSince, s.updatedAt, s.hubUpdatedAt = now, now, now
		rate, _ := t.service(s.service)
		h := holding{}
		if rate > 0 {
			h = t.holdingOf(incarnation, s, rate, now)
		}
		t.logLine("warmup: target is cold", now, "target", incarnation, "service", s.service, "source", source, "left_ms", until.Sub(now).Milliseconds(),
			"rate", rate, "share_per_second", h.perSecond, "hosts", len(t.shares.known))
	case !cold && s.coldSince != 0:
		t.coldNow.Add(-1)
		t.logLine("warmup: target is warm", now, "target", incarnation, "service", s.service, "source", source, "cold_ms", now.Sub(s.coldSince).Milliseconds())
		s.coldSince = 0
	}
}

// logLine logs a line unless too many were logged lately. Callers hold t.mu.
func (t *Tracker) logLine(message string, now bootclock.Instant, attributes ...any) {
	if now.Sub(t.linesAt) >= logLinesSpan {
		if t.lines > maxLines {
			t.log.Info("warmup: lines about cold targets were left out", "lines", t.lines-maxLines)
		}
		t.lines, t.linesAt = 0, now
	}
	if t.lines++; t.lines <= maxLines {
		t.log.Info(message, attributes...)
	}
}
