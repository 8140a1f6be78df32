package modelplacement

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"corianderhitch/api/control"
	"corianderhitch/api/engine"
	"corianderhitch/internal/agent/docsync"
	"corianderhitch/internal/document"
	"corianderhitch/internal/enginemodel"
	"corianderhitch/internal/logging"
	"corianderhitch/internal/platform"
	"corianderhitch/internal/platform/memstore"
	"corianderhitch/internal/rendezvous"
)

// fixture holds engines, the document and the fencing tokens of the orders that
// reached the engines.
type fixture struct {
	mu            sync.Mutex
	engines       map[string]*enginemodel.Engine
	fencingTokens []int64 // of orders that arrived, in order
	answersToLose int     // number of orders to apply without an answer
	document      document.Document
}

func newFixture(mode enginemodel.FenceMode, replicas int) *fixture {
	f := &fixture{engines: make(map[string]*enginemodel.Engine)}
	for _, name := range []string{"e1", "e2", "e3"} {
		f.engines[name] = enginemodel.New(enginemodel.Config{Name: name, Fence: mode, LoadTime: 2 * time.Second})
	}
	f.document = document.Document{Placements: []document.Placement{{Model: "writer", Version: "1", Replicas: replicas}}}
	return f
}

// loaded counts the versions that all engines have loaded.
func (f *fixture) loaded() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, e := range f.engines {
		count += len(e.OrderState(time.Now()).Loaded)
	}
	return count
}

// fakeHost is the Fleet and the OrderClient of one host.
type fakeHost struct {
	*fixture
	name string
	mu   sync.Mutex
	gate chan struct{} // while set, orders wait here before they are sent
}

func (h *fakeHost) Self() control.Member { return control.Member{Host: h.name} }
func (h *fakeHost) Live() []control.Member {
	return []control.Member{{Host: "h1"}, {Host: "h2"}}
}
func (h *fakeHost) Document() docsync.Current {
	return docsync.Current{Revision: 1, Document: &h.document}
}
func (h *fakeHost) Targets(now time.Time) []control.TargetState {
	h.fixture.mu.Lock()
	defer h.fixture.mu.Unlock()
	var rows []control.TargetState
	for _, name := range []string{"e1", "e2", "e3"} {
		rows = append(rows, control.TargetState{
			Target:  platform.Target{Name: name, Address: name, Kind: platform.TargetEngine, Domain: name},
			Healthy: true, Load: h.engines[name].Load(now),
		})
	}
	return rows
}

func (h *fakeHost) Send(_ context.Context, address string, order engine.Order) (engine.OrderResult, error) {
	h.mu.Lock()
	gate := h.gate
	h.mu.Unlock()
	if gate != nil {
		<-gate // a suspended process: its timeout doesn't run
	}
	h.fixture.mu.Lock()
	defer h.fixture.mu.Unlock()
	h.fencingTokens = append(h.fencingTokens, order.Fence)
	result, err := h.engines[address].Order(time.Now(), order)
	if err != nil {
		return result, eris.Wrap(ErrFenced, err.Error())
	}
	if h.answersToLose > 0 {
		h.answersToLose--
		return engine.OrderResult{}, context.DeadlineExceeded
	}
	return result, nil
}

func (h *fakeHost) State(_ context.Context, address string) (engine.OrderState, error) {
	h.fixture.mu.Lock()
	defer h.fixture.mu.Unlock()
	return h.engines[address].OrderState(time.Now()), nil
}

func (h *fakeHost) setGate(gate chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.gate = gate
}

func startController(f *fixture, store platform.Store, name string) (*Controller, *fakeHost) {
	h := &fakeHost{fixture: f, name: name}
	return Start(logging.Discard(), store, h, h, "test"), h
}

func TestControllerLoadsDespiteOutageAndLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New(memstore.Options{})
		store.SetFault(memstore.Fault{LoseAnswers: 0.5})
		f := newFixture(enginemodel.FenceStrict, 2)
		f.answersToLose = 1
		first, _ := startController(f, store, "h1")
		second, _ := startController(f, store, "h2")
		time.Sleep(3 * time.Minute)
		require.Equal(t, 2, f.loaded())
		require.Less(t, len(f.fencingTokens), 8, "orders are repeated without end")
		store.SetFault(memstore.Fault{Outage: true})
		time.Sleep(time.Minute)
		require.Equal(t, 2, f.loaded())
		store.SetFault(memstore.Fault{})
		first.Stop(context.Background())
		second.Stop(context.Background())
	})
}

// TestControllerFrozenPastItsLease suspends a controller between its check of the
// lease and its order until another host has taken over. The late order must be
// rejected by its fencing token, or be corrected by the new holder if the engine
// ignores tokens.
func TestControllerFrozenPastItsLease(t *testing.T) {
	for _, mode := range []enginemodel.FenceMode{enginemodel.FenceStrict, enginemodel.FenceLax} {
		t.Run(string(mode), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testFrozenController(t, mode) })
		})
	}
}

func testFrozenController(t *testing.T, mode enginemodel.FenceMode) {
	store := memstore.New(memstore.Options{})
	f := newFixture(mode, 1)
	ranked := rendezvous.Ranked("placement", []string{"h1", "h2"})
	gate := make(chan struct{})
	first, firstHost := startController(f, store, ranked[0])
	firstHost.setGate(gate) // between the lease's check and the order
	second, _ := startController(f, store, ranked[1])
	time.Sleep(2 * time.Minute)
	require.Equal(t, 1, f.loaded(), "the second host did not take over")
	orders := len(f.fencingTokens)
	require.Positive(t, orders)
	latest := f.fencingTokens[orders-1]

	close(gate)
	time.Sleep(5 * time.Minute)
	require.Greater(t, len(f.fencingTokens), orders, "the delayed order did not arrive")
	require.Less(t, f.fencingTokens[orders], latest, "the delayed order must carry the old fencing token")
	require.Equal(t, 1, f.loaded(), "the delayed order was neither rejected nor corrected")
	first.Stop(context.Background())
	second.Stop(context.Background())
}

func TestLeaseDoesNotCoverOrderWithoutMargin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New(memstore.Options{})
		lease := NewLease(store, "test", "h1")
		require.NoError(t, lease.AcquireOrRenew(t.Context()))
		require.True(t, lease.CoversOrder(time.Now()))
		require.False(t, lease.EarlierOrdersEnded(time.Now()), "an order of the previous holder may be in transit")
		token := lease.FencingToken()
		time.Sleep(leaseTTL - orderTimeout - safetyMargin)
		require.False(t, lease.CoversOrder(time.Now()), "less than the safety margin remains")
		require.NoError(t, lease.AcquireOrRenew(t.Context()))
		require.True(t, lease.CoversOrder(time.Now()))

		other := NewLease(store, "test", "h2")
		require.ErrorIs(t, other.AcquireOrRenew(t.Context()), ErrLeaseHeld)
		time.Sleep(leaseTTL + time.Second)
		require.NoError(t, other.AcquireOrRenew(t.Context()))
		require.Greater(t, other.FencingToken(), token)
		require.ErrorIs(t, lease.AcquireOrRenew(t.Context()), ErrLeaseHeld)
		require.Zero(t, lease.FencingToken())
	})
}
