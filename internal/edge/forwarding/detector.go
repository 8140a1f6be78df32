// Package forwarding lets hosts that have lost their way to the targets of a service serve their
// callers: they ask other hosts, their helpers, to send their requests. It answers cuts between
// some hosts and the targets, also of most hosts of a failure domain, which callers don't see and
// whose open connections they go on using.
package forwarding

import (
	"sync"
	"time"

	"corianderhitch/internal/edge/bootclock"
)

const (
	// failuresToCut is to how many targets in a row, without one that could be reached, a
	// connection must fail for this host to count as cut off without a probe.
	failuresToCut = 3
	// failureLifetime is how long such a failure counts.
	failureLifetime = 2 * time.Second
	// suspiciousSilence is how long no target may send anything, while requests wait, before
	// targets are probed.
	suspiciousSilence = 400 * time.Millisecond
	// suspectedProbeInterval is the time between probes of a host that may be cut off.
	suspectedProbeInterval = time.Second
	// minCutProbeInterval and maxCutProbeInterval bound the time between probes of one that is:
	// a fifth of the time for which it has been, since all hosts probe targets that are down.
	minCutProbeInterval = 500 * time.Millisecond
	maxCutProbeInterval = 2 * time.Second
	cutProbeShare       = 5
	// suspectedProbes and cutProbes are how many targets are probed at a time.
	suspectedProbes = 3
	cutProbes       = 2
)

// Detector decides whether this host is cut off from the targets of one service: whether the reason that it
// doesn't reach one lies with the target or with its own way there. A single target says little;
// several that fail together, while none can be reached, show a cut. It only looks at new
// connections, since targets may fall silent and go on, and since old connections may outlive a
// cut. Being wrong costs a detour. It reads no clock and is safe for concurrent use.
type Detector struct {
	mu       sync.Mutex
	failed   map[string]bootclock.Instant // guarded by mu; targets that could not be reached since one was
	cut      bool                         // guarded by mu
	cutAt    bootclock.Instant            // guarded by mu; when the host was cut off
	probedAt bootclock.Instant            // guarded by mu; 0 before the first probe
	change   func(cut bool, evidence Evidence)
}

// Evidence is why a host counts as cut off, or no longer does.
type Evidence struct {
	Unreachable int // targets that could not be reached
	Reached     int // targets that could
	Probe       bool
}

// NewDetector returns the detector of a host that reaches the targets. change is called with each
// change, without locks held.
func NewDetector(change func(cut bool, evidence Evidence)) *Detector {
	return &Detector{failed: make(map[string]bootclock.Instant), change: change}
}

// CutOff reports whether this host counts as cut off from the targets.
func (d *Detector) CutOff() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cut
}

// ObserveOpening records whether a new connection could be opened and used. known is how many
// targets there are.
func (d *Detector) ObserveOpening(target string, usable bool, known int, now bootclock.Instant) {
	d.mu.Lock()
	if usable {
		clear(d.failed)
		d.probedAt = 0 // while cut off, only probes show that the cut has ended
		d.mu.Unlock()
		return
	}
	for key, at := range d.failed {
		if now.Sub(at) > failureLifetime {
			delete(d.failed, key)
		}
	}
	d.failed[target] = now
	evidence := Evidence{Unreachable: len(d.failed)}
	changed := !d.cut && len(d.failed) >= min(failuresToCut, max(1, known))
	if changed {
		d.cut, d.cutAt = true, now
	}
	d.mu.Unlock()
	if changed {
		d.change(true, evidence)
	}
}

// ProbesDue returns how many targets are to be probed now, 0 for none. silence is how long no
// target has sent anything while requests wait.
func (d *Detector) ProbesDue(silence time.Duration, now bootclock.Instant) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	since := now.Sub(d.probedAt)
	suspected := silence >= suspiciousSilence
	for _, at := range d.failed {
		suspected = suspected || now.Sub(at) <= failureLifetime
	}
	switch {
	case d.cut && since >= min(maxCutProbeInterval, max(minCutProbeInterval, now.Sub(d.cutAt)/cutProbeShare)):
		d.probedAt = now
		return cutProbes
	case !d.cut && suspected && since >= suspectedProbeInterval:
		d.probedAt = now
		return suspectedProbes
	}
	return 0
}

// ObserveProbe records the outcome of a probe of several targets. The host is cut off if none
// could be reached, and no longer if all could.
func (d *Detector) ObserveProbe(e Evidence, now bootclock.Instant) {
	e.Probe = true
	d.mu.Lock()
	was := d.cut
	switch {
	case !d.cut && e.Reached == 0 && e.Unreachable > 0:
		d.cut, d.cutAt = true, now
	case e.Unreachable == 0 && e.Reached > 0:
		d.cut = false
	}
	if e.Reached > 0 {
		clear(d.failed)
	}
	changed := d.cut != was
	d.mu.Unlock()
	if changed {
		d.change(!was, e)
	}
}
