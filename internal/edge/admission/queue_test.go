package admission

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/targets"
)

var target = &targets.Target{ID: "t"}

func TestMoreUrgentRunsGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var room atomic.Int32
		q := New(func() <-chan struct{} { return nil })
		tryReserve := func() *targets.Target {
			if room.Load() == 0 {
				return nil
			}
			room.Add(-1)
			return target
		}
		order := make(chan string, 3)
		acquire := func(name string, urgency int) {
			require.NotNil(t, q.Acquire(context.Background(), "s", urgency, tryReserve))
			order <- name
		}
		go acquire("long run 1", 1)
		synctest.Wait()
		go acquire("long run 2", 1)
		synctest.Wait()
		go acquire("summary", 0)
		synctest.Wait()
		require.Equal(t, 3, q.Len())
		for _, want := range []string{"summary", "long run 1", "long run 2"} {
			room.Store(1)
			require.Equal(t, want, <-order)
		}
	})
}

func TestAcquireReturnsNilWhenItsContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(func() <-chan struct{} { return nil })
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		started := time.Now()
		require.Nil(t, q.Acquire(ctx, "s", 1, func() *targets.Target { return nil }))
		require.Equal(t, time.Second, time.Since(started))
		require.Zero(t, q.Len())
	})
}

func TestUrgentRunOvertakesWaitingRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(func() <-chan struct{} { return nil })
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go q.Acquire(ctx, "s", 5, func() *targets.Target { return nil })
		synctest.Wait()
		require.Equal(t, target, q.Acquire(ctx, "s", 1, func() *targets.Target { return target }))
	})
}

// Choosing an engine may take a call to a hub. Meanwhile the queue must answer how long it
// is, and take further runs.
func TestQueueIsNotLockedWhileAnEngineIsChosen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(func() <-chan struct{} { return nil })
		chosen := make(chan struct{})
		overlapping, most := atomic.Int32{}, atomic.Int32{}
		choose := func() *targets.Target {
			most.Store(max(most.Load(), overlapping.Add(1)))
			defer overlapping.Add(-1)
			<-chosen
			return target
		}
		for range 3 {
			go q.Acquire(t.Context(), "s", 1, choose)
		}
		synctest.Wait()
		require.Equal(t, 3, q.Len())
		for range 3 {
			chosen <- struct{}{}
			synctest.Wait()
		}
		require.Zero(t, q.Len())
		require.EqualValues(t, 1, most.Load(), "the calls overlapped")
	})
}

// Its engines are of no use to the others.
func TestRunsOfOtherServicesDoNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(func() <-chan struct{} { return nil })
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		go q.Acquire(ctx, "full", 1, func() *targets.Target { return nil })
		synctest.Wait()
		started := time.Now()
		require.Equal(t, target, q.Acquire(ctx, "other", 1, func() *targets.Target { return target }))
		require.Zero(t, time.Since(started), "the run waited for the engines of another service")
		require.Equal(t, 1, q.Len())
	})
}
