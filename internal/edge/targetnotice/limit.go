package targetnotice

import (
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
	t.setLimit(s, l)
	return change
}

// setLimit replaces the limit of a target. Callers hold t.mu.
func (t *Tracker) setLimit(s *statements, l Limit) {
	switch {
	case l.Stated && !s.limit.Stated:
		t.limited.Add(1)
	case !l.Stated && s.limit.Stated:
		t.limited.Add(-1)
	}
	s.limit = l
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
