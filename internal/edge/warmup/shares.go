package warmup

import (
	"time"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/rendezvous"
)

const (
	// departedCount is how long a host that has left the list counts. A host that is cut off from
	// the store loses its entry, but goes on sending by its last list.
	departedCount = 30 * time.Second
	// newcomerSpan is how long after a host's first list other hosts may not know of it: hosts read
	// their list every 5 s, and it may be 2 s old.
	newcomerSpan = 8 * time.Second
)

// shares decides which hosts hold shares of a target's rate, by rendezvous hashing among the hosts
// that this one knows. Tracker.mu guards it.
type shares struct {
	host     string
	lastSeen map[string]bootclock.Instant
	known    []string
	listedAt bootclock.Instant // when the hosts were first known; 0 before
	ranks    map[string]int    // of this host by incarnation, among known
	first    map[string]first  // hosts with shares by incarnation, among known
}

// first is the hosts that come first for a target, without this one.
type first struct {
	holders int
	others  []string
}

func newShares(host string) shares {
	return shares{host: host, lastSeen: make(map[string]bootclock.Instant), ranks: make(map[string]int), first: make(map[string]first)}
}

// observe records the hosts that are listed now; none if the list is not known.
func (s *shares) observe(hosts []string, now bootclock.Instant) {
	if len(hosts) == 0 {
		return
	}
	if s.listedAt == 0 {
		s.listedAt = max(1, now)
	}
	changed := false
	for _, host := range hosts {
		if _, ok := s.lastSeen[host]; !ok {
			changed = true
		}
		s.lastSeen[host] = now
	}
	for host, at := range s.lastSeen {
		if now.Sub(at) > departedCount {
			delete(s.lastSeen, host)
			changed = true
		}
	}
	if !changed {
		return
	}
	s.known = s.known[:0]
	for host := range s.lastSeen {
		s.known = append(s.known, host)
	}
	clear(s.ranks)
	clear(s.first)
}

// effective returns the division that applies to this host, which shares less while other hosts
// may not know of it.
func (s *shares) effective(d division, now bootclock.Instant) division {
	switch {
	case s.listedAt == 0:
		return division{}
	case now.Sub(s.listedAt) < newcomerSpan:
		return d.newcomers()
	}
	return d
}

// of returns this host's holding of what all hosts may send to a target.
func (s *shares) of(incarnation string, d division, now bootclock.Instant) holding {
	if s.listedAt == 0 {
		return holding{}
	}
	rank, ok := s.ranks[incarnation]
	if !ok {
		rank = rendezvous.Rank(incarnation, s.host, s.known)
		s.ranks[incarnation] = rank
	}
	return s.effective(d, now).of(rank, len(s.known))
}

// holders returns the hosts that hold shares of a target's rate, the first by rank first, without
// this one.
func (s *shares) holders(incarnation string, d division) []string {
	if f, ok := s.first[incarnation]; ok && f.holders == d.holders {
		return f.others
	}
	f := first{holders: d.holders}
	ranked := rendezvous.Ranked(incarnation, s.known)
	for _, host := range ranked[:min(d.holders, len(ranked))] {
		if host != s.host {
			f.others = append(f.others, host)
		}
	}
	s.first[incarnation] = f
	return f.others
}
