package modelplacement

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
	// roundInterval is the time between two rounds of the lease holder.
	roundInterval = time.Second
	// idleInterval is the time between two rounds of a host that doesn't hold the
	// lease.
	idleInterval = 3 * time.Second
	// candidateCount is the number of hosts that compete for the lease.
	candidateCount = 2
	// standbyDelay is how long the second candidate leaves a free lease to the first.
	standbyDelay = 10 * time.Second
	// storeTimeout bounds the store calls of a round.
	storeTimeout = 2 * time.Second
	// ordersPerSecond bounds the rate of orders in the fleet.
	ordersPerSecond = 2
	// orderBurst is the number of orders that may be sent in one burst.
	orderBurst = 4
	// targetRetryDelay is how long an engine gets no orders after one failed.
	targetRetryDelay = 10 * time.Second
)

// Fleet is the fleet's state as a Controller reads it.
type Fleet interface {
	Self() control.Member
	Live() []control.Member
	Targets(now time.Time) []control.TargetState
	Document() docsync.Current
}

// Controller makes the engines serve what the document's placements ask for, while
// this host holds the lease.
type Controller struct {
	log     *slog.Logger
	fleet   Fleet
	lease   *Lease
	orders  OrderClient
	limiter *rate.Limiter
	stop    context.CancelFunc
	done    sync.WaitGroup

	state          *planState
	stateToken     int64                // fencing token under which state was read back
	retryAt        map[string]time.Time // by target, when it may get orders again
	orderCounts    map[string]int       // orders sent, by order key
	leaseFreeSince time.Time            // since when this host, as the second candidate, has seen no other holder
}

// Start returns a Controller that competes for the lease until Stop.
func Start(log *slog.Logger, store platform.Store, fleet Fleet, orders OrderClient, environment string) *Controller {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Controller{
		log:         logging.WithPrefix(log, "placement"),
		fleet:       fleet,
		lease:       NewLease(store, environment, fleet.Self().Host),
		orders:      orders,
		limiter:     rate.NewLimiter(ordersPerSecond, orderBurst),
		stop:        cancel,
		state:       newPlanState(),
		retryAt:     make(map[string]time.Time),
		orderCounts: make(map[string]int),
	}
	c.done.Go(func() { c.run(ctx) })
	return c
}

// Stop ends the rounds and releases the lease.
func (c *Controller) Stop(ctx context.Context) {
	c.stop()
	c.done.Wait()
	c.lease.Release(ctx)
}

func (c *Controller) run(ctx context.Context) {
	for {
		wait := c.round(ctx)
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// round renews the lease, plans and sends orders once, and returns the time to the
// next round.
func (c *Controller) round(ctx context.Context) time.Duration {
	current := c.fleet.Document()
	if current.Document == nil || len(current.Document.Placements) == 0 || c.rank() >= candidateCount {
		if c.lease.FencingToken() > 0 {
			c.lease.Release(ctx)
		}
		return idleInterval
	}
	if !c.holdLease(ctx) {
		return idleInterval
	}
	now := time.Now()
	if !c.lease.CoversOrder(now) || !c.lease.EarlierOrdersEnded(now) {
		return roundInterval
	}
	rows := c.fleet.Targets(now)
	if c.stateToken != c.lease.FencingToken() {
		c.takeOver(ctx, rows)
	}
	c.refresh(ctx, rows)
	snapshot := c.state.snapshot(now, current.Document, rows)
	c.execute(ctx, current.Revision, Plan(snapshot), rows)
	return roundInterval
}

// holdLease acquires or renews the lease and reports whether this host holds it.
func (c *Controller) holdLease(ctx context.Context) bool {
	now := time.Now()
	if c.lease.FencingToken() == 0 && c.rank() > 0 {
		if c.leaseFreeSince.IsZero() {
			c.leaseFreeSince = now
		}
		if now.Sub(c.leaseFreeSince) < standbyDelay {
			return false
		}
	}
	bounded, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	previous := c.lease.FencingToken()
	err := c.lease.AcquireOrRenew(bounded)
	switch {
	case eris.Is(err, ErrLeaseHeld):
		c.leaseFreeSince = time.Time{}
	case err != nil && ctx.Err() == nil:
		c.log.Warn("Cannot acquire or renew the lease.", "error", err)
	}
	if token := c.lease.FencingToken(); token != previous && token > 0 {
		c.log.Info("Lease acquired.", "fence", token)
	}
	return c.lease.FencingToken() > 0
}

// takeOver drops the plan state of an earlier lease and reads back what all engines
// have applied.
func (c *Controller) takeOver(ctx context.Context, rows []control.TargetState) {
	c.state = newPlanState()
	c.orderCounts = make(map[string]int)
	var wg sync.WaitGroup
	var mu sync.Mutex
	for _, r := range rows {
		if r.Kind != platform.TargetEngine || !r.Healthy {
			continue
		}
		wg.Go(func() {
			if state, ok := c.readBack(ctx, r.Address); ok {
				mu.Lock()
				c.state.readBacks[r.Name] = state
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	c.stateToken = c.lease.FencingToken()
}

// refresh reads back the engines with pending orders, as load reports lag behind.
func (c *Controller) refresh(ctx context.Context, rows []control.TargetState) {
	for _, r := range rows {
		if len(c.state.pending[r.Name]) == 0 || !r.Healthy {
			continue
		}
		if state, ok := c.readBack(ctx, r.Address); ok {
			c.state.readBacks[r.Name] = state
		}
	}
}

func (c *Controller) readBack(ctx context.Context, address string) (readBackState, bool) {
	bounded, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	at := time.Now()
	state, err := c.orders.State(bounded, address)
	return readBackState{state: state, at: at}, err == nil
}

// execute sends the steps that the rate limit allows. It checks the lease before each.
func (c *Controller) execute(ctx context.Context, revision int64, steps []Step, rows []control.TargetState) {
	addresses := make(map[string]string, len(rows))
	for _, r := range rows {
		addresses[r.Name] = r.Address
	}
	for _, step := range steps {
		now := time.Now()
		if now.Before(c.retryAt[step.Target]) {
			continue
		}
		if ctx.Err() != nil || !c.lease.CoversOrder(now) || !c.limiter.AllowN(now, 1) {
			return
		}
		order := step.Order
		order.Fence, order.Revision = c.lease.FencingToken(), revision
		order.ID = c.orderID(step.Target, order)
		if !c.send(ctx, step.Target, addresses[step.Target], order) {
			return
		}
	}
}

// send sends one order and reports whether to go on with the next.
func (c *Controller) send(ctx context.Context, target, address string, order engine.Order) bool {
	bounded, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	_, err := c.orders.Send(bounded, address, order)
	now := time.Now()
	switch {
	case err == nil:
		c.log.Info("Order sent.", "target", target, "kind", order.Kind, "model", order.Model, "version", order.Version, "adapter", order.Adapter)
		c.orderCounts[orderKey(target, order)]++
		c.state.pending[target] = append(c.state.pending[target], sentOrder{order: order, at: now})
	case eris.Is(err, ErrFenced):
		c.log.Warn("The engine has seen orders of a later lease holder, the lease is released.", "target", target, "fence", order.Fence)
		c.lease.Release(ctx)
		return false
	case eris.Is(err, ErrNoCapacity):
		c.state.noCapacityUntil[target] = now.Add(noCapacityPeriod)
	default:
		c.log.Warn("Order failed, it is retried later.", "target", target, "error", err)
		c.retryAt[target] = now.Add(targetRetryDelay)
	}
	return true
}

// orderID returns the idempotency key of an order. A retry after a lost answer has the
// same id, while the same order gets a new id once it has been sent successfully.
func (c *Controller) orderID(target string, o engine.Order) string {
	key := orderKey(target, o)
	return fmt.Sprintf("%d/%s/%d", o.Fence, key, c.orderCounts[key])
}

// orderKey identifies what an order changes on a target.
func orderKey(target string, o engine.Order) string {
	return fmt.Sprintf("%s/%s/%s/%s/%s%s", target, o.Kind, o.Model, o.Version, o.Adapter, o.Role)
}

// rank returns this host's rendezvous rank among the live hosts, 0 being the first
// candidate.
func (c *Controller) rank() int {
	var hosts []string
	for _, m := range c.fleet.Live() {
		hosts = append(hosts, m.Host)
	}
	self := c.fleet.Self().Host
	for i, host := range rendezvous.Ranked("placement", hosts) {
		if host == self {
			return i
		}
	}
	return len(hosts)
}
