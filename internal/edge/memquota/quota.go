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

	mu       sync.Mutex
	taken    int64            // guarded by mu
	accounts map[string]int64 // guarded by mu; bytes by account
	waiting  []*waiter        // guarded by mu; first come, first served
}

// quotaAccountPart is the part of a quota, as a divisor, that one account may take, or a single request of it.
const quotaAccountPart = 2

type waiter struct {
	account string // "" for none
	bytes   int64
	granted chan struct{} // closed once the bytes have been taken
}

// New returns a quota of size bytes, without a bound if size is 0 or less.
func New(size int64) *Quota { return &Quota{size: size} }

// Take waits until bytes are free, or until ctx ends, whose error it returns then. A user that
// asks for more than the whole quota gets the whole. If the error is nil, giveBack must be
// called once.
func (q *Quota) Take(ctx context.Context, bytes int64) (giveBack func(), err error) {
	return q.TakeFor(ctx, "", bytes)
}

// TakeFor is Take on behalf of an account. One that has its part lets the users behind it go first.
func (q *Quota) TakeFor(ctx context.Context, account string, bytes int64) (giveBack func(), err error) {
	if q == nil || q.size <= 0 {
		return func() {}, nil
	}
	w := &waiter{account: account, bytes: min(bytes, q.size), granted: make(chan struct{})}
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
	left := q.waiting[:0]
	for i, w := range q.waiting {
		if q.taken+w.bytes > q.size {
			left = append(left, q.waiting[i:]...)
			break
		}
		if !q.mayTake(w) {
			left = append(left, w)
			continue
		}
		q.take(w, w.bytes)
		close(w.granted)
	}
	clear(q.waiting[len(left):])
	q.waiting = left
}

// mayTake reports whether the account of a user has not taken its part. It needs mu.
func (q *Quota) mayTake(w *waiter) bool {
	taken := q.accounts[w.account]
	return w.account == "" || taken == 0 || taken+w.bytes <= q.size/quotaAccountPart
}

// take counts bytes that a user is granted, or gives back if they are negative. It needs mu.
func (q *Quota) take(w *waiter, bytes int64) {
	q.taken += bytes
	q.budget.Charge(bytes)
	if w.account == "" {
		return
	}
	if q.accounts == nil {
		q.accounts = make(map[string]int64)
	}
	if q.accounts[w.account] += bytes; q.accounts[w.account] == 0 {
		delete(q.accounts, w.account)
	}
}

func (q *Quota) giveBack(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.take(w, -w.bytes)
	q.grant()
}

// abandon removes a user that does not wait any more.
func (q *Quota) abandon(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case <-w.granted:
		q.take(w, -w.bytes) // granted meanwhile
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
