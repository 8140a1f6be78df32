package process

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/node"
	"corianderhitch/internal/platform"
	"corianderhitch/internal/platform/memstore"
)

func (s *recordedStore) Changes(ctx context.Context, prefix string, after platform.Revision) ([]platform.Event, platform.Revision, error) {
	s.calls = append(s.calls, "changes "+prefix)
	return s.Store.Changes(ctx, prefix, after)
}

// putLarge writes a configuration that is not read again as a whole.
func putLarge(t *testing.T, s platform.Store) {
	t.Helper()
	_, err := s.Put(t.Context(), "o/c", make([]byte, smallConfiguration+1), platform.AnyRevision, 0)
	require.NoError(t, err)
}

// Each confirmation by the store read the whole configuration, at all hosts at once when the hubs were lost.
func TestConfirmationsReadTheWholeConfigurationOnce(t *testing.T) {
	for name, n := range map[string]node.Node{"o/c": {}, "o/": {EvacuateWithin: 5 * time.Second}} {
		t.Run(name, func(t *testing.T) {
			p, store := newOperatorProcess(n)
			confirm := func() error {
				store.calls = nil
				_, err := p.confirmWithStore(t.Context())
				return err
			}
			putLarge(t, store)
			require.NoError(t, confirm())
			require.Len(t, store.calls, 1)
			for range 3 {
				put(t, store, "other")
				require.NoError(t, confirm())
				require.Equal(t, []string{"changes " + name}, store.calls)
			}
			putLarge(t, store)
			require.NoError(t, confirm())
			require.Equal(t, []string{"changes " + name}, store.calls)
			require.EqualValues(t, 5, p.policy.Current().Revision)
			put(t, store, "o/e/x")
			require.NoError(t, confirm())
			require.Equal(t, n.EvacuateWithin > 0, p.evacuated.Blocks("x"))

			asOf, err := p.catchUp(t.Context())
			require.NoError(t, err)
			require.Equal(t, p.operator.AsOf(), asOf)
		})
	}
}

// The configuration in force was written in an earlier era and not since; a host that knew that all of the new
// era is in force could not confirm it.
func TestConfigurationOfAnEarlierEraIsConfirmedByChanges(t *testing.T) {
	p, store := newOperatorProcess(node.Node{})
	putLarge(t, store)
	_, err := p.confirmWithStore(t.Context())
	require.NoError(t, err)
	store.Restore(store.Copy())
	p.eras.Observe(store.Era(), "test")
	p.eras.MarkSettled(store.Era())
	p.operator.Advance(platform.NewRevision(store.Era(), 1)) // as another host states
	store.calls = nil
	_, err = p.confirmWithStore(t.Context())
	require.NoError(t, err)
	require.Equal(t, []string{"changes o/c"}, store.calls)
}

// The store drops its history: the changes since the last confirmation are not known.
func TestConfirmationWithoutHistoryReadsAll(t *testing.T) {
	p, store := newOperatorProcess(node.Node{})
	store.Store = memstore.New(memstore.Options{HistoryEvents: 2})
	putLarge(t, store)
	_, err := p.confirmWithStore(t.Context())
	require.NoError(t, err)
	putLarge(t, store)
	for range 5 {
		put(t, store, "other")
	}
	store.calls = nil
	_, err = p.confirmWithStore(t.Context())
	require.NoError(t, err)
	require.Equal(t, []string{"changes o/c", "list o/c"}, store.calls)
	require.EqualValues(t, 2, p.policy.Current().Revision)
}

// A configuration that can't be decoded must not count as in force because nothing comes after it.
func TestUnusableConfigurationIsNeverConfirmed(t *testing.T) {
	p, store := newOperatorProcess(node.Node{})
	putLarge(t, store)
	_, err := p.confirmWithStore(t.Context())
	require.NoError(t, err)
	sink := p.newPolicySink()
	read := operatorRead{found: true, invalid: platform.ErrNotFound}
	p.knowAllUntil(2, &read)
	sink.Apply(nil, 9)
	require.EqualValues(t, 1, p.operator.AsOf())
	store.calls = nil
	_, err = p.confirmWithStore(t.Context())
	require.NoError(t, err)
	require.Equal(t, []string{"list o/c"}, store.calls)
	require.False(t, p.operator.unusable.Load())
}
