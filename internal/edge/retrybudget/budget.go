// Package retrybudget bounds what the fleet sends beyond the first time. Each
// host takes its part of the fleet's bound without talking to the others.
package retrybudget

import (
	"sync"
	"time"

	"corianderhitch/internal/edge/bootclock"
)

// safety is the part of the bound that is used: hosts may count each other
// differently for a while.
const safety = 0.8

// slots divide a window; the oldest falls out as a whole.
const slots = 10

// Budget bounds the repeats of one service. It is safe for concurrent use.
type Budget struct {
	ratio  float64
	slack  float64
	window time.Duration
	hosts  func() int

	mu       sync.Mutex
	requests counter // guarded by mu
	repeats  counter // guarded by mu
}

// New returns a budget of ratio x requests + slack in each window, shared by as
// many hosts as hosts returns.
func New(ratio, slack float64, window time.Duration, hosts func() int) *Budget {
	return &Budget{ratio: ratio, slack: slack, window: window, hosts: hosts}
}

// Request counts a caller's request.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests.add(b.slot())
}

// Take takes a repeat, or returns false if there is none left.
func (b *Budget) TakeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	slot := b.slot()
	share := float64(int(b.slack / float64(max(1, b.hosts()))))
	allowed := safety * (b.ratio*float64(b.requests.sum(slot)) + share)
	if float64(b.repeats.sum(slot)+1) > allowed {
		return false
	}
	b.repeats.add(slot)
	return true
}

func (b *Budget) slot() int64 { return int64(time.Duration(bootclock.Now()) / (b.window / slots)) }

// counter counts by slot of time.
type counter struct {
	at     [slots + 1]int64
	counts [slots + 1]int
}

func (c *counter) add(slot int64) {
	i := slot % int64(len(c.at))
	if c.at[i] != slot {
		c.at[i], c.counts[i] = slot, 0
	}
	c.counts[i]++
}

func (c *counter) sum(slot int64) int {
	total := 0
	for i, at := range c.at {
		if slot-at <= slots {
			total += c.counts[i]
		}
	}
	return total
}
