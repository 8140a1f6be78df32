package process

import (
	"context"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/peers"
	"corianderhitch/internal/platform"
	"corianderhitch/internal/platform/memstore"
)

// staleListStore adds ListStale to an in-memory store.
type staleListStore struct{ *memstore.Store }

func (l staleListStore) ListStale(ctx context.Context, prefix string) ([]platform.Entry, platform.Revision, error) {
	return l.List(ctx, prefix, "", 0)
}

var _ peers.Store = staleListStore{}

func TestStoreCallsAreCountedByResult(t *testing.T) {
	counts := make(map[string]int)
	inner := staleListStore{memstore.New(memstore.Options{})}
	s := &countedStore{Store: inner, count: func(call, result string) { counts[call+" "+result]++ }, observeEra: func(int64, string) {}}
	ctx := t.Context()
	_, err := s.Get(ctx, "a")
	require.ErrorIs(t, err, platform.ErrNotFound)
	lease, err := s.Grant(ctx, time.Minute)
	require.NoError(t, err)
	_, err = s.Put(ctx, "a", []byte("x"), platform.Absent, lease)
	require.NoError(t, err)
	_, err = s.Put(ctx, "a", []byte("x"), platform.Absent, lease)
	require.ErrorIs(t, err, platform.ErrConflict)
	_, _, err = s.List(ctx, "a", "", 0)
	require.NoError(t, err)
	_, _, err = s.ListStale(ctx, "a")
	require.NoError(t, err)
	_, _, err = s.Watch(ctx, "a", 0)
	require.NoError(t, err)
	require.NoError(t, s.Revoke(ctx, lease))
	require.ErrorIs(t, s.KeepAlive(ctx, lease), platform.ErrLeaseExpired)
	inner.SetFault(memstore.Fault{Outage: true})
	_, err = s.Get(ctx, "a")
	require.Error(t, err)
	require.Equal(t, map[string]int{
		"get not_found": 1, "grant ok": 1, "put ok": 1, "put conflict": 1, "list ok": 1, "list_stale ok": 1, "watch ok": 1,
		"revoke ok": 1, "keep_alive lease_expired": 1, "get unavailable": 1,
	}, counts)
	require.Equal(t, "failed", resultLabel(eris.New("another error")))
}
