package memstore

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/platform"
)

// A restored store has lost the writes and leases since the copy and gives out their
// revisions and lease ids again. A reader that kept a revision must notice.
func TestRestoredStoreLosesWritesSinceTheCopy(t *testing.T) {
	ctx := t.Context()
	s := New(Options{})
	kept, err := s.Put(ctx, "kept", []byte("1"), platform.Absent, 0)
	require.NoError(t, err)
	c := s.Copy()
	lease, err := s.Grant(ctx, time.Minute)
	require.NoError(t, err)
	lost, err := s.Put(ctx, "lost", nil, platform.Absent, lease)
	require.NoError(t, err)
	s.Restore(c)
	require.EqualValues(t, 1, s.Era())
	_, err = s.Get(ctx, "lost")
	require.ErrorIs(t, err, platform.ErrNotFound)
	require.ErrorIs(t, s.KeepAlive(ctx, lease), platform.ErrLeaseExpired)
	_, _, err = s.Watch(ctx, "", kept)
	require.ErrorIs(t, err, platform.ErrCompacted)
	_, err = s.Put(ctx, "kept", []byte("2"), kept, 0)
	require.ErrorIs(t, err, platform.ErrConflict, "a condition on a revision of the earlier era")
	again, err := s.Put(ctx, "other", nil, platform.Absent, 0)
	require.NoError(t, err)
	require.Equal(t, lost.Number(), again.Number())
	require.Greater(t, again, lost)
	reused, err := s.Grant(ctx, time.Minute)
	require.NoError(t, err)
	require.Equal(t, lease, reused)
}

func TestRestoreWakesBlockedWatches(t *testing.T) {
	s := New(Options{})
	c := s.Copy()
	done := make(chan error)
	go func() {
		_, _, err := s.Watch(t.Context(), "", 0)
		done <- err
	}()
	require.Eventually(t, func() bool { return s.Counts().WaitingWatches == 1 }, time.Second, time.Millisecond)
	s.Restore(c)
	require.ErrorIs(t, <-done, platform.ErrCompacted)
}
