// Package retrybudget bounds how many retries and hedged requests the fleet sends.
// Each host uses its share of the fleet's budget without coordination. The bound holds
// while hosts restart, in series or together, and while callers move between hosts: what a
// caller's requests allow is used at one host in a window.
package retrybudget

import (
	"log/slog"
	"sync"
	"time"

	"corianderhitch/internal/edge/bootclock"
)

// safetyFactor is the share of the budget that is used, because hosts may disagree
// on the number of hosts for a while.
const safetyFactor = 0.8

// newRequestsFactor is the share of the ratio that new requests allow. The rest of it, and the
// slack, may have been used in the same window by an earlier process of the host, or by the
// hosts that the callers come from, so that it is used only for as many requests as the host
// had in the window before.
const newRequestsFactor = 1 - safetyFactor

// defaultWindow applies if the platform sets none.
const defaultWindow = 10 * time.Second

// slotsPerWindow is the number of slots that a window is divided into. Counts expire
// by whole slots.
const slotsPerWindow = 10

// Budget bounds the retries of one service. It is safe for concurrent use.
type Budget struct {
	ratio  float64
	slack  float64
	window time.Duration
	hosts  func() int

	// OnDecision is called with each decision, without locks held; nil for none. Set it before
	// the first use.
	OnDecision func(Decision)

	mu          sync.Mutex
	startedSlot int64          // guarded by mu; in which the process started
	requests    slidingCounter // guarded by mu
	retries     slidingCounter // guarded by mu
	sharing     hostCounts     // guarded by mu
}

// New returns a budget of the process that started at the given time. It allows, in each
// window, a part of ratio x the requests of this host, plus an equal share of slack. hosts returns
// how many hosts share the slack, 0 if that is not known.
//
// The slack is divided by the largest number of hosts that was known within the window:
// what a host that left has used still counts. It is not used until the number has been
// known for a window, since the first lists after an outage of the store are incomplete.
func New(ratio, slack float64, window time.Duration, processStart bootclock.Instant, hosts func() int) *Budget {
	if window <= 0 {
		window = defaultWindow
	}
	b := &Budget{ratio: ratio, slack: slack, window: window, hosts: hosts}
	b.startedSlot = b.slotAt(processStart)
	return b
}

// RecordRequest counts a caller's request.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	slot := b.currentSlot()
	b.requests.add(slot)
	b.sharing.add(slot, b.hosts())
}

// ObserveHosts notes how many hosts share the slack now. It is to be called often, also
// while the service has no requests.
func (b *Budget) ObserveHosts() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sharing.add(b.currentSlot(), b.hosts())
}

// Decision is the outcome of TakeRetry with its inputs.
type Decision struct {
	Granted  bool
	Allowed  float64 // retries of this host in a window
	Retries  int     // of this host in the current window, without this one
	Requests int     // of this host in the current window
	Earlier  int     // of this host in the window before
	Hosts    int     // hosts that share the slack, 0 if this host may not use it
	// FirstWindow reports whether the process has started within the last window.
	FirstWindow bool
}

// LogValue implements slog.LogValuer.
func (d Decision) LogValue() slog.Value {
	return slog.GroupValue(slog.Float64("allowed", d.Allowed), slog.Int("retries", d.Retries), slog.Int("requests", d.Requests), slog.Int("earlier_requests", d.Earlier), slog.Int("hosts", d.Hosts), slog.Bool("first_window", d.FirstWindow))
}

// TakeRetry takes one retry from the budget unless none is left.
func (b *Budget) TakeRetry() Decision {
	d := b.takeRetry()
	if b.OnDecision != nil {
		b.OnDecision(d)
	}
	return d
}

func (b *Budget) takeRetry() Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	slot := b.currentSlot()
	d := Decision{Retries: b.retries.atLeastOneWindow(slot), Requests: b.requests.atMostOneWindow(slot), Earlier: b.requests.windowBefore(slot)}
	b.sharing.add(slot, b.hosts())
	hostSlack := 0.0
	if d.FirstWindow = slot-b.startedSlot <= slotsPerWindow; !d.FirstWindow {
		if d.Hosts = b.sharing.largestOfWindow(slot); d.Hosts > 0 {
			hostSlack = float64(int(b.slack / float64(d.Hosts)))
		}
	}
	d.Allowed = b.ratio*(newRequestsFactor*float64(d.Requests)+(safetyFactor-newRequestsFactor)*float64(min(d.Requests, d.Earlier))) + safetyFactor*hostSlack
	if d.Granted = float64(d.Retries+1) <= d.Allowed; d.Granted {
		b.retries.add(slot)
	}
	return d
}

// ReturnRetry gives back a retry that was taken and not sent.
func (b *Budget) ReturnRetry() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retries.removeOldest(b.currentSlot(), slotsPerWindow)
}

func (b *Budget) currentSlot() int64 { return b.slotAt(bootclock.Now()) }

func (b *Budget) slotAt(t bootclock.Instant) int64 {
	return int64(time.Duration(t) / (b.window / slotsPerWindow))
}

// slidingCounter counts events in a sliding window and the one before, by slot of time.
type slidingCounter struct {
	slots  [2 * slotsPerWindow]int64 // number of the slot that each count is of
	counts [2 * slotsPerWindow]int
}

func (c *slidingCounter) add(slot int64) {
	i := slot % int64(len(c.slots))
	if c.slots[i] != slot {
		c.slots[i], c.counts[i] = slot, 0
	}
	c.counts[i]++
}

// atMostOneWindow counts over the last nine to ten tenths of a window.
func (c *slidingCounter) atMostOneWindow(slot int64) int { return c.sum(slot, 0, slotsPerWindow-1) }

// windowBefore counts over the window before that of atMostOneWindow.
func (c *slidingCounter) windowBefore(slot int64) int {
	return c.sum(slot, slotsPerWindow, 2*slotsPerWindow-1)
}

// atLeastOneWindow counts over the last ten to eleven tenths of a window.
func (c *slidingCounter) atLeastOneWindow(slot int64) int { return c.sum(slot, 0, slotsPerWindow) }

// removeOldest takes back the oldest event that is not older than maxAge. The others, counted
// later, expire no sooner than they happened.
func (c *slidingCounter) removeOldest(slot, maxAge int64) {
	for age := maxAge; age >= 0; age-- {
		i := (slot - age) % int64(len(c.slots))
		if i >= 0 && c.slots[i] == slot-age && c.counts[i] > 0 {
			c.counts[i]--
			return
		}
	}
}

// sum counts over the slots from minAge to maxAge slots before the given one.
func (c *slidingCounter) sum(slot, minAge, maxAge int64) int {
	total := 0
	for i, s := range c.slots {
		if age := slot - s; minAge <= age && age <= maxAge {
			total += c.counts[i]
		}
	}
	return total
}
