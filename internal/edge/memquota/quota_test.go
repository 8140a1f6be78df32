package memquota

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func take(t *testing.T, q *Quota, bytes int64) func() {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	giveBack, err := q.Take(ctx, bytes)
	require.NoError(t, err)
	return giveBack
}

func TestTakeWaitsForBytes(t *testing.T) {
	q := New(10)
	first := take(t, q, 6)
	waiting, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := q.Take(waiting, 6)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	second := take(t, q, 4)
	time.AfterFunc(20*time.Millisecond, first)
	third := take(t, q, 6)
	second()
	third()
	require.Zero(t, q.Taken())
}

func TestRequestForMoreThanTheQuotaGetsTheWhole(t *testing.T) {
	q := New(10)
	giveBack := take(t, q, 100)
	require.EqualValues(t, 10, q.Taken())
	giveBack()
	require.Zero(t, q.Taken())
}

func TestQuotaWithoutBound(t *testing.T) {
	for _, q := range []*Quota{nil, New(0)} {
		take(t, q, 1<<40)
		take(t, q, 1<<40)()
	}
}

// A large request must not wait for ever behind small ones, nor block them once it has left.
func TestQuotaIsGrantedInOrder(t *testing.T) {
	q := New(10)
	held := take(t, q, 5)
	large, leave := context.WithCancel(t.Context())
	left := make(chan error)
	go func() {
		_, err := q.Take(large, 10)
		left <- err
	}()
	require.Eventually(t, func() bool {
		q.mu.Lock()
		defer q.mu.Unlock()
		return len(q.waiting) == 1
	}, time.Second, time.Millisecond)
	small := make(chan func())
	go func() { small <- take(t, q, 5) }()
	select {
	case <-small:
		t.Fatal("a later request was granted first")
	case <-time.After(20 * time.Millisecond):
	}
	leave()
	require.ErrorIs(t, <-left, context.Canceled)
	(<-small)()
	held()
	require.Zero(t, q.Taken())
}

func TestQuotaIsNeverExceeded(t *testing.T) {
	const size = 100
	q := New(size)
	var held, granted atomic.Int64
	var exceeded atomic.Bool
	var users sync.WaitGroup
	for range 32 {
		users.Go(func() {
			for range 200 {
				bytes := 1 + rand.Int64N(size)
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(rand.IntN(500))*time.Microsecond)
				giveBack, err := q.Take(ctx, bytes)
				cancel()
				if err != nil {
					continue
				}
				if held.Add(bytes) > size {
					exceeded.Store(true)
				}
				granted.Add(1)
				held.Add(-bytes)
				giveBack()
			}
		})
	}
	users.Wait()
	require.False(t, exceeded.Load())
	require.Positive(t, granted.Load())
	require.Zero(t, q.Taken())
	require.Empty(t, q.waiting)
}

// The slow readers of one account took all the memory for large answers.
func TestAccountLeavesAPartOfTheQuota(t *testing.T) {
	q := New(10)
	takeFor := func(account string, bytes int64) (giveBack func()) {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		giveBack, err := q.TakeFor(ctx, account, bytes)
		require.NoError(t, err)
		return giveBack
	}
	first := takeFor("a", 3)
	waiting := make(chan func(), 1)
	go func() { waiting <- takeFor("a", 3) }()
	require.Eventually(t, func() bool {
		q.mu.Lock()
		defer q.mu.Unlock()
		return len(q.waiting) == 1
	}, time.Second, time.Millisecond)
	other := takeFor("b", 6)
	other()
	require.Empty(t, waiting)
	first()
	(<-waiting)()
	takeFor("a", 9)() // a single request may take more than the part
	require.Zero(t, q.Taken())
	require.Empty(t, q.accounts)
}
