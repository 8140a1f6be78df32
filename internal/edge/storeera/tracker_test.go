package storeera

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/platform"
	"corianderhitch/internal/platform/memstore"
)

func newTracker() *Tracker { return New(slog.New(slog.DiscardHandler)) }

func TestEraWithoutRestoreIsSettled(t *testing.T) {
	tracker := newTracker()
	tracker.Observe(0, "store")
	require.True(t, tracker.Settled(0))
}

// A host that starts right after a restore has not seen the era before: it can't tell it
// from one that began long ago.
func TestNewEraIsSettledAfterAWhile(t *testing.T) {
	tracker := newTracker()
	tracker.Observe(3, "store")
	require.False(t, tracker.Settled(3))
	tracker.Observe(2, "late answer")
	require.Equal(t, int64(3), tracker.Current())
	require.False(t, tracker.Settled(2), "an era that has ended says nothing about the current one")
	tracker.mu.Lock()
	tracker.seenAt = tracker.seenAt.Add(-SettlePeriod)
	tracker.mu.Unlock()
	require.True(t, tracker.Settled(3))
	require.Equal(t, int64(3), tracker.SettledEra())
	tracker.Observe(4, "store")
	require.False(t, tracker.Settled(4), "the store was restored again")
	require.Zero(t, tracker.SettledEra())
}

func TestOtherHostsKnowThatTheEraIsSettled(t *testing.T) {
	tracker := newTracker()
	tracker.Observe(3, "store")
	tracker.MarkSettled(2)
	require.False(t, tracker.Settled(3))
	tracker.MarkSettled(3)
	require.True(t, tracker.Settled(3))
}

// The marker spares hosts that start later the wait. The marker of an earlier era, which a
// restored copy holds, must not.
func TestMarkerNamesTheEraThatIsSettled(t *testing.T) {
	store := memstore.New(memstore.Options{})
	store.Restore(store.Copy())
	first := newTracker()
	first.Observe(store.Era(), "store")
	require.False(t, first.readMarker(t.Context(), store, 1))
	require.True(t, first.writeMarker(t.Context(), store, 1))
	second := newTracker()
	second.Observe(store.Era(), "store")
	require.True(t, second.readMarker(t.Context(), store, 1))
	require.True(t, second.Settled(1))
	store.Restore(store.Copy())
	third := newTracker()
	third.Observe(store.Era(), "store")
	require.False(t, third.readMarker(t.Context(), store, 2))
	require.False(t, third.Settled(2))
}

func TestRunWritesTheMarkerOncePerEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &countingStore{Store: memstore.New(memstore.Options{})}
		store.Restore(store.Copy())
		tracker := newTracker()
		tracker.Observe(1, "store")
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { tracker.Run(ctx, store, func() bool { return true }) })
		tracker.MarkSettled(1)
		time.Sleep(10 * time.Second)
		require.EqualValues(t, 1, store.puts.Load())
		cancel()
		running.Wait()
	})
}

// countingStore counts writes.
type countingStore struct {
	*memstore.Store
	puts atomic.Int32
}

func (s *countingStore) Put(ctx context.Context, key string, value []byte, ifRevision platform.Revision, lease platform.LeaseID) (platform.Revision, error) {
	s.puts.Add(1)
	return s.Store.Put(ctx, key, value, ifRevision, lease)
}
