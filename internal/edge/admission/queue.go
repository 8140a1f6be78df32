// Package admission orders the runs that wait for room on an engine. It answers
// bursts of long drafts on engines whose memory is nearly full: there a run that
// is sent anyway preempts another one, whose whole prompt is read again.
package admission

import (
	"context"
	"sync"
	"time"

	"corianderhitch/internal/edge/targets"
)

// recheck is how often a waiting run looks for room without being told of any:
// other hosts' loads and the age of old news change without an event.
const recheck = 100 * time.Millisecond

// Queue orders waiting runs by urgency, then arrival. It is safe for concurrent
// use.
type Queue struct {
	changed func() <-chan struct{} // a channel that is closed when room may have appeared

	mu      sync.Mutex
	waiting []*waiter // guarded by mu; in order
}

type waiter struct {
	urgency int
	wake    chan struct{} // one pending signal
}

// New returns an empty queue.
func New(changed func() <-chan struct{}) *Queue { return &Queue{changed: changed} }

// Len returns how many runs wait.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}

// Place calls try until it returns a target, in turn: a run of the same or less
// urgency that waits already goes first. It returns nil if ctx ends before.
func (q *Queue) Acquire(ctx context.Context, urgency int, try func() *targets.Target) *targets.Target {
	q.mu.Lock()
	if !q.aheadOf(urgency) {
		if t := try(); t != nil {
			q.mu.Unlock()
			return t
		}
	}
	w := q.add(urgency)
	q.mu.Unlock()
	defer q.remove(w)
	for {
		changed := q.changed()
		if t := q.tryInTurn(w, try); t != nil {
			return t
		}
		timer := time.NewTimer(recheck)
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

// tryInTurn calls try if the run is the first that waits. The lock makes choice
// and reservation one step.
func (q *Queue) tryInTurn(w *waiter, try func() *targets.Target) *targets.Target {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting[0] != w {
		return nil
	}
	return try()
}

// aheadOf tells whether a run that must go first waits. Callers hold q.mu.
func (q *Queue) aheadOf(urgency int) bool {
	return len(q.waiting) > 0 && q.waiting[0].urgency <= urgency
}

// add inserts a waiter behind those of its urgency. Callers hold q.mu.
func (q *Queue) add(urgency int) *waiter {
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
		select {
		case q.waiting[0].wake <- struct{}{}:
		default:
		}
	}
}
