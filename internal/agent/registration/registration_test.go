package registration

import (
	"context"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/api/control"
	"corianderhitch/internal/logging"
	"corianderhitch/internal/platform/memstore"
)

// fakeFleet records the members that a Registration has found.
type fakeFleet struct {
	self control.Member
	mu   sync.Mutex
	seen map[string]bool
}

func (f *fakeFleet) Self() control.Member { return f.self }
func (f *fakeFleet) Live() []control.Member {
	return []control.Member{f.self, {Host: "another"}}
}
func (f *fakeFleet) DiscoverMembers(members []control.Member) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seen = make(map[string]bool)
	for _, m := range members {
		f.seen[m.Host] = true
	}
	return 0
}
func (f *fakeFleet) SetStoreReachable(bool) {}
func (f *fakeFleet) discovered() map[string]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.seen)
}

func listed(t *testing.T, store *memstore.Store) int {
	entries, _, err := store.List(t.Context(), "/corianderhitch/agents/trial/", "", 0)
	require.NoError(t, err)
	return len(entries)
}

func TestEntryExistsAsLongAsItsHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New(memstore.Options{})
		store.SetFault(memstore.Fault{LoseNext: 2})
		a := Start(logging.Discard(), store, &fakeFleet{self: control.Member{Host: "a"}}, "trial")
		fleet := &fakeFleet{self: control.Member{Host: "b"}}
		b := Start(logging.Discard(), store, fleet, "trial")
		time.Sleep(time.Minute)
		require.Equal(t, 2, listed(t, store), "an entry whose write lost its answer is written again")
		require.Equal(t, map[string]bool{"a": true, "b": true}, fleet.discovered())

		store.SetFault(memstore.Fault{Outage: true})
		time.Sleep(2 * leaseTTL)
		store.SetFault(memstore.Fault{})
		time.Sleep(2 * retryInterval)
		require.Equal(t, 2, listed(t, store), "registered again after an outage longer than the lease")

		writes := store.Counts().Writes
		time.Sleep(10 * time.Minute)
		require.LessOrEqual(t, store.Counts().Writes-writes, int64(2*11), "one renewal a minute")
		a.Stop(context.Background())
		require.Equal(t, 1, listed(t, store), "a host that stops removes its entry")
		b.Stop(context.Background())
	})
}
