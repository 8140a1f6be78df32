// Package inflight tracks the load in flight at each target: exactly for this
// host's own runs, and as last reported for those of the other hosts. Placement
// relies on these counts because the load reports of engines are about half a
// second old.
package inflight

import (
	"sync"
	"time"

	"corianderhitch/internal/edge/bootclock"
)

// reportLifetime is how long the last load report of a host counts. A host that
// reports nothing for longer has most likely crashed, and its runs have ended.
const reportLifetime = 3 * time.Second

// Load is the load in flight at a target.
type Load struct {
	Runs   int
	Tokens int // memory that the runs are expected to hold when they end, in tokens
	Held   int // memory that they hold now, approximately, in tokens
	Unread int // prompt tokens of runs that have not produced their first event
}

// Plus returns the sum of two loads.
func (l Load) Plus(other Load) Load {
	return Load{Runs: l.Runs + other.Runs, Tokens: l.Tokens + other.Tokens, Held: l.Held + other.Held, Unread: l.Unread + other.Unread}
}

// Minus returns the difference of two loads.
func (l Load) Minus(other Load) Load {
	return l.Plus(Load{Runs: -other.Runs, Tokens: -other.Tokens, Held: -other.Held, Unread: -other.Unread})
}

// loadReport holds the loads that another host reported.
type loadReport struct {
	loads      map[string]Load // by incarnation of the target
	receivedAt bootclock.Instant
}

// isFresh reports whether a report was received within reportLifetime. The clock starts
// when the host boots, at 0, which therefore stands for no report.
func (r *loadReport) isFresh(now bootclock.Instant) bool {
	return r.receivedAt != 0 && now.Sub(r.receivedAt) <= reportLifetime
}

// Table holds the load in flight at all targets, by incarnation of the target. It
// is safe for concurrent use.
type Table struct {
	host string

	mu           sync.Mutex
	own          map[string]Load            // guarded by mu; of this host's runs
	peers        map[string]loadReport      // guarded by mu; by reporting host
	fleet        loadReport                 // guarded by mu; of all other hosts together, reported by a hub
	byHost       map[string]map[string]Load // guarded by mu; by leaving target, then host, reported by a hub
	peerTotals   map[string]Load            // guarded by mu; sum of peers, updated incrementally because a hub reads it for each run
	reservations []reservation              // guarded by mu; not in the loads of their hosts yet
	changed      chan struct{}              // guarded by mu; closed and replaced when a load may have decreased
}

// New returns the empty table of a host.
func New(host string) *Table {
	return &Table{host: host, own: make(map[string]Load), peers: make(map[string]loadReport), peerTotals: make(map[string]Load), changed: make(chan struct{})}
}

// Add adds to this host's own load at a target.
func (t *Table) Add(target string, l Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setOwn(target, t.own[target].Plus(l))
}

// Remove subtracts from this host's own load at a target.
func (t *Table) Remove(target string, l Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setOwn(target, t.own[target].Minus(l))
	t.notifyChanged()
}

// setOwn replaces this host's own load at a target. Callers hold t.mu.
func (t *Table) setOwn(target string, l Load) {
	if l == (Load{}) {
		delete(t.own, target)
		return
	}
	t.own[target] = l
}

// reservation is the load of a run that this host, as a hub, placed for another
// host.
type reservation struct {
	host, target string
	load         Load
	at           bootclock.Instant
}

// reservationDelay is how long after a reservation the host's reports may still
// lack it: until the reply has arrived and the run is in that host's table.
const reservationDelay = 30 * time.Millisecond

// Reserve counts load that another host is about to add to a target, until that
// host's reports include it.
func (t *Table) Reserve(host, target string, l Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reservations = append(t.reservations, reservation{host: host, target: target, load: l, at: bootclock.Now()})
}

// expireReservations drops the reservations that a new report of the host
// includes, and those that no report has confirmed within reportLifetime. Callers
// hold t.mu.
func (t *Table) expireReservations(host string, now bootclock.Instant) {
	kept := t.reservations[:0]
	for _, r := range t.reservations {
		age := now.Sub(r.at)
		if age > reportLifetime || (r.host == host && age > reservationDelay) {
			continue
		}
		kept = append(kept, r)
	}
	t.reservations = kept
}

// SetPeerLoads replaces the loads that another host reported. The table keeps the
// map.
func (t *Table) SetPeerLoads(host string, loads map[string]Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := bootclock.Now()
	t.expireReservations(host, now)
	t.expirePeers(now)
	t.updateTotals(t.peers[host].loads, loads)
	t.peers[host] = loadReport{loads: loads, receivedAt: now}
	t.notifyChanged()
}

// updateTotals replaces the loads of one host in peerTotals. Callers hold t.mu.
func (t *Table) updateTotals(before, after map[string]Load) {
	for target, l := range before {
		if l = t.peerTotals[target].Minus(l); l == (Load{}) {
			delete(t.peerTotals, target)
		} else {
			t.peerTotals[target] = l
		}
	}
	for target, l := range after {
		t.peerTotals[target] = t.peerTotals[target].Plus(l)
	}
}

// expirePeers drops the reports older than reportLifetime. Callers hold t.mu.
func (t *Table) expirePeers(now bootclock.Instant) {
	for host, r := range t.peers {
		if !r.isFresh(now) {
			t.updateTotals(r.loads, nil)
			delete(t.peers, host)
		}
	}
}

// SetLoadsByHost replaces the loads of leaving targets by host, as a hub reported
// them.
func (t *Table) SetLoadsByHost(byHost map[string]map[string]Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byHost = byHost
}

// SetFleetLoads replaces the loads of all other hosts together, as a hub reported
// them.
func (t *Table) SetFleetLoads(loads map[string]Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fleet = loadReport{loads: loads, receivedAt: bootclock.Now()}
	t.notifyChanged()
}

// TotalLoad returns the load of all hosts at a target. A fresh report of a hub
// takes precedence over those of single hosts, because it covers all of them.
func (t *Table) TotalLoad(target string) Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := bootclock.Now()
	if t.fleet.isFresh(now) {
		return t.own[target].Plus(t.fleet.loads[target])
	}
	t.expirePeers(now)
	return t.own[target].Plus(t.peerLoad(target))
}

// LoadsAt returns the load of all hosts at each of the targets, as TotalLoad does, and the age
// of the oldest report that still counts.
func (t *Table) LoadsAt(targets []string) (loads []Load, oldest time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := bootclock.Now()
	loads = make([]Load, len(targets))
	if t.fleet.isFresh(now) {
		for i, target := range targets {
			loads[i] = t.own[target].Plus(t.fleet.loads[target])
		}
		return loads, now.Sub(t.fleet.receivedAt)
	}
	t.expirePeers(now)
	for _, r := range t.peers {
		oldest = max(oldest, now.Sub(r.receivedAt))
	}
	reserved := make(map[string]Load, len(t.reservations))
	for _, r := range t.reservations {
		reserved[r.target] = reserved[r.target].Plus(r.load)
	}
	for i, target := range targets {
		loads[i] = t.own[target].Plus(t.peerTotals[target]).Plus(reserved[target])
	}
	return loads, oldest
}

// peerLoad sums the loads at a target that other hosts reported, and the
// reservations that these reports do not include yet. Callers hold t.mu.
func (t *Table) peerLoad(target string) Load {
	sum := t.peerTotals[target]
	for _, r := range t.reservations {
		if r.target == target {
			sum = sum.Plus(r.load)
		}
	}
	return sum
}

// LoadsExcept returns, by target, the load of all hosts other than the given one, as
// far as this host knows it. A hub sends it to that host, which adds its own load.
func (t *Table) LoadsExcept(host string) map[string]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expirePeers(bootclock.Now())
	out := make(map[string]Load, len(t.peerTotals)+len(t.own))
	excluded := t.peers[host].loads
	for target, l := range t.peerTotals {
		if l = l.Minus(excluded[target]); l.Runs > 0 {
			out[target] = l
		}
	}
	for target, l := range t.own {
		out[target] = out[target].Plus(l)
	}
	for _, r := range t.reservations {
		if r.host != host {
			out[r.target] = out[r.target].Plus(r.load)
		}
	}
	return out
}

// LoadsByHost returns the load at each of the targets by host, from this host's own
// load and the reports of single hosts. A hub sends it to the other hosts, which pass
// it to SetLoadsByHost.
func (t *Table) LoadsByHost(targets []string) map[string]map[string]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]map[string]Load)
	for _, target := range targets {
		if loads := t.knownByHost(target); len(loads) > 0 {
			out[target] = loads
		}
	}
	return out
}

// LoadByHost returns the load at a target by host, for the hosts that have runs
// there. What a hub reported takes precedence over the reports of single hosts.
func (t *Table) LoadByHost(target string) map[string]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	if loads := t.byHost[target]; len(loads) > 0 {
		return loads
	}
	return t.knownByHost(target)
}

// knownByHost returns the load at a target by host from this host's own load and
// the reports of single hosts. Callers hold t.mu.
func (t *Table) knownByHost(target string) map[string]Load {
	now := bootclock.Now()
	out := make(map[string]Load)
	if l := t.own[target]; l.Runs > 0 {
		out[t.host] = l
	}
	for host, r := range t.peers {
		if l := r.loads[target]; l.Runs > 0 && r.isFresh(now) {
			out[host] = l
		}
	}
	return out
}

// OwnLoads returns a copy of this host's loads.
func (t *Table) OwnLoads() map[string]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]Load, len(t.own))
	for target, l := range t.own {
		out[target] = l
	}
	return out
}

// ExpectedTokens returns the memory that this host's runs are expected to hold
// when they end, in tokens.
func (t *Table) ExpectedTokens() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := 0
	for _, l := range t.own {
		sum += l.Tokens
	}
	return sum
}

// Changed returns a channel that is closed when a load may have decreased.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// notifyChanged wakes those who wait for a load to decrease. Callers hold t.mu.
func (t *Table) notifyChanged() {
	close(t.changed)
	t.changed = make(chan struct{})
}
