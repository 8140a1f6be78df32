package process

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/draining"
	"corianderhitch/internal/edge/evacuation"
	"corianderhitch/internal/edge/node"
	"corianderhitch/internal/edge/peers"
	"corianderhitch/internal/edge/policy"
	"corianderhitch/internal/edge/relay"
	"corianderhitch/internal/edge/storeera"
	"corianderhitch/internal/platform"
	"corianderhitch/internal/platform/memstore"
)

// recordedStore records the reads of a store.
type recordedStore struct {
	*memstore.Store
	calls []string
}

func (s *recordedStore) Get(ctx context.Context, key string) (platform.Entry, error) {
	s.calls = append(s.calls, "get "+key)
	return s.Store.Get(ctx, key)
}

func (s *recordedStore) List(ctx context.Context, prefix, after string, limit int) ([]platform.Entry, platform.Revision, error) {
	s.calls = append(s.calls, "list "+prefix)
	return s.Store.List(ctx, prefix, after, limit)
}

func (s *recordedStore) ListStale(ctx context.Context, prefix string) ([]platform.Entry, platform.Revision, error) {
	return s.List(ctx, prefix, "", 0)
}

// newOperatorProcess returns the part of a process that reads what the operator writes.
func newOperatorProcess(n node.Node) (*Process, *recordedStore) {
	log := slog.New(slog.DiscardHandler)
	store := &recordedStore{Store: memstore.New(memstore.Options{})}
	p := &Process{log: log, node: n, store: store, eras: storeera.New(log), adapter: Adapter{
		ConfigurationKey: "o/c", OperatorPrefix: "o/",
		EvacuatedDomain: func(key string) (string, bool) { return key[len(key)-1:], key[:len(key)-1] == "o/e/" },
	}}
	p.policy = policy.NewHolder(func([]byte) (*policy.Configuration, error) { return &policy.Configuration{Version: 1}, nil })
	p.evacuated = p.newEvacuated()
	members := peers.NewMembers(log, nil, p.eras, relay.Host{Name: "host"})
	p.exchange = &peers.Exchange{Host: "host", Members: members}
	return p, store
}

func put(t *testing.T, s platform.Store, key string) {
	t.Helper()
	_, err := s.Put(t.Context(), key, []byte("{}"), platform.AnyRevision, 0)
	require.NoError(t, err)
}

// A confirmation of the configuration alone let a host that had lost its hubs go on sending to an
// evacuated domain. Each call to the store is paid for, so that one call confirms both.
func TestStoreConfirmsEvacuatedDomainsInTheSameCall(t *testing.T) {
	p, store := newOperatorProcess(node.Node{EvacuateWithin: 5 * time.Second})
	put(t, store, "o/c")
	put(t, store, "o/e/x")
	put(t, store, "o/other")
	_, err := p.confirmWithStore(t.Context())
	require.NoError(t, err)
	require.True(t, p.evacuated.Blocks("x"))
	require.False(t, p.evacuated.Blocks("y"))
	require.EqualValues(t, 1, p.policy.Current().Version)
	require.Equal(t, []string{"list o/"}, store.calls)
	require.Equal(t, "o/", p.policyPrefix())
	require.NoError(t, store.Delete(t.Context(), "o/c", platform.AnyRevision))
	_, err = p.confirmWithStore(t.Context())
	require.ErrorIs(t, err, platform.ErrNotFound, "nothing confirms a configuration that is gone")
}

// Deployments without the bound must make the same calls as before.
func TestStoreCallsWithoutEvacuationsAreAsBefore(t *testing.T) {
	p, store := newOperatorProcess(node.Node{})
	put(t, store, "o/c")
	put(t, store, "o/e/x")
	_, err := p.confirmWithStore(t.Context())
	require.NoError(t, err)
	require.Equal(t, []string{"get o/c"}, store.calls)
	require.Equal(t, "o/c", p.policyPrefix())
	require.IsType(t, &policySink{}, p.newPolicySink())
	require.False(t, p.evacuated.Blocks("x"))
}

// A host that had just started got callers, and sent their requests to an evacuated domain.
func TestHostIsReadyOnceItKnowsTheEvacuatedDomains(t *testing.T) {
	p, store := newOperatorProcess(node.Node{EvacuateWithin: 5 * time.Second})
	put(t, store, "o/c")
	p.drain = draining.New(time.Minute)
	p.targetsListed.Store(true)
	_, err := p.policy.ApplyIfNewer(nil, 1) // as from a peer of an older build
	require.NoError(t, err)
	require.False(t, p.ready())
	_, err = p.confirmWithStore(t.Context())
	require.NoError(t, err)
	require.True(t, p.ready())
}

// A restored store that lacks the evacuation must neither confirm nor end it before its era is settled.
func TestRestoredStoreConfirmsNoEndOfAnEvacuation(t *testing.T) {
	p, store := newOperatorProcess(node.Node{EvacuateWithin: 5 * time.Second})
	put(t, store, "o/c")
	older := store.Copy()
	put(t, store, "o/e/x")
	_, err := p.confirmWithStore(t.Context())
	require.NoError(t, err)
	store.Restore(older)
	p.eras.Observe(store.Era(), "test")
	_, err = p.confirmWithStore(t.Context())
	require.ErrorIs(t, err, errEraUnsettled)
	require.True(t, p.evacuated.Blocks("x"))
	p.eras.MarkSettled(store.Era())
	_, err = p.confirmWithStore(t.Context())
	require.NoError(t, err)
	require.False(t, p.evacuated.Blocks("x"))
}

// The feed of the operator's prefix must take both, whatever else is under it.
func TestOperatorFeedTakesConfigurationAndEvacuations(t *testing.T) {
	p, _ := newOperatorProcess(node.Node{EvacuateWithin: 5 * time.Second})
	sink := p.newPolicySink()
	event := func(key string, revision platform.Revision, deleted bool) platform.Event {
		return platform.Event{Entry: platform.Entry{Key: key, Revision: revision}, Deleted: deleted}
	}
	sink.Replace([]platform.Entry{{Key: "o/c", Revision: 2}, {Key: "o/e/x", Revision: 1}, {Key: "o/other"}}, 3, true)
	require.EqualValues(t, 2, p.policy.Current().Revision)
	require.True(t, p.evacuated.Blocks("x"))
	sink.Apply([]platform.Event{event("o/e/x", 4, true), event("o/c", 5, false), event("o/e/y", 6, false), event("o/e/x", 7, false), event("o/e/y", 8, true)}, 8)
	require.EqualValues(t, 5, p.policy.Current().Revision)
	require.Equal(t, evacuation.Snapshot{Known: true, Domains: []string{"x"}, Revision: 8}, p.evacuated.Snapshot())
}

// Whoever the hubs are, a host must ask the store in time, and must not accept requests with a
// confirmation that is older than the bound allows.
func TestHostConfirmsWithinTheBoundOfAnEvacuation(t *testing.T) {
	p, _ := newOperatorProcess(node.Node{EvacuateWithin: 2 * time.Second, ApplyWithin: 10 * time.Second, RevokeWithin: 10 * time.Second, RevokeStrict: true})
	require.LessOrEqual(t, p.confirmPeriod()+secondSourceDelay+300*time.Millisecond, 2*time.Second)
	require.Less(t, p.maxKeyAge(), 2*time.Second)
	require.Less(t, p.confirmPeriod(), p.maxKeyAge())
}
