package targetnotice

import (
	"math/rand/v2"
	"time"

	"corianderhitch/internal/edge/bootclock"
)

// Limit is how many requests a second a target takes from all hosts together.
type Limit struct {
	Stated    bool
	PerSecond float64
}

// LimitChange is what an answer changed of a target's limit.
type LimitChange struct {
	Changed      bool
	Previous     Limit
	SentRecently int // requests that this host sent the target within sendWindow
}

const (
	// limitUse is the share of a limit that the hosts use.
	limitUse = 0.9
	// minFleetRate is how many requests a second all hosts together send a target whatever the
	// limit that it names: only its answers show that the limit has changed.
	minFleetRate = 0.25
	// holdersPerRequest times the limit, and minHolders, is how many hosts may use it.
	holdersPerRequest = 2
	minHolders        = 3
	// limitAnnounced is how long after a target's last statement a host tells others of it.
	limitAnnounced = 3 * time.Second
	// maxLimitNotices bounds the statements in one message.
	maxLimitNotices = 256
)

// LimitNotice tells another host of the limit that a target has stated or lifted.
type LimitNotice struct {
	Incarnation string
	Limit       Limit
	Age         time.Duration // since the answer arrived
}

// holders returns how many hosts at most may use a limit. Each may send one request at any
// moment, so that many hosts together could exceed a low limit.
func (l Limit) holders() int { return int(l.PerSecond*holdersPerRequest) + minHolders }

// hostRate returns how many requests a second this host may send a target with a limit.
func (t *Tracker) hostRate(incarnation string, s *statements) float64 {
	share := 1.0
	if t.Share != nil {
		share = t.Share(incarnation, s.limit.holders())
	}
	return max(limitUse*s.limit.PerSecond, minFleetRate) * share
}

// hasPermit reports whether this host may send a request to a target now. Callers hold t.mu.
func (t *Tracker) hasPermit(incarnation string, s *statements, now bootclock.Instant) bool {
	if !s.limit.Stated {
		return true
	}
	s.permits.accrue(now, t.hostRate(incarnation, s))
	return s.permits.available()
}

// PermitLeft returns how long it takes until this host may send the incarnation a request,
// and the rate at which it may send; 0 if it names no limit and its sends are not bounded because it
// is cold.
func (t *Tracker) PermitLeft(incarnation string, now bootclock.Instant) (left time.Duration, rate float64) {
	left, rate = t.limitLeft(incarnation, now)
	if !t.AnyCold(now) {
		return left, rate
	}
	coldLeft, coldRate := t.Warmup.Left(incarnation, false, now)
	if rate == 0 || coldLeft > 0 && coldRate == 0 || coldRate > 0 && coldRate < rate {
		rate = coldRate
	}
	return max(left, coldLeft), rate
}

// limitLeft is PermitLeft by the limit that the incarnation names.
func (t *Tracker) limitLeft(incarnation string, now bootclock.Instant) (left time.Duration, rate float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.targets[incarnation]
	if s == nil || !s.limit.Stated {
		return 0, 0
	}
	rate = t.hostRate(incarnation, s)
	s.permits.accrue(now, rate)
	return s.permits.wait(rate), rate
}

// NamesLimit reports whether the incarnation names a limit.
func (t *Tracker) NamesLimit(incarnation string) bool {
	if !t.AnyLimited() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.targets[incarnation]
	return s != nil && s.limit.Stated
}

// LimitNotices returns what targets have lately stated of their limits, for other hosts.
func (t *Tracker) LimitNotices(now bootclock.Instant) []LimitNotice {
	if int64(now) > t.limitsUntil.Load() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []LimitNotice
	for incarnation, s := range t.targets {
		if s.limitedAt != 0 && now.Sub(s.limitedAt) <= limitAnnounced && len(out) < maxLimitNotices {
			out = append(out, LimitNotice{Incarnation: incarnation, Limit: s.limit, Age: now.Sub(s.limitedAt)})
		}
	}
	return out
}

// MergeLimits records what another host knows of limits, where it is newer, and returns the
// notices that changed something.
func (t *Tracker) MergeLimits(notices []LimitNotice, now bootclock.Instant) []LimitNotice {
	if len(notices) == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed []LimitNotice
	for _, n := range notices {
		at := now.Add(-n.Age)
		s := t.targets[n.Incarnation]
		if s == nil && !n.Limit.Stated || s != nil && at <= s.limitedAt {
			continue
		}
		s = t.statements(n.Incarnation, now)
		if s.limit != n.Limit {
			changed = append(changed, n)
		}
		t.setLimit(s, at, n.Limit)
	}
	return changed
}

// ObserveLimit records an answer, received at the given time, that names a limit or, if l is
// not stated, none.
func (t *Tracker) ObserveLimit(incarnation string, at bootclock.Instant, l Limit) LimitChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.targets[incarnation]; !l.Stated && (s == nil || !s.limit.Stated) {
		return LimitChange{}
	}
	s := t.statements(incarnation, at)
	change := LimitChange{Changed: s.limit != l, Previous: s.limit, SentRecently: s.sends.count(at)}
	t.setLimit(s, at, l)
	return change
}

// setLimit replaces the limit of a target. Callers hold t.mu.
func (t *Tracker) setLimit(s *statements, at bootclock.Instant, l Limit) {
	switch {
	case l.Stated && !s.limit.Stated:
		t.limited.Add(1)
		s.permits = newPermits(at, rand.Float64())
	case !l.Stated && s.limit.Stated:
		t.limited.Add(-1)
	}
	s.limit, s.limitedAt = l, at
	t.limitsUntil.Store(max(t.limitsUntil.Load(), int64(at.Add(limitAnnounced))))
}

// AnyLimited reports whether a target names a limit. It is cheap.
func (t *Tracker) AnyLimited() bool { return t.limited.Load() > 0 }

// sendWindow is the time over which sends to a target with a limit are counted for logs.
const sendWindow = 4 * time.Second

// recentSends counts the sends of the last sendWindow, by second.
type recentSends struct {
	seconds [5]int64
	counts  [5]int
}

func (r *recentSends) add(now bootclock.Instant) {
	second := int64(time.Duration(now) / time.Second)
	i := second % int64(len(r.counts))
	if r.seconds[i] != second {
		r.seconds[i], r.counts[i] = second, 0
	}
	r.counts[i]++
}

func (r *recentSends) count(now bootclock.Instant) int {
	total := 0
	for i, second := range r.seconds {
		if time.Duration(now)-time.Duration(second)*time.Second <= sendWindow {
			total += r.counts[i]
		}
	}
	return total
}
