package placement

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"corianderhitch/api/control"
	"corianderhitch/api/engine"
	"corianderhitch/internal/agent/docsync"
	"corianderhitch/internal/logging"
	"corianderhitch/internal/platform"
	"corianderhitch/internal/rendezvous"
)

const (
	// roundInterval is the time between two rounds of a holder.
	roundInterval = time.Second
	// idleInterval is the time between two looks of a host that does not hold.
	idleInterval = 3 * time.Second
	// candidateHosts is the number of hosts that try to hold.
	candidateHosts = 2
	// secondDelay is how long the second candidate leaves a free lease to the first.
	secondDelay = 10 * time.Second
	// storeTimeout bounds the store calls of a round.
	storeTimeout = 2 * time.Second
	// ordersPerSecond bounds the orders of a fleet.
	ordersPerSecond = 2
	// orderBurst is the number of orders that may leave at once.
	orderBurst = 4
	// retryTarget is how long a target that failed an order gets none.
	retryTarget = 10 * time.Second
)

// Fleet is what a Holder needs to know.
type Fleet interface {
	Self() control.Member
	Live() []control.Member
	Targets(now time.Time) []control.TargetState
	Document() docsync.Current
}

// Holder orders what the document places, while it holds the lease.
type Controller struct {
	log     *slog.Logger
	fleet   Fleet
	lease   *Lease
	orders  OrderClient
	limiter *rate.Limiter
	stop    context.CancelFunc
	done    sync.WaitGroup

	view      *view
	fence     int64                // that the view was read back under
	retryAt   map[string]time.Time // by target
	counts    map[string]int       // orders done per id stem
	freeSince time.Time
}

// Start begins to compete for the lease.
func Start(log *slog.Logger, store platform.Store, fleet Fleet, orders OrderClient, environment string) *Controller {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Controller{
		log:     logging.Part(log, "placement"),
		fleet:   fleet,
		lease:   NewLease(store, environment, fleet.Self().Host),
		orders:  orders,
		limiter: rate.NewLimiter(ordersPerSecond, orderBurst),
		stop:    cancel,
		view:    newView(),
		retryAt: make(map[string]time.Time),
		counts:  make(map[string]int),
	}
	h.done.Go(func() { h.run(ctx) })
	return h
}

// Stop ends the rounds and releases the lease.
func (h *Controller) Stop(ctx context.Context) {
	h.stop()
	h.done.Wait()
	h.lease.Release(ctx)
}

func (h *Controller) run(ctx context.Context) {
	for {
		wait := h.round(ctx)
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// round does one step of the duty and returns the time to the next.
func (h *Controller) round(ctx context.Context) time.Duration {
	held := h.fleet.Document()
	if held.Document == nil || len(held.Document.Placements) == 0 || h.rank() >= candidateHosts {
		if h.lease.FencingToken() > 0 {
			h.lease.Release(ctx)
		}
		return idleInterval
	}
	if !h.keep(ctx) {
		return idleInterval
	}
	now := time.Now()
	if !h.lease.CoversOrder(now) || !h.lease.EarlierOrdersEnded(now) {
		return roundInterval
	}
	rows := h.fleet.Targets(now)
	if h.fence != h.lease.FencingToken() {
		h.takeOver(ctx, rows)
	}
	h.refresh(ctx, rows)
	snapshot := h.view.snapshot(now, held.Document, rows)
	h.execute(ctx, held.Revision, Plan(snapshot), rows)
	return roundInterval
}

// keep acquires or renews the lease and tells whether it is there.
func (h *Controller) keep(ctx context.Context) bool {
	now := time.Now()
	if h.lease.FencingToken() == 0 && h.rank() > 0 {
		if h.freeSince.IsZero() {
			h.freeSince = now
		}
		if now.Sub(h.freeSince) < secondDelay {
			return false
		}
	}
	bounded, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	before := h.lease.FencingToken()
	err := h.lease.AcquireOrRenew(bounded)
	switch {
	case eris.Is(err, ErrLeaseHeld):
		h.freeSince = time.Time{}
	case err != nil && ctx.Err() == nil:
		h.log.Warn("Cannot keep the lease.", "error", err)
	}
	if fence := h.lease.FencingToken(); fence != before && fence > 0 {
		h.log.Info("Lease acquired.", "fence", fence)
	}
	return h.lease.FencingToken() > 0
}

// takeOver forgets what was planned under an earlier lease and reads back what
// all engines have applied.
func (h *Controller) takeOver(ctx context.Context, rows []control.TargetState) {
	h.view = newView()
	h.counts = make(map[string]int)
	var all sync.WaitGroup
	var mu sync.Mutex
	for _, r := range rows {
		if r.Kind != platform.TargetEngine || !r.Healthy {
			continue
		}
		all.Go(func() {
			if back, ok := h.readBack(ctx, r.Address); ok {
				mu.Lock()
				h.view.read[r.Name] = back
				mu.Unlock()
			}
		})
	}
	all.Wait()
	h.fence = h.lease.FencingToken()
}

// refresh reads back the engines with orders in progress, whose reports lag.
func (h *Controller) refresh(ctx context.Context, rows []control.TargetState) {
	for _, r := range rows {
		if len(h.view.pending[r.Name]) == 0 || !r.Healthy {
			continue
		}
		if back, ok := h.readBack(ctx, r.Address); ok {
			h.view.read[r.Name] = back
		}
	}
}

func (h *Controller) readBack(ctx context.Context, address string) (readBack, bool) {
	bounded, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	at := time.Now()
	state, err := h.orders.State(bounded, address)
	return readBack{state: state, at: at}, err == nil
}

// execute sends the steps that the limits allow. The lease is checked before
// each.
func (h *Controller) execute(ctx context.Context, revision int64, steps []Step, rows []control.TargetState) {
	addresses := make(map[string]string, len(rows))
	for _, r := range rows {
		addresses[r.Name] = r.Address
	}
	for _, step := range steps {
		now := time.Now()
		if now.Before(h.retryAt[step.Target]) {
			continue
		}
		if ctx.Err() != nil || !h.lease.CoversOrder(now) || !h.limiter.AllowN(now, 1) {
			return
		}
		order := step.Order
		order.Fence, order.Revision = h.lease.FencingToken(), revision
		order.ID = h.orderID(step.Target, order)
		if !h.send(ctx, step.Target, addresses[step.Target], order) {
			return
		}
	}
}

// send carries out one order and tells whether to go on.
func (h *Controller) send(ctx context.Context, target, address string, order engine.Order) bool {
	bounded, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	_, err := h.orders.Send(bounded, address, order)
	now := time.Now()
	switch {
	case err == nil:
		h.log.Info("Order sent.", "target", target, "kind", order.Kind, "model", order.Model, "version", order.Version, "adapter", order.Adapter)
		h.counts[stem(target, order)]++
		h.view.pending[target] = append(h.view.pending[target], sent{order: order, at: now})
	case eris.Is(err, ErrFenced):
		h.log.Warn("A later holder orders. Lease given up.", "target", target, "fence", order.Fence)
		h.lease.Release(ctx)
		return false
	case eris.Is(err, ErrNoCapacity):
		h.view.full[target] = now.Add(fullFor)
	default:
		h.log.Warn("Order failed, it is sent again later.", "target", target, "error", err)
		h.retryAt[target] = now.Add(retryTarget)
	}
	return true
}

// orderID names an order so that sending it again after a lost answer is
// recognized, while the same order after an intervening one is new.
func (h *Controller) orderID(target string, o engine.Order) string {
	s := stem(target, o)
	return fmt.Sprintf("%d/%s/%d", o.Fence, s, h.counts[s])
}

func stem(target string, o engine.Order) string {
	return fmt.Sprintf("%s/%s/%s/%s/%s%s", target, o.Kind, o.Model, o.Version, o.Adapter, o.Role)
}

func (h *Controller) rank() int {
	var hosts []string
	for _, m := range h.fleet.Live() {
		hosts = append(hosts, m.Host)
	}
	self := h.fleet.Self().Host
	for i, host := range rendezvous.Ranked("placement", hosts) {
		if host == self {
			return i
		}
	}
	return len(hosts)
}
