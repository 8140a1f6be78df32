// Package fleetsize remembers how many hosts the fleet had lately. What all hosts together may
// use is divided by the largest number: a list that lacks hosts must not enlarge the shares, and
// what a host that left has used still counts.
package fleetsize

import (
	"sync"
	"time"

	"corianderhitch/internal/edge/bootclock"
)

// Window holds the numbers of hosts of the last span of time. It is safe for concurrent use.
type Window struct {
	span time.Duration

	mu     sync.Mutex
	counts []count // guarded by mu; in order of time
}

// count is a number of hosts that was known from a time on.
type count struct {
	from  bootclock.Instant
	hosts int
}

// NewWindow returns an empty window.
func NewWindow(span time.Duration) *Window { return &Window{span: span} }

// Observe records how many hosts are known now; 0 means that it is not known.
func (w *Window) Observe(now bootclock.Instant, hosts int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := len(w.counts)
	if hosts <= 0 || n > 0 && w.counts[n-1].hosts == hosts {
		return
	}
	for len(w.counts) > 1 && now.Sub(w.counts[1].from) > w.span {
		w.counts = w.counts[1:]
	}
	w.counts = append(w.counts, count{from: now, hosts: hosts})
}

// Largest returns the largest number of hosts that was known within the window, 0 if none was
// ever known.
func (w *Window) Largest(now bootclock.Instant) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	largest := 0
	for i := len(w.counts) - 1; i >= 0; i-- {
		largest = max(largest, w.counts[i].hosts)
		if now.Sub(w.counts[i].from) > w.span {
			break // what was known before no longer counts
		}
	}
	return largest
}
