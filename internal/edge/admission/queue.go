// Package admission orders the runs that wait for room on an engine. It matters
// when bursts of long runs arrive while the memory of the engines is nearly full: a
// run that is sent anyway preempts another one, whose whole prompt must then be
// prefilled again.
package admission

import (
	"context"
	"sync"
	"time"

	"corianderhitch/internal/edge/targets"
)

// recheckInterval is how often a waiting run looks for room without a notification:
// the loads of other hosts and the expiry of old load reports change without one.
const recheckInterval = 100 * time.Millisecond

// Queue orders waiting runs by urgency, then arrival. It is safe for concurrent
// use.
type Queue struct {
	changed func() <-chan struct{} // returns a channel that is closed when room may have appeared

	mu        sync.Mutex
	waiting   []*waiter // guarded by mu; in order
	reserving bool      // guarded by mu; a call of tryReserve runs
}

type waiter struct {
	urgency int           // 0 is the most urgent
	wake    chan struct{} // holds one pending signal
}

// New returns an empty queue. The function changed returns a channel that is closed
// when room may have appeared.
func New(changed func() <-chan struct{}) *Queue { return &Queue{changed: changed} }

// Len returns the number of waiting runs.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}

// Acquire calls tryReserve until it returns a target, and returns that target, or
// nil if ctx ends first. Runs that already wait with the same or a lower number for
// urgency go first, 0 being the most urgent. Calls of tryReserve never overlap, so that
// the choice of a target and its reservation are one step; the queue is not locked
// meanwhile, since a choice may take a call to another host.
func (q *Queue) Acquire(ctx context.Context, urgency int, tryReserve func() *targets.Target) *targets.Target {
	w := q.add(urgency)
	defer q.remove(w)
	for {
		changed := q.changed()
		if t := q.tryIfFirst(w, tryReserve); t != nil {
			return t
		}
		timer := time.NewTimer(recheckInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-changed:
		case <-w.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// tryIfFirst calls tryReserve if w is the first in the queue and no other call runs. When
// the call ends, it wakes the first run if that is another one by then.
func (q *Queue) tryIfFirst(w *waiter, tryReserve func() *targets.Target) *targets.Target {
	q.mu.Lock()
	if q.reserving || q.waiting[0] != w {
		q.mu.Unlock()
		return nil
	}
	q.reserving = true
	q.mu.Unlock()
	defer func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.reserving = false
		if q.waiting[0] != w {
			q.waiting[0].signal()
		}
	}()
	return tryReserve()
}

// signal wakes the waiter.
func (w *waiter) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// add inserts a waiter behind those of the same urgency.
func (q *Queue) add(urgency int) *waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	w := &waiter{urgency: urgency, wake: make(chan struct{}, 1)}
	i := len(q.waiting)
	for i > 0 && q.waiting[i-1].urgency > urgency {
		i--
	}
	q.waiting = append(q.waiting, nil)
	copy(q.waiting[i+1:], q.waiting[i:])
	q.waiting[i] = w
	return w
}

// remove takes a waiter out of the queue and wakes the first one left.
func (q *Queue) remove(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, other := range q.waiting {
		if other == w {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			break
		}
	}
	if len(q.waiting) > 0 {
		q.waiting[0].signal()
	}
}
