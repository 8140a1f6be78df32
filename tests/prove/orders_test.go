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
	// takeOverLimit bounds the time until another host orders: the lease (15 s),
	// the wait of the second candidate (10 s), the settling time (5 s) and rounds.
	takeOverLimit = 50 * time.Second
	// placedEngines is how many engines a placement asks for.
	placedEngines = 4
)

// orderFault is one way to disturb the orders of the placement holder.
type orderFault struct {
	name  string
	fence string // --fence of the engines
	short bool
	// bring disturbs the holder after its first order. It returns when the
	// fault is over.
	bring func(c *cluster, store platform.Store, first holding)
}

func orderFaults() []orderFault {
	return []orderFault{
		{name: "holder frozen past its lease, strict engines", fence: "strict", bring: freezeHolder},
		{name: "holder frozen past its lease, lax engines", fence: "lax", bring: freezeHolder},
		{name: "holder cut from the store, lax engines", fence: "lax", bring: isolateHolder},
		{name: "holder killed, lax engines", fence: "lax", bring: func(c *cluster, store platform.Store, first holding) {
			c.hostNamed(first.host).agent.Kill()
			c.awaitOtherHolder(store, first)
		}},
		{name: "answers of orders lost", fence: "strict", bring: func(c *cluster, _ platform.Store, _ holding) {
			for range 3 {
				for _, e := range c.engines {
					e.link.CloseAfterBytes(0, 1)
					e.link.CloseConnections()
				}
				<-time.After(700 * time.Millisecond) // some of the rounds, one a second, fall into it
				for _, e := range c.engines {
					e.link.CloseAfterBytes(0, 0)
				}
				<-time.After(300 * time.Millisecond) // keeps the engines from being taken for dead
			}
		}},
		{name: "store answers lost", fence: "strict", bring: func(c *cluster, _ platform.Store, _ holding) {
			c.storeFault(memstore.Fault{LoseAnswers: 0.5})
		}},
		{name: "a later holder has ordered", fence: "strict", bring: orderAsLaterHolder},
		{name: "lease taken from a holder that goes on", fence: "strict", bring: func(c *cluster, store platform.Store, first holding) {
			require.NoError(c.t, store.Delete(c.t.Context(), holderKey, platform.AnyRevision))
			c.awaitOtherHolder(store, first)
		}},
	}
}

// freezeHolder freezes the holder's agent until another host has ordered, and
// thaws it while new orders are due.
func freezeHolder(c *cluster, store platform.Store, first holding) {
	h := c.hostNamed(first.host)
	h.agent.Freeze()
	second := c.awaitOtherHolder(store, first)
	c.applyDocument(placementDocument("v5"))
	harness.Await(c.t, takeOverLimit, "an order of the second holder", func() bool { return c.highestOrder() >= second.fence })
	h.agent.Thaw()
	c.applyDocument(placementDocument("v6"))
}

// orderAsLaterHolder lets every engine see a higher fence than the holder's, as
// if another host had taken over unnoticed.
func orderAsLaterHolder(c *cluster, _ platform.Store, first holding) {
	for _, e := range c.engines {
		send(c.t, http.MethodPost, "http://"+e.direct+"/v1/orders",
			engine.Order{ID: "later-holder", Fence: first.fence + 1, Kind: engine.OrderRole, Role: engine.RoleGeneral})
	}
	c.applyDocument(placementDocument("v5"))
}

// isolateHolder cuts the holder from the store, not from the engines.
func isolateHolder(c *cluster, store platform.Store, first holding) {
	h := c.hostNamed(first.host)
	h.storeLink.SetMode(harness.CloseNew)
	h.storeLink.CloseConnections()
	c.awaitOtherHolder(store, first)
	c.applyDocument(placementDocument("v5"))
	harness.Await(c.t, takeOverLimit, "an order of the second holder", func() bool { return c.highestOrder() > first.fence })
	h.storeLink.SetMode(harness.Pass)
}

func (c *cluster) awaitOtherHolder(store platform.Store, first holding) holding {
	c.t.Helper()
	var second holding
	harness.Await(c.t, takeOverLimit, "another fence", func() bool {
		second = holder(c.t, store)
		return second.fence > first.fence
	})
	return second
}

func TestOrdersUnderLeaseAndFencing(t *testing.T) {
	t.Parallel()
	for _, fault := range orderFaults() {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			proveOrders(t, fault)
		})
	}
}

func proveOrders(t *testing.T, fault orderFault) {
	if testing.Short() && !fault.short {
		t.Skip("not in the short form")
	}
	defer slot()()
	figures := ""
	record(t, "orders under lease and fence", fault.name, &figures)
	args := []string{"--fence", fault.fence, "--load-time", "200ms"}
	c := startCluster(t, clusterSize{hosts: 3, engines: 5, engineArgs: args})
	store := c.storeClient()
	c.applyDocument(placementDocument("v3"))
	harness.Await(t, takeOverLimit, "the first order", func() bool { return c.highestOrder() > 0 })
	first := holder(t, store)
	c.applyDocument(placementDocument("v4"))
	begin := time.Now()
	fault.bring(c, store, first)
	c.applyDocument(placementDocument("v7"))
	harness.Await(t, takeOverLimit, "version v7 placed", func() bool { return c.enginesLoading("v7") >= placedEngines })
	took := time.Since(begin)
	require.LessOrEqual(t, c.enginesLoading("v7"), len(c.engines))
	orders, fences, refused := c.checkOrders(t, fault.fence)
	figures = fmt.Sprintf("%d orders under %d fences, %d refused by engines, placed %s after the fault began",
		orders, fences, refused, took.Round(100*time.Millisecond))
}

// placementDocument is the default document with a placement of a version that
// no engine has at the start.
func placementDocument(version string) string {
	text := strings.Replace(defaultDocument, "versions: [v1, v2]", "versions: [v1, v2, v3, v4, v5, v6, v7]", 1)
	return text + fmt.Sprintf("placements: [{model: briefing, version: v1, adapters: [sk], replicas: %d},"+
		" {model: briefing, version: %s, adapters: [sk], replicas: %d}]\n", placedEngines, version, placedEngines)
}

// enginesLoading counts engines with an applied order to load the version.
func (c *cluster) enginesLoading(version string) int {
	n := 0
	for _, e := range c.engines {
		for _, line := range orderLines(c.t, e) {
			if !line.Refused && line.Order.Version == version {
				n++
				break
			}
		}
	}
	return n
}

// highestOrder returns the highest fence that any engine has been sent.
func (c *cluster) highestOrder() int64 {
	highest := int64(0)
	for _, e := range c.engines {
		for _, line := range orderLines(c.t, e) {
			highest = max(highest, line.Order.Fence)
		}
	}
	return highest
}

func orderLines(t testing.TB, e *target) []journalLine {
	var lines []journalLine
	for _, line := range readJournal(t, e) {
		if line.Kind == "order" {
			lines = append(lines, line)
		}
	}
	return lines
}

// checkOrders requires that no engine takes an order with a lower fence after
// one with a higher, and that an order is only ever repeated under its own id.
// Lax engines ignore the number, so that there it must not even arrive, at any
// engine, once any engine has seen a higher one.
func (c *cluster) checkOrders(t *testing.T, mode string) (orders, fences, refused int) {
	t.Helper()
	seen := make(map[int64]time.Time) // first arrival of each fence at any engine
	for _, e := range c.engines {
		highest := int64(0)
		ids := make(map[string]string)
		for _, line := range orderLines(t, e) {
			o := line.Order
			orders++
			if at, ok := seen[o.Fence]; !ok || line.Time.Before(at) {
				seen[o.Fence] = line.Time
			}
			if line.Refused {
				refused++
				continue
			}
			require.GreaterOrEqualf(t, o.Fence, highest, "%s took order %s", e.name, o.ID)
			highest = o.Fence
			what := fmt.Sprintf("%d %s %s %s %s %s", o.Fence, o.Kind, o.Model, o.Version, o.Adapter, o.Role)
			if id, ok := ids[what]; ok {
				require.Equalf(t, id, o.ID, "%s was ordered twice under two ids: %s", e.name, what)
			}
			ids[what] = o.ID
		}
	}
	if mode == "lax" {
		c.checkNoLateOrder(t, seen)
	}
	return orders, len(seen), refused
}

// checkNoLateOrder requires that no order arrives anywhere after one with a
// higher fence has arrived somewhere.
func (c *cluster) checkNoLateOrder(t *testing.T, firstSeen map[int64]time.Time) {
	t.Helper()
	for _, e := range c.engines {
		for _, line := range orderLines(t, e) {
			for fence, at := range firstSeen {
				late := fence > line.Order.Fence && line.Time.After(at)
				require.Falsef(t, late, "%s was sent order %s at %s, after fence %d was in use since %s",
					e.name, line.Order.ID, line.Time, fence, at)
			}
		}
	}
}
