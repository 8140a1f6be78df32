// Package loadbook counts what is in flight at each target: exactly for this
// host, and as last told by the other hosts. Engines' own reports are half a
// second old, so that choices rest on these counts.
package loadbook

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

// Book is safe for concurrent use.
type Book struct {
	mu      sync.Mutex
	own     map[string]Load // guarded by mu; by incarnation of the target
	peers   map[string]peer // guarded by mu; by host
	changed chan struct{}   // guarded by mu; closed at the next fall of a load
}

// New returns an empty book.
func New() *Book {
	return &Book{own: make(map[string]Load), peers: make(map[string]peer), changed: make(chan struct{})}
}

// Add adds to the own load of a target.
func (b *Book) Add(target string, l Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.set(target, b.own[target].Plus(l))
}

// Remove takes from the own load of a target.
func (b *Book) Remove(target string, l Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.set(target, b.own[target].Minus(l))
	b.wake()
}

// set replaces the own load of a target. Callers hold b.mu.
func (b *Book) set(target string, l Load) {
	if l == (Load{}) {
		delete(b.own, target)
		return
	}
	b.own[target] = l
}

// SetPeer takes the loads of another host.
func (b *Book) SetPeer(host string, loads map[string]Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers[host] = peer{loads: loads, at: bootclock.Now()}
	b.wake()
}

// Load returns the load of a target by all hosts.
func (b *Book) Load(target string) Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum := b.own[target]
	now := bootclock.Now()
	for host, p := range b.peers {
		if now.Sub(p.at) > peerMemory {
			delete(b.peers, host)
			continue
		}
		sum = sum.Plus(p.loads[target])
	}
	return sum
}

// ByHost returns the loads of a target by the other hosts that have any there.
func (b *Book) ByHost(target string) map[string]Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]Load)
	now := bootclock.Now()
	for host, p := range b.peers {
		if l := p.loads[target]; l.Runs > 0 && now.Sub(p.at) <= peerMemory {
			out[host] = l
		}
	}
	return out
}

// Own returns a copy of this host's loads.
func (b *Book) Own() map[string]Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]Load, len(b.own))
	for target, l := range b.own {
		out[target] = l
	}
	return out
}

// Changed returns a channel that is closed when a load falls.
func (b *Book) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// wake tells those who wait for room. Callers hold b.mu.
func (b *Book) wake() {
	close(b.changed)
	b.changed = make(chan struct{})
}
