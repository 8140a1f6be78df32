// Package memquota bounds how much memory is held at once for one purpose.
package memquota

import (
	"context"
	"sync"
)

// Quota is a number of bytes that its users share, in the order in which they asked. It is
// safe for concurrent use; nil is a quota without a bound.
type Quota struct {
	size   int64   // no bound if 0 or less
	budget *Budget // that also counts the bytes; nil for none

	mu      sync.Mutex
	taken   int64     // guarded by mu
	waiting []*waiter // guarded by mu; first come, first served
}

type waiter struct {
	bytes   int64
	granted chan struct{} // closed once the bytes have been taken
}

// New returns a quota of size bytes, without a bound if size is 0 or less.
func New(size int64) *Quota { return &Quota{size: size} }

// Take waits until bytes are free, or until ctx ends, whose error it returns then. A user that
// asks for more than the whole quota gets the whole. If the error is nil, giveBack must be
// called once.
func (q *Quota) Take(ctx context.Context, bytes int64) (giveBack func(), err error) {
	if q == nil || q.size <= 0 {
		return func() {}, nil
	}
	w := &waiter{bytes: min(bytes, q.size), granted: make(chan struct{})}
	q.mu.Lock()
	q.waiting = append(q.waiting, w)
	q.grant()
	q.mu.Unlock()
	select {
	case <-w.granted:
		return func() { q.giveBack(w) }, nil
	case <-ctx.Done():
		q.abandon(w)
		return nil, ctx.Err()
	}
}

// Taken returns how many bytes are taken.
func (q *Quota) Taken() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.taken
}

// grant gives bytes to the users that wait, in order. It needs mu.
func (q *Quota) grant() {
	for len(q.waiting) > 0 && q.taken+q.waiting[0].bytes <= q.size {
		q.taken += q.waiting[0].bytes
		q.budget.Charge(q.waiting[0].bytes)
		close(q.waiting[0].granted)
		q.waiting[0] = nil
		q.waiting = q.waiting[1:]
	}
}

func (q *Quota) giveBack(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.release(w)
	q.grant()
}

// release takes back what a user was granted. It needs mu.
func (q *Quota) release(w *waiter) {
	q.taken -= w.bytes
	q.budget.Charge(-w.bytes)
}

// abandon removes a user that does not wait any more.
func (q *Quota) abandon(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case <-w.granted:
		q.release(w) // granted meanwhile
	default:
		for i := range q.waiting {
			if q.waiting[i] == w {
				q.waiting = append(q.waiting[:i:i], q.waiting[i+1:]...)
				break
			}
		}
	}
	q.grant()
}
