package memstore

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"corianderhitch/internal/platform"
)

func TestCompareAndSwap(t *testing.T) {
	tests := []struct {
		name      string
		exists    bool
		condition platform.Revision
		err       error
	}{
		{"absent key, must be absent", false, platform.Absent, nil},
		{"absent key, any", false, platform.AnyRevision, nil},
		{"absent key, wrong revision", false, 7, platform.ErrConflict},
		{"existing key, must be absent", true, platform.Absent, platform.ErrConflict},
		{"existing key, any", true, platform.AnyRevision, nil},
		{"existing key, right revision", true, 1, nil},
		{"existing key, wrong revision", true, 2, platform.ErrConflict},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ctx := t.Context()
			put, remove := New(Options{}), New(Options{})
			for _, s := range []*Store{put, remove} {
				if test.exists {
					_, err := s.Put(ctx, "k", []byte("old"), platform.Absent, 0)
					require.NoError(t, err)
				}
			}
			_, err := put.Put(ctx, "k", []byte("new"), test.condition, 0)
			require.ErrorIs(t, err, test.err)
			require.ErrorIs(t, remove.Delete(ctx, "k", test.condition), test.err)
		})
	}
}

func TestLimits(t *testing.T) {
	s := New(Options{ReadsPerSecond: 2, WritesPerSecond: 1, Now: func() time.Time { return time.Unix(1, 0) }})
	_, err := s.Put(t.Context(), "k", make([]byte, platform.MaxValueBytes+1), platform.AnyRevision, 0)
	require.ErrorIs(t, err, platform.ErrTooLarge)
	_, err = s.Put(t.Context(), "k", make([]byte, platform.MaxValueBytes), platform.AnyRevision, 0)
	require.NoError(t, err)
	_, err = s.Put(t.Context(), "k", nil, platform.AnyRevision, 0)
	require.ErrorIs(t, err, platform.ErrRateLimited)
	for range 2 {
		_, err = s.Get(t.Context(), "k")
		require.NoError(t, err)
	}
	_, err = s.Get(t.Context(), "k")
	require.ErrorIs(t, err, platform.ErrRateLimited)
	require.EqualValues(t, 2, s.Counts().RateLimited)
}

func TestListPages(t *testing.T) {
	s := New(Options{})
	for _, key := range []string{"b/2", "a/1", "b/1", "c/1", "b/3"} {
		_, err := s.Put(t.Context(), key, nil, platform.Absent, 0)
		require.NoError(t, err)
	}
	var keys []string
	after := ""
	for {
		page, revision, err := s.List(t.Context(), "b/", after, 2)
		require.NoError(t, err)
		require.EqualValues(t, 5, revision)
		if len(page) == 0 {
			break
		}
		for _, e := range page {
			keys = append(keys, e.Key)
		}
		after = keys[len(keys)-1]
	}
	require.Equal(t, []string{"b/1", "b/2", "b/3"}, keys)
}

func TestExpiredLeaseDeletesKeysAndEndsWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		s := New(Options{})
		id, err := s.Grant(ctx, 3*time.Second)
		require.NoError(t, err)
		revision, err := s.Put(ctx, "owner", []byte("a"), platform.Absent, id)
		require.NoError(t, err)
		time.Sleep(2 * time.Second)
		require.NoError(t, s.KeepAlive(ctx, id))
		start := time.Now()
		events, _, err := s.Watch(ctx, "owner", revision)
		require.NoError(t, err)
		require.Equal(t, 3*time.Second, time.Since(start), "the ttl counts from the last KeepAlive")
		require.Len(t, events, 1)
		require.True(t, events[0].Deleted)
		require.ErrorIs(t, s.KeepAlive(ctx, id), platform.ErrLeaseExpired)
		_, err = s.Put(ctx, "owner", nil, platform.Absent, id)
		require.ErrorIs(t, err, platform.ErrLeaseExpired)
	})
}

func TestPutMovesKeyToNewLease(t *testing.T) {
	ctx := t.Context()
	s := New(Options{})
	first, err := s.Grant(ctx, time.Hour)
	require.NoError(t, err)
	second, err := s.Grant(ctx, time.Hour)
	require.NoError(t, err)
	for _, id := range []platform.LeaseID{first, second} {
		_, err = s.Put(ctx, "k", nil, platform.AnyRevision, id)
		require.NoError(t, err)
	}
	require.NoError(t, s.Revoke(ctx, first))
	_, err = s.Get(ctx, "k")
	require.NoError(t, err)
	require.NoError(t, s.Revoke(ctx, second))
	_, err = s.Get(ctx, "k")
	require.ErrorIs(t, err, platform.ErrNotFound)
}

func TestWatchEndsAtPollLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{})
		done := make(chan error)
		go func() {
			_, _, err := s.Watch(t.Context(), "x", 0)
			done <- err
		}()
		synctest.Wait()
		require.Equal(t, 1, s.Counts().WaitingWatches)
		_, err := s.Put(t.Context(), "other", nil, platform.Absent, 0)
		require.NoError(t, err)
		start := time.Now()
		require.NoError(t, <-done)
		require.Equal(t, defaultPollLimit, time.Since(start))
		require.Zero(t, s.Counts().WaitingWatches)
		require.Equal(t, 1, s.Counts().PeakWatches)
	})
}

func TestOutageEndsWaitingWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{})
		done := make(chan error)
		go func() {
			_, _, err := s.Watch(t.Context(), "x", 0)
			done <- err
		}()
		synctest.Wait()
		s.SetFault(Fault{Outage: true})
		require.ErrorIs(t, <-done, platform.ErrUnavailable)
		_, err := s.Put(t.Context(), "k", nil, platform.AnyRevision, 0)
		require.ErrorIs(t, err, platform.ErrUnavailable)
		s.SetFault(Fault{})
		_, err = s.Get(t.Context(), "k")
		require.ErrorIs(t, err, platform.ErrNotFound, "the rejected write had no effect")
	})
}

func TestWatchOfCompactedRevision(t *testing.T) {
	s := New(Options{HistoryEvents: 2})
	for range 4 {
		_, err := s.Put(t.Context(), "k", nil, platform.AnyRevision, 0)
		require.NoError(t, err)
	}
	_, _, err := s.Watch(t.Context(), "", 1)
	require.ErrorIs(t, err, platform.ErrCompacted)
	events, revision, err := s.Watch(t.Context(), "", 2)
	require.NoError(t, err)
	require.Len(t, events, 2)
	require.EqualValues(t, 4, revision)
	_, _, err = s.Watch(t.Context(), "", 9)
	require.ErrorIs(t, err, platform.ErrCompacted, "a revision that the store has not reached")
}

func TestLostAnswers(t *testing.T) {
	s := New(Options{})
	s.SetFault(Fault{LoseNext: 1, Prefix: "a/"})
	_, err := s.Put(t.Context(), "b/1", nil, platform.Absent, 0)
	require.NoError(t, err, "the fault is limited to another prefix")
	_, err = s.Put(t.Context(), "a/1", []byte("v"), platform.Absent, 0)
	require.ErrorIs(t, err, platform.ErrOutcomeUnknown)
	e, err := s.Get(t.Context(), "a/1")
	require.NoError(t, err, "the write took effect")
	require.Equal(t, []byte("v"), e.Value)
	_, err = s.Put(t.Context(), "a/2", nil, platform.Absent, 0)
	require.NoError(t, err, "only one answer is lost")
}

func TestLostAnswersAreReproducible(t *testing.T) {
	pattern := func(seed uint64) string {
		s := New(Options{Seed: seed})
		s.SetFault(Fault{LoseAnswers: 0.5})
		var out bytes.Buffer
		for i := range 64 {
			_, err := s.Put(t.Context(), fmt.Sprint(i), nil, platform.Absent, 0)
			fmt.Fprint(&out, errors.Is(err, platform.ErrOutcomeUnknown))
		}
		return out.String()
	}
	require.Equal(t, pattern(1), pattern(1))
	require.NotEqual(t, pattern(1), pattern(2))
}

func TestDelayedWriteTakesEffectAfterCallerTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{})
		s.SetFault(Fault{RequestDelay: 3 * time.Second})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := s.Put(ctx, "k", nil, platform.Absent, 0)
		require.ErrorIs(t, err, platform.ErrOutcomeUnknown)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.Zero(t, s.Counts().Keys)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		require.Equal(t, 1, s.Counts().Keys)
	})
}

func TestHostListLags(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New(Options{Now: func() time.Time { return now }})
	s.SetFault(Fault{HostListLag: 10 * time.Second})
	s.SetTargets([]platform.Target{{Name: "e1"}, {Name: "e2"}})
	now = now.Add(10 * time.Second)
	require.True(t, s.MarkLeaving("e1"))
	require.False(t, s.MarkLeaving("e9"))
	now = now.Add(9 * time.Second)
	targets, err := s.Targets(t.Context())
	require.NoError(t, err)
	require.Equal(t, []platform.Target{{Name: "e1"}, {Name: "e2"}}, targets)
	now = now.Add(time.Second)
	targets, err = s.Targets(t.Context())
	require.NoError(t, err)
	require.Equal(t, []platform.Target{{Name: "e1", Leaving: true}, {Name: "e2"}}, targets)
}

// storeMachine compares a Store with a map as its model, and with a mirror that is
// kept up to date by a watch.
type storeMachine struct {
	store          *Store
	now            time.Time
	model          map[string]platform.Entry
	leaseExpiry    map[platform.LeaseID]time.Time
	mirror         map[string]platform.Entry
	mirrorRevision platform.Revision
}

const leaseTTL = 5 * time.Second

var keys = rapid.SampledFrom([]string{"a/1", "a/2", "b/1", "b/2"})

func (m *storeMachine) condition(t *rapid.T, key string) platform.Revision {
	current := m.model[key].Revision
	return rapid.SampledFrom([]platform.Revision{platform.AnyRevision, platform.Absent, current, current + 1}).Draw(t, "condition")
}

func (m *storeMachine) conditionHolds(key string, condition platform.Revision) bool {
	return condition == platform.AnyRevision || m.model[key].Revision == condition
}

func (m *storeMachine) put(t *rapid.T) {
	key := keys.Draw(t, "key")
	condition := m.condition(t, key)
	value := rapid.SliceOfN(rapid.Byte(), 1, 3).Draw(t, "value")
	lease := platform.LeaseID(rapid.IntRange(0, len(m.leaseExpiry)).Draw(t, "lease"))
	m.store.SetFault(Fault{LoseNext: rapid.IntRange(0, 1).Draw(t, "lose")})
	revision, err := m.store.Put(context.Background(), key, value, condition, lease)
	lost := errors.Is(err, platform.ErrOutcomeUnknown)
	m.store.SetFault(Fault{})
	expired := lease != 0 && !m.leaseExpiry[lease].After(m.now)
	switch {
	case !m.conditionHolds(key, condition):
		require.True(t, lost || errors.Is(err, platform.ErrConflict))
	case expired:
		require.True(t, lost || errors.Is(err, platform.ErrLeaseExpired))
	default:
		require.True(t, lost || err == nil)
		e, getErr := m.store.Get(context.Background(), key)
		require.NoError(t, getErr)
		require.True(t, lost || revision == e.Revision)
		require.Greater(t, e.Revision, m.model[key].Revision)
		m.model[key] = platform.Entry{Key: key, Value: value, Revision: e.Revision, Lease: lease}
	}
}

func (m *storeMachine) remove(t *rapid.T) {
	key := keys.Draw(t, "key")
	condition := m.condition(t, key)
	err := m.store.Delete(context.Background(), key, condition)
	if !m.conditionHolds(key, condition) {
		require.ErrorIs(t, err, platform.ErrConflict)
		return
	}
	require.NoError(t, err)
	delete(m.model, key)
}

func (m *storeMachine) grant(t *rapid.T) {
	id, err := m.store.Grant(context.Background(), leaseTTL)
	require.NoError(t, err)
	m.leaseExpiry[id] = m.now.Add(leaseTTL)
}

func (m *storeMachine) keepAlive(t *rapid.T) {
	if len(m.leaseExpiry) == 0 {
		return
	}
	id := platform.LeaseID(rapid.IntRange(1, len(m.leaseExpiry)).Draw(t, "lease"))
	err := m.store.KeepAlive(context.Background(), id)
	if !m.leaseExpiry[id].After(m.now) {
		require.ErrorIs(t, err, platform.ErrLeaseExpired)
		return
	}
	require.NoError(t, err)
	m.leaseExpiry[id] = m.now.Add(leaseTTL)
}

func (m *storeMachine) advanceClock(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 4).Draw(t, "seconds")) * time.Second)
	m.store.ExpireLeases()
	for key, e := range m.model {
		if e.Lease != 0 && !m.leaseExpiry[e.Lease].After(m.now) {
			delete(m.model, key)
		}
	}
}

// syncMirror brings the mirror up to date by a watch, or by a list after the history
// was compacted.
func (m *storeMachine) syncMirror(t *rapid.T) {
	if m.mirrorRevision == m.store.Counts().Revision {
		return
	}
	events, revision, err := m.store.Watch(context.Background(), "", m.mirrorRevision)
	if errors.Is(err, platform.ErrCompacted) {
		var entries []platform.Entry
		entries, revision, err = m.store.List(context.Background(), "", "", 0)
		require.NoError(t, err)
		clear(m.mirror)
		for _, e := range entries {
			m.mirror[e.Key] = e
		}
	}
	require.NoError(t, err)
	for _, e := range events {
		require.Greater(t, e.Entry.Revision, m.mirrorRevision, "events come in order")
		m.mirrorRevision = e.Entry.Revision
		if e.Deleted {
			delete(m.mirror, e.Entry.Key)
		} else {
			m.mirror[e.Entry.Key] = e.Entry
		}
	}
	m.mirrorRevision = revision
	require.Equal(t, m.model, m.mirror, "the watch reported every change")
}

func (m *storeMachine) check(t *rapid.T) {
	entries, _, err := m.store.List(context.Background(), "", "", 0)
	require.NoError(t, err)
	listed := make(map[string]platform.Entry)
	for _, e := range entries {
		listed[e.Key] = e
	}
	require.Equal(t, m.model, listed)
}

func TestStoreMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &storeMachine{
			now:         time.Unix(1000, 0),
			model:       make(map[string]platform.Entry),
			leaseExpiry: make(map[platform.LeaseID]time.Time),
			mirror:      make(map[string]platform.Entry),
		}
		m.store = New(Options{HistoryEvents: 6, Now: func() time.Time { return m.now }})
		t.Repeat(map[string]func(*rapid.T){
			"put": m.put, "delete": m.remove, "grant": m.grant, "keepAlive": m.keepAlive,
			"wait": m.advanceClock, "follow": m.syncMirror, "": m.check,
		})
	})
}
