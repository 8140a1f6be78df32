// Package inflight counts what is in flight at each target: exactly for this
// host, and as last told by the other hosts. Engines' own reports are half a
// second old, so that choices rest on these counts.
package inflight

import (
	"sync"
	"time"

	"corianderhitch/internal/edge/bootclock"
)

// peerMemory is how long a peer's last word counts. A peer that is silent for
// longer has most likely lost its requests.
const peerMemory = 3 * time.Second

// Load is what is in flight at a target.
type Load struct {
	Runs   int
	Tokens int // memory that the runs are expected to hold at their end
	Held   int // memory that they hold now, about
	Unread int // prompt tokens of runs without a first event
}

// Plus returns the sum of two loads.
func (l Load) Plus(o Load) Load {
	return Load{Runs: l.Runs + o.Runs, Tokens: l.Tokens + o.Tokens, Held: l.Held + o.Held, Unread: l.Unread + o.Unread}
}

// Minus returns the load without another.
func (l Load) Minus(o Load) Load {
	return l.Plus(Load{Runs: -o.Runs, Tokens: -o.Tokens, Held: -o.Held, Unread: -o.Unread})
}

type peer struct {
	loads map[string]Load
	at    bootclock.Instant
}

func (p *peer) fresh(now bootclock.Instant) bool { return now.Sub(p.at) <= peerMemory }

// Book is safe for concurrent use.
type Table struct {
	host string

	mu      sync.Mutex
	own     map[string]Load            // guarded by mu; by incarnation of the target
	peers   map[string]peer            // guarded by mu; what hosts told this one, by host
	fleet   peer                       // guarded by mu; what a hub told of all other hosts
	parts   map[string]map[string]Load // guarded by mu; the same by target and host, for targets that leave
	sum     map[string]Load            // guarded by mu; of peers, kept up to date: a hub asks for it at each run
	grants  []grant                    // guarded by mu; given to other hosts, not in their loads yet
	changed chan struct{}              // guarded by mu; closed at the next fall of a load
}

// New returns the empty book of a host.
func New(host string) *Table {
	return &Table{host: host, own: make(map[string]Load), peers: make(map[string]peer), sum: make(map[string]Load), changed: make(chan struct{})}
}

// Add adds to the own load of a target.
func (b *Table) Add(target string, l Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.set(target, b.own[target].Plus(l))
}

// Remove takes from the own load of a target.
func (b *Table) Remove(target string, l Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.set(target, b.own[target].Minus(l))
	b.wake()
}

// set replaces the own load of a target. Callers hold b.mu.
func (b *Table) set(target string, l Load) {
	if l == (Load{}) {
		delete(b.own, target)
		return
	}
	b.own[target] = l
}

// grant is load that this host has given another one leave to add.
type grant struct {
	host, target string
	load         Load
	at           bootclock.Instant
}

// grantReturn is how long after a grant the host's own loads may lack it: the
// way of the answer, and the run's entry into that host's book.
const grantReturn = 30 * time.Millisecond

// Grant counts load that another host adds to a target, until the host's own
// loads show it.
func (b *Table) Reserve(host, target string, l Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.grants = append(b.grants, grant{host: host, target: target, load: l, at: bootclock.Now()})
}

// settle drops grants that the loads of a host show by now, and those that no
// host has shown for long. Callers hold b.mu.
func (b *Table) settle(host string, now bootclock.Instant) {
	kept := b.grants[:0]
	for _, g := range b.grants {
		age := now.Sub(g.at)
		if age > peerMemory || (g.host == host && age > grantReturn) {
			continue
		}
		kept = append(kept, g)
	}
	b.grants = kept
}

// SetPeer takes the loads of another host.
func (b *Table) SetPeerLoads(host string, loads map[string]Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := bootclock.Now()
	b.settle(host, now)
	b.forget(now)
	b.count(b.peers[host].loads, loads)
	b.peers[host] = peer{loads: loads, at: now}
	b.wake()
}

// count replaces a host's loads in the sum. Callers hold b.mu.
func (b *Table) count(before, after map[string]Load) {
	for target, l := range before {
		if l = b.sum[target].Minus(l); l == (Load{}) {
			delete(b.sum, target)
		} else {
			b.sum[target] = l
		}
	}
	for target, l := range after {
		b.sum[target] = b.sum[target].Plus(l)
	}
}

// forget drops hosts that are silent. Callers hold b.mu.
func (b *Table) forget(now bootclock.Instant) {
	for host, p := range b.peers {
		if !p.fresh(now) {
			b.count(p.loads, nil)
			delete(b.peers, host)
		}
	}
}

// SetParts takes the loads of targets that leave by host.
func (b *Table) SetLoadsByHost(parts map[string]map[string]Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.parts = parts
}

// SetFleet takes the loads of all other hosts together.
func (b *Table) SetFleetLoads(loads map[string]Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fleet = peer{loads: loads, at: bootclock.Now()}
	b.wake()
}

// Load returns the load of a target by all hosts. What a hub told goes before
// what single hosts did: it is the whole.
func (b *Table) TotalLoad(target string) Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := bootclock.Now()
	if b.fleet.fresh(now) {
		return b.own[target].Plus(b.fleet.loads[target])
	}
	b.forget(now)
	return b.own[target].Plus(b.told(target))
}

// told sums what hosts told of a target, and what they were granted since.
// Callers hold b.mu.
func (b *Table) told(target string) Load {
	sum := b.sum[target]
	for _, g := range b.grants {
		if g.target == target {
			sum = sum.Plus(g.load)
		}
	}
	return sum
}

// Others returns the loads of all hosts but one, as this host knows them.
func (b *Table) LoadsExcept(host string) map[string]Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forget(bootclock.Now())
	out := make(map[string]Load, len(b.sum)+len(b.own))
	without := b.peers[host].loads
	for target, l := range b.sum {
		if l = l.Minus(without[target]); l.Runs > 0 {
			out[target] = l
		}
	}
	for target, l := range b.own {
		out[target] = out[target].Plus(l)
	}
	for _, g := range b.grants {
		if g.host != host {
			out[g.target] = out[g.target].Plus(g.load)
		}
	}
	return out
}

// Parts returns the loads of targets by host, as this host knows them.
func (b *Table) LoadsByHost(targets []string) map[string]map[string]Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]map[string]Load)
	for _, target := range targets {
		if parts := b.byHost(target); len(parts) > 0 {
			out[target] = parts
		}
	}
	return out
}

// ByHost returns the loads of a target by the hosts that have any there.
func (b *Table) LoadByHost(target string) map[string]Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	if parts := b.parts[target]; len(parts) > 0 {
		return parts
	}
	return b.byHost(target)
}

// byHost is ByHost from what hosts told. Callers hold b.mu.
func (b *Table) byHost(target string) map[string]Load {
	now := bootclock.Now()
	out := make(map[string]Load)
	if l := b.own[target]; l.Runs > 0 {
		out[b.host] = l
	}
	for host, p := range b.peers {
		if l := p.loads[target]; l.Runs > 0 && p.fresh(now) {
			out[host] = l
		}
	}
	return out
}

// Own returns a copy of this host's loads.
func (b *Table) OwnLoads() map[string]Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]Load, len(b.own))
	for target, l := range b.own {
		out[target] = l
	}
	return out
}

// ExpectedTokens returns the memory that this host's runs are expected to hold at
// their ends.
func (b *Table) ExpectedTokens() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum := 0
	for _, l := range b.own {
		sum += l.Tokens
	}
	return sum
}

// Changed returns a channel that is closed when a load falls.
func (b *Table) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// wake tells those who wait for room. Callers hold b.mu.
func (b *Table) wake() {
	close(b.changed)
	b.changed = make(chan struct{})
}
