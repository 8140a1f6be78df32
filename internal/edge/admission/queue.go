// Package admission orders the runs that wait for room on an engine. It matters
// when bursts of long runs arrive while the memory of the engines is nearly full: a
// run that is sent anyway preempts another one, whose whole prompt must then be
// prefilled again.
package admission

import (
	"context"
	"slices"
	"sync"
	"time"

	"corianderhitch/internal/edge/targets"
)

// recheckInterval is how often a waiting run looks for room without a notification:
// the loads of other hosts and the expiry of old load reports change without one.
const recheckInterval = 100 * time.Millisecond

// Queue orders the waiting runs of each service by urgency, then arrival. It is safe for
// concurrent use.
type Queue struct {
	changed func() <-chan struct{} // returns a channel that is closed when room may have appeared

	mu       sync.Mutex
	services map[string]*serviceQueue // guarded by mu; without services that no run waits for
}

// serviceQueue holds the waiting runs of one service. Queue.mu guards it.
type serviceQueue struct {
	waiting   []*waiter // in order
	reserving bool      // a call of tryReserve runs
}

type waiter struct {
	urgency int           // 0 is the most urgent
	wake    chan struct{} // holds one pending signal
}

// New returns an empty queue. The function changed returns a channel that is closed
// when room may have appeared.
func New(changed func() <-chan struct{}) *Queue {
	return &Queue{changed: changed, services: make(map[string]*serviceQueue)}
}

// Len returns the number of waiting runs.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for _, s := range q.services {
		n += len(s.waiting)
	}
	return n
}

// LenOf returns the number of waiting runs of a service.
func (q *Queue) LenOf(service string) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	if s := q.services[service]; s != nil {
		return len(s.waiting)
	}
	return 0
}

// Acquire calls tryReserve until it returns a target, and returns that target, or
// nil if ctx ends first. Runs of the service that already wait with the same or a lower number
// for urgency go first, 0 being the most urgent. Calls of tryReserve for a service never
// overlap, so that the choice of a target and its reservation are one step; the queue is not
// locked meanwhile, since a choice may take a call to another host.
func (q *Queue) Acquire(ctx context.Context, service string, urgency int, tryReserve func() *targets.Target) *targets.Target {
	s, w := q.add(service, urgency)
	defer q.remove(service, s, w)
	for {
		changed := q.changed()
		if t := q.tryIfFirst(s, w, tryReserve); t != nil {
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

// tryIfFirst calls tryReserve if w is the first of its service and no other call runs. When
// the call ends, it wakes the first run if that is another one by then.
func (q *Queue) tryIfFirst(s *serviceQueue, w *waiter, tryReserve func() *targets.Target) *targets.Target {
	q.mu.Lock()
	if s.reserving || s.waiting[0] != w {
		q.mu.Unlock()
		return nil
	}
	s.reserving = true
	q.mu.Unlock()
	defer func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		s.reserving = false
		if s.waiting[0] != w {
			s.waiting[0].signal()
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

// add inserts a waiter behind those of the same service and urgency.
func (q *Queue) add(service string, urgency int) (*serviceQueue, *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.services[service]
	if s == nil {
		s = &serviceQueue{}
		q.services[service] = s
	}
	w := &waiter{urgency: urgency, wake: make(chan struct{}, 1)}
	i := len(s.waiting)
	for i > 0 && s.waiting[i-1].urgency > urgency {
		i--
	}
	s.waiting = slices.Insert(s.waiting, i, w)
	return s, w
}

// remove takes a waiter out of its queue and wakes the first one left.
func (q *Queue) remove(service string, s *serviceQueue, w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	i := slices.Index(s.waiting, w)
	s.waiting = slices.Delete(s.waiting, i, i+1)
	if len(s.waiting) == 0 {
		delete(q.services, service)
		return
	}
	s.waiting[0].signal()
}
