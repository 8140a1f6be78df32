// Package limitshare divides what all hosts together may send a target among the hosts, without
// asking them.
package limitshare

import (
	"sync"
	"time"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/fleetsize"
	"corianderhitch/internal/rendezvous"
)

const (
	// fleetSizeSpan is how long a number of hosts counts after a smaller one is known: until
	// the entries of live hosts are back after an outage of the store.
	fleetSizeSpan = 12 * time.Second
	// limitHoldersPeriod is how often the hosts that use a limit are chosen anew.
	limitHoldersPeriod = time.Second
)

// Shares divides the limits of targets among the hosts. Those that use the limit of a
// target are chosen by rendezvous hashing: hosts with different lists of hosts disagree about a
// few of them at most. It is safe for concurrent use.
type Shares struct {
	host  string
	hosts func() []string
	size  *fleetsize.Window

	mu       sync.Mutex
	known    []string          // guarded by mu; of hosts, as of rankedAt
	ranks    map[string]int    // guarded by mu; of this host for each target, among known
	rankedAt bootclock.Instant // guarded by mu; 0 before the first time
}

// New returns the shares of a host. hosts returns the names of all hosts, none if they are not known
// yet; it is called with a lock held.
func New(host string, hosts func() []string) *Shares {
	return &Shares{host: host, hosts: hosts, size: fleetsize.NewWindow(fleetSizeSpan)}
}

// ObserveSize records how many hosts are known now, 0 if that is not known.
func (l *Shares) ObserveSize(now bootclock.Instant, hosts int) { l.size.Observe(now, hosts) }

// Of returns this host's share of a target's limit, which at most the given number of hosts use.
func (l *Shares) Of(incarnation string, holders int) float64 {
	now := bootclock.Now()
	size := l.size.Largest(now)
	if size == 0 || l.rank(incarnation, now) >= holders {
		return 0 // not known, or other hosts use the limit
	}
	return 1 / float64(min(holders, size))
}

// rank returns how many other hosts come before this one for a target.
func (l *Shares) rank(incarnation string, now bootclock.Instant) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rankedAt == 0 || now.Sub(l.rankedAt) >= limitHoldersPeriod {
		l.known, l.ranks, l.rankedAt = l.hosts(), make(map[string]int), now
	}
	rank, ok := l.ranks[incarnation]
	if !ok {
		rank = rendezvous.Rank(incarnation, l.host, l.known)
		l.ranks[incarnation] = rank
	}
	return rank
}
