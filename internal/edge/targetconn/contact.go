package targetconn

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minReadWait is how long a read must have waited for bytes to show that a target has just sent them. Bytes that
	// a slow caller left unread in the socket may be older than the end of their target.
	minReadWait = time.Millisecond
	// contactRetention is for how long contacts are kept after the last bytes.
	contactRetention = time.Minute
	// minContactsToSweep is the number of contacts from which expired ones are removed.
	minContactsToSweep = 64
)

// contact is when an incarnation of a target was last reached and heard, by any request of this host. It is safe for
// concurrent use.
type contact struct {
	createdAt time.Duration // since clockStart
	opened    atomic.Int64  // when a connection to it was opened, since clockStart; 0 if none was
	heard     atomic.Int64  // when it sent something, since clockStart; 0 if it has not
}

// noteOpened records that a connection was opened. The kernel of a frozen process does that as well.
func (c *contact) noteOpened() { c.opened.Store(int64(time.Since(clockStart))) }

// noteHeard records that the target sent something just now.
func (c *contact) noteHeard() { c.heard.Store(int64(time.Since(clockStart))) }

// noteRead records a read of size bytes that began at the given time since clockStart. A nil contact records nothing.
func (c *contact) noteRead(began time.Duration, size int) {
	if c == nil || size == 0 {
		return
	}
	if now := time.Since(clockStart); now-began >= minReadWait {
		c.heard.Store(int64(now))
	}
}

// contacts holds the contacts of all targets. It is safe for concurrent use.
type contacts struct {
	mu       sync.Mutex
	byTarget map[string]*contact // guarded by mu; by incarnation
	sweepAt  int                 // guarded by mu; size at which expired contacts are removed
}

// of returns the contact of an incarnation, creating it if necessary.
func (c *contacts) of(incarnation string) *contact {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := c.byTarget[incarnation]
	if found != nil {
		return found
	}
	if len(c.byTarget) >= max(c.sweepAt, minContactsToSweep) {
		c.sweep()
	}
	if c.byTarget == nil {
		c.byTarget = make(map[string]*contact)
	}
	found = &contact{createdAt: time.Since(clockStart)}
	c.byTarget[incarnation] = found
	return found
}

// sweep removes the contacts that have expired. Callers hold mu.
func (c *contacts) sweep() {
	oldest := time.Since(clockStart) - contactRetention
	for incarnation, found := range c.byTarget {
		if max(found.createdAt, time.Duration(found.opened.Load()), time.Duration(found.heard.Load())) < oldest {
			delete(c.byTarget, incarnation)
		}
	}
	c.sweepAt = 2 * len(c.byTarget)
}

// Contact is how long ago an incarnation of a target was reached and heard.
type Contact struct {
	SinceOpened time.Duration // since a connection to it was opened; math.MaxInt64 if none was lately
	SinceHeard  time.Duration // since it sent something, on any connection; math.MaxInt64 if it has not lately
}

// Contact returns how long ago this host reached and heard an incarnation of a target, itself or by way of a helper.
func (p *Pool) Contact(incarnation string) Contact {
	p.contacts.mu.Lock()
	found := p.contacts.byTarget[incarnation]
	p.contacts.mu.Unlock()
	if found == nil {
		return Contact{SinceOpened: math.MaxInt64, SinceHeard: math.MaxInt64}
	}
	return Contact{SinceOpened: sinceOrNever(found.opened.Load()), SinceHeard: sinceOrNever(found.heard.Load())}
}

func sinceOrNever(at int64) time.Duration {
	if at == 0 {
		return math.MaxInt64
	}
	return time.Since(clockStart) - time.Duration(at)
}
