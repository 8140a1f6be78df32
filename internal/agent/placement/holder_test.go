package placement

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

// world holds engines and the order log that the engines saw.
type world struct {
	mu       sync.Mutex
	engines  map[string]*enginemodel.Engine
	fences   []int64 // of orders that arrived, in order
	lose     int     // answers to lose
	document document.Document
}

func newWorld(mode enginemodel.FenceMode, replicas int) *world {
	w := &world{engines: make(map[string]*enginemodel.Engine)}
	for _, name := range []string{"e1", "e2", "e3"} {
		w.engines[name] = enginemodel.New(enginemodel.Config{Name: name, Fence: mode, LoadTime: 2 * time.Second})
	}
	w.document = document.Document{Placements: []document.Placement{{Model: "writer", Version: "1", Replicas: replicas}}}
	return w
}

// loaded counts the engines that serve the placed version.
func (w *world) loaded() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for _, e := range w.engines {
		count += len(e.OrderState(time.Now()).Loaded)
	}
	return count
}

// host is one host's view of the world: its Fleet and its Orders.
type host struct {
	*world
	name string
	mu   sync.Mutex
	hold chan struct{} // while set, orders wait here before they leave
}

func (h *host) Self() control.Member { return control.Member{Host: h.name} }
func (h *host) Live() []control.Member {
	return []control.Member{{Host: "h1"}, {Host: "h2"}}
}
func (h *host) Document() docsync.Current { return docsync.Current{Revision: 1, Document: &h.document} }
func (h *host) Targets(now time.Time) []control.TargetState {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	var rows []control.TargetState
	for _, name := range []string{"e1", "e2", "e3"} {
		rows = append(rows, control.TargetState{
			Target:  platform.Target{Name: name, Address: name, Kind: platform.TargetEngine, Domain: name},
			Healthy: true, Load: h.engines[name].Load(now),
		})
	}
	return rows
}

func (h *host) Send(_ context.Context, address string, order engine.Order) (engine.OrderResult, error) {
	h.mu.Lock()
	hold := h.hold
	h.mu.Unlock()
	if hold != nil {
		<-hold // the process is frozen here: its timeout does not run
	}
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	h.fences = append(h.fences, order.Fence)
	result, err := h.engines[address].Order(time.Now(), order)
	if err != nil {
		return result, eris.Wrap(ErrFenced, err.Error())
	}
	if h.lose > 0 {
		h.lose--
		return engine.OrderResult{}, context.DeadlineExceeded
	}
	return result, nil
}

func (h *host) State(_ context.Context, address string) (engine.OrderState, error) {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	return h.engines[address].OrderState(time.Now()), nil
}

func (h *host) freeze(hold chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hold = hold
}

func startHolder(w *world, store platform.Store, name string) (*Controller, *host) {
	h := &host{world: w, name: name}
	return Start(logging.Discard(), store, h, h, "test"), h
}

func TestHolderLoadsUnderOutageAndLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New(memstore.Options{})
		store.SetFault(memstore.Fault{LoseAnswers: 0.5})
		w := newWorld(enginemodel.FenceStrict, 2)
		w.lose = 1
		first, _ := startHolder(w, store, "h1")
		second, _ := startHolder(w, store, "h2")
		time.Sleep(3 * time.Minute)
		require.Equal(t, 2, w.loaded())
		require.Less(t, len(w.fences), 8, "orders are not repeated for ever")
		store.SetFault(memstore.Fault{Outage: true})
		time.Sleep(time.Minute)
		require.Equal(t, 2, w.loaded())
		store.SetFault(memstore.Fault{})
		first.Stop(context.Background())
		second.Stop(context.Background())
	})
}

func TestFrozenHolderWakesAfterItsLease(t *testing.T) {
	for _, mode := range []enginemodel.FenceMode{enginemodel.FenceStrict, enginemodel.FenceLax} {
		t.Run(string(mode), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testFrozenHolder(t, mode) })
		})
	}
}

func testFrozenHolder(t *testing.T, mode enginemodel.FenceMode) {
	store := memstore.New(memstore.Options{})
	w := newWorld(mode, 1)
	ranked := rendezvous.Ranked("placement", []string{"h1", "h2"})
	frozen := make(chan struct{})
	first, firstHost := startHolder(w, store, ranked[0])
	firstHost.freeze(frozen) // between the lease's check and the order
	second, _ := startHolder(w, store, ranked[1])
	time.Sleep(2 * time.Minute)
	require.Equal(t, 1, w.loaded(), "the second holder does not order")
	orders := len(w.fences)
	require.Positive(t, orders)
	latest := w.fences[orders-1]

	close(frozen)
	time.Sleep(5 * time.Minute)
	require.Greater(t, len(w.fences), orders, "the frozen order did not arrive")
	require.Less(t, w.fences[orders], latest, "the frozen order carries an old fence")
	require.Equal(t, 1, w.loaded(), "an old order was not refused or not put right")
	first.Stop(context.Background())
	second.Stop(context.Background())
}

func TestNoOrderWithoutTheMargin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New(memstore.Options{})
		lease := NewLease(store, "test", "h1")
		require.NoError(t, lease.AcquireOrRenew(t.Context()))
		require.True(t, lease.CoversOrder(time.Now()))
		require.False(t, lease.EarlierOrdersEnded(time.Now()), "an order of the old holder may be under way")
		fence := lease.FencingToken()
		time.Sleep(leaseTTL - orderTimeout - margin)
		require.False(t, lease.CoversOrder(time.Now()), "the margin is gone")
		require.NoError(t, lease.AcquireOrRenew(t.Context()))
		require.True(t, lease.CoversOrder(time.Now()))

		other := NewLease(store, "test", "h2")
		require.ErrorIs(t, other.AcquireOrRenew(t.Context()), ErrLeaseHeld)
		time.Sleep(leaseTTL + time.Second)
		require.NoError(t, other.AcquireOrRenew(t.Context()))
		require.Greater(t, other.FencingToken(), fence)
		require.ErrorIs(t, lease.AcquireOrRenew(t.Context()), ErrLeaseHeld)
		require.Zero(t, lease.FencingToken())
	})
}
