package prove

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/api/engine"
	"corianderhitch/internal/platform"
	"corianderhitch/internal/platform/memstore"
	"corianderhitch/tests/harness"
)

const (
	// takeoverTimeout bounds the time until another host sends orders: the lease
	// (15 s), the wait of the second candidate (10 s), the time until earlier orders
	// have ended (5 s) and some planning rounds.
	takeoverTimeout = 50 * time.Second
	// placedEngines is the number of replicas in a placement.
	placedEngines = 4
)

// orderFault is one fault against the orders of the placement lease's holder.
type orderFault struct {
	name      string
	fenceMode string // --fence of the engines
	short     bool
	// inject injects the fault after the first order of the holder, first, and
	// returns when the fault is over.
	inject func(c *cluster, store platform.Store, first leaseHolder)
}

func orderFaults() []orderFault {
	return []orderFault{
		{name: "holder frozen past its lease, strict engines", fenceMode: "strict", inject: freezeHolder},
		{name: "holder frozen past its lease, lax engines", fenceMode: "lax", inject: freezeHolder},
		{name: "holder cut from the store, lax engines", fenceMode: "lax", inject: partitionHolder},
		{name: "holder killed, lax engines", fenceMode: "lax", inject: func(c *cluster, store platform.Store, first leaseHolder) {
			c.hostNamed(first.host).agent.Kill()
			c.awaitOtherHolder(store, first)
		}},
		{name: "answers of orders lost", fenceMode: "strict", inject: func(c *cluster, _ platform.Store, _ leaseHolder) {
			for range 3 {
				for _, e := range c.engines {
					e.link.CloseAfterBytes(0, 1)
					e.link.CloseConnections()
				}
				<-time.After(700 * time.Millisecond) // overlaps some of the planning rounds, which run once a second
				for _, e := range c.engines {
					e.link.CloseAfterBytes(0, 0)
				}
				<-time.After(300 * time.Millisecond) // so that the engines are not considered down
			}
		}},
		{name: "store answers lost", fenceMode: "strict", inject: func(c *cluster, _ platform.Store, _ leaseHolder) {
			c.storeFault(memstore.Fault{LoseAnswers: 0.5})
		}},
		{name: "store restored from a copy", fenceMode: "strict", inject: func(c *cluster, store platform.Store, first leaseHolder) {
			c.copyStore()
			c.applyDocument(placementDocument("v5"))
			<-time.After(time.Second) // orders are sent meanwhile
			c.restoreStore()
			c.applyDocument(placementDocument("v6"), "--above", "2")
			c.awaitOtherHolder(store, first)
		}},
		{name: "a later holder has ordered", fenceMode: "strict", inject: orderAsLaterHolder},
		{name: "lease taken from a holder that goes on", fenceMode: "strict", inject: func(c *cluster, store platform.Store, first leaseHolder) {
			require.NoError(c.t, store.Delete(c.t.Context(), leaseKey, platform.AnyRevision))
			c.awaitOtherHolder(store, first)
		}},
	}
}

// freezeHolder freezes the holder's agent until another host has sent orders, and
// thaws it when new orders are due.
func freezeHolder(c *cluster, store platform.Store, first leaseHolder) {
	h := c.hostNamed(first.host)
	h.agent.Freeze()
	second := c.awaitOtherHolder(store, first)
	c.applyDocument(placementDocument("v5"))
	harness.Await(c.t, takeoverTimeout, "an order of the second holder", func() bool { return c.highestFencingToken() >= second.fencingToken })
	h.agent.Thaw()
	c.applyDocument(placementDocument("v6"))
}

// orderAsLaterHolder sends every engine an order with a higher fencing token than the
// holder's, as if another host had taken over unnoticed.
func orderAsLaterHolder(c *cluster, _ platform.Store, first leaseHolder) {
	for _, e := range c.engines {
		callAdmin(c.t, http.MethodPost, "http://"+e.direct+"/v1/orders",
			engine.Order{ID: "later-holder", Fence: first.fencingToken + 1, Kind: engine.OrderRole, Role: engine.RoleGeneral})
	}
	c.applyDocument(placementDocument("v5"))
}

// partitionHolder cuts the holder off from the store but not from the engines.
func partitionHolder(c *cluster, store platform.Store, first leaseHolder) {
	h := c.hostNamed(first.host)
	h.storeLink.SetMode(harness.CloseNew)
	h.storeLink.CloseConnections()
	c.awaitOtherHolder(store, first)
	c.applyDocument(placementDocument("v5"))
	harness.Await(c.t, takeoverTimeout, "an order of the second holder", func() bool { return c.highestFencingToken() > first.fencingToken })
	h.storeLink.SetMode(harness.Pass)
}

// awaitOtherHolder waits until the lease was acquired with a higher fencing token than
// that of first.
func (c *cluster) awaitOtherHolder(store platform.Store, first leaseHolder) leaseHolder {
	c.t.Helper()
	var second leaseHolder
	harness.Await(c.t, takeoverTimeout, "a higher fencing token", func() bool {
		second = readLeaseHolder(c.t, store)
		return second.fencingToken > first.fencingToken
	})
	return second
}

// TestOrdersUnderLeaseAndFencing checks under faults of the lease's holder that
// placement goes on and that no engine applies an order of an earlier holder after one
// of a later holder.
func TestOrdersUnderLeaseAndFencing(t *testing.T) {
	t.Parallel()
	for _, fault := range orderFaults() {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			runOrderFault(t, fault)
		})
	}
}

func runOrderFault(t *testing.T, fault orderFault) {
	if testing.Short() && !fault.short {
		t.Skip("not in the short form")
	}
	defer acquireSlot()()
	summary := ""
	recordResult(t, "orders under lease and fence", fault.name, &summary)
	args := []string{"--fence", fault.fenceMode, "--load-time", "200ms"}
	c := startCluster(t, clusterSpec{hosts: 3, engines: 5, engineArgs: args})
	store := c.storeClient()
	c.applyDocument(placementDocument("v3"))
	harness.Await(t, takeoverTimeout, "the first order", func() bool { return c.highestFencingToken() > 0 })
	first := readLeaseHolder(t, store)
	c.applyDocument(placementDocument("v4"))
	begin := time.Now()
	fault.inject(c, store, first)
	c.applyDocument(placementDocument("v7"))
	harness.Await(t, takeoverTimeout, "version v7 placed", func() bool { return c.enginesLoading("v7") >= placedEngines })
	took := time.Since(begin)
	require.LessOrEqual(t, c.enginesLoading("v7"), len(c.engines))
	orders, tokens, rejected := c.checkOrders(t, fault.fenceMode)
	summary = fmt.Sprintf("%d orders under %d fences, %d refused by engines, placed %s after the fault began",
		orders, tokens, rejected, took.Round(100*time.Millisecond))
}

// placementDocument returns the default document with placements of v1 and of another
// version, which engines must load first.
func placementDocument(version string) string {
	text := strings.Replace(defaultDocument, "versions: [v1, v2]", "versions: [v1, v2, v3, v4, v5, v6, v7]", 1)
	return text + fmt.Sprintf("placements: [{model: briefing, version: v1, adapters: [sk], replicas: %d},"+
		" {model: briefing, version: %s, adapters: [sk], replicas: %d}]\n", placedEngines, version, placedEngines)
}

// enginesLoading counts the engines that accepted an order to load the version.
func (c *cluster) enginesLoading(version string) int {
	n := 0
	for _, e := range c.engines {
		for _, line := range orderEntries(c.t, e) {
			if !line.Rejected && line.Order.Version == version {
				n++
				break
			}
		}
	}
	return n
}

// highestFencingToken returns the highest fencing token that any engine has received.
func (c *cluster) highestFencingToken() int64 {
	highest := int64(0)
	for _, e := range c.engines {
		for _, line := range orderEntries(c.t, e) {
			highest = max(highest, line.Order.Fence)
		}
	}
	return highest
}

// orderEntries returns the lines of an engine's journal about orders.
func orderEntries(t testing.TB, e *target) []journalLine {
	var lines []journalLine
	for _, line := range readJournal(t, e) {
		if line.Kind == "order" {
			lines = append(lines, line)
		}
	}
	return lines
}

// checkOrders requires that no engine accepts an order with a lower fencing token after
// one with a higher token, and that a repeated order has the same id. Engines in lax
// mode ignore the token: an order must not even arrive at any of them after one with a
// higher token has arrived at any. It returns the number of orders, of different
// tokens and of rejected orders.
func (c *cluster) checkOrders(t *testing.T, mode string) (orders, tokens, rejected int) {
	t.Helper()
	seen := make(map[int64]time.Time) // first arrival of each fencing token at any engine
	for _, e := range c.engines {
		highest := int64(0)
		ids := make(map[string]string)
		for _, line := range orderEntries(t, e) {
			o := line.Order
			orders++
			if at, ok := seen[o.Fence]; !ok || line.Time.Before(at) {
				seen[o.Fence] = line.Time
			}
			if line.Rejected {
				rejected++
				continue
			}
			require.GreaterOrEqualf(t, o.Fence, highest, "%s accepted order %s after one with a higher fencing token", e.name, o.ID)
			highest = o.Fence
			what := fmt.Sprintf("%d %s %s %s %s %s", o.Fence, o.Kind, o.Model, o.Version, o.Adapter, o.Role)
			if id, ok := ids[what]; ok {
				require.Equalf(t, id, o.ID, "%s received one order under two ids: %s", e.name, what)
			}
			ids[what] = o.ID
		}
	}
	if mode == "lax" {
		c.checkNoStaleOrder(t, seen)
	}
	return orders, len(seen), rejected
}

// checkNoStaleOrder requires that no order arrives at any engine after one with a
// higher fencing token has arrived at any engine.
func (c *cluster) checkNoStaleOrder(t *testing.T, firstSeen map[int64]time.Time) {
	t.Helper()
	for _, e := range c.engines {
		for _, line := range orderEntries(t, e) {
			for token, at := range firstSeen {
				stale := token > line.Order.Fence && line.Time.After(at)
				require.Falsef(t, stale, "%s received order %s at %s although fencing token %d has been in use since %s",
					e.name, line.Order.ID, line.Time, token, at)
			}
		}
	}
}
