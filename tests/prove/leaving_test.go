package prove

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/platform/memstore"
	"corianderhitch/tests/harness"
)

// leavingWindow is how long a leaving target may still receive new work.
const leavingWindow = 5 * time.Second

// leavingFault is one way in which a target leaves.
type leavingFault struct {
	name  string
	short bool
	leave func(c *cluster, e *target)
}

func leavingFaults() []leavingFault {
	ownWord := func(c *cluster, e *target) {
		send(c.t, http.MethodPut, "http://"+e.direct+"/admin/leaving", map[string]bool{"leaving": true})
	}
	return []leavingFault{
		{name: "engine's own word, host list late", short: true, leave: ownWord},
		{name: "host list only", leave: func(c *cluster, e *target) { c.publishTargets(map[string]bool{e.name: true}) }},
		{name: "engine's own word, store down", leave: func(c *cluster, e *target) {
			c.storeFault(memstore.Fault{Outage: true})
			ownWord(c, e)
		}},
		{name: "host list late by 30 s, refusal of new work", leave: func(c *cluster, e *target) {
			c.delayList()
			ownWord(c, e)
			c.publishTargets(map[string]bool{e.name: true})
		}},
		{name: "reclaimed, host list late by 30 s", leave: func(c *cluster, e *target) {
			c.delayList()
			c.reclaim(e, 4*leavingWindow)
		}},
		{name: "one host without store, out of its peers' reach", leave: func(c *cluster, e *target) {
			c.isolate(c.hosts[2])
			ownWord(c, e)
		}},
		{name: "host list only, store link of one host cut", leave: func(c *cluster, e *target) {
			c.hosts[2].storeLink.SetMode(harness.CloseNew)
			c.hosts[2].storeLink.CloseConnections()
			c.publishTargets(map[string]bool{e.name: true})
		}},
		{name: "engine's own word, all agents frozen for 3 s", leave: func(c *cluster, e *target) {
			for _, h := range c.hosts {
				h.agent.Freeze()
			}
			ownWord(c, e)
			<-time.After(3 * time.Second) // part of the window: gateways must learn from the refusals
			for _, h := range c.hosts {
				h.agent.Thaw()
			}
		}},
		{name: "engine's own word, one agent killed", leave: func(c *cluster, e *target) {
			c.hosts[0].agent.Kill()
			ownWord(c, e)
		}},
	}
}

// listLag is how late the platform's host list is at worst.
const listLag = 30 * time.Second

// delayList makes the host list late. The list must be older than its lag, since
// a late list shows what was in force before it.
func (c *cluster) delayList() {
	c.t.Helper()
	harness.Await(c.t, 2*listLag, "a list older than its lag", func() bool { return time.Since(c.published) > listLag })
	c.storeFault(memstore.Fault{HostListLag: listLag})
}

// isolate cuts a host from the store, and its agent from calls of all others. It
// can still call them, and its targets stay reachable.
func (c *cluster) isolate(h *host) {
	for _, link := range []*harness.Proxy{h.storeLink, h.agentLink} {
		link.SetMode(harness.CloseNew)
		link.CloseConnections()
	}
}

func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	t.Parallel()
	for _, fault := range leavingFaults() {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			proveLeaving(t, fault)
		})
	}
}

func proveLeaving(t *testing.T, fault leavingFault) {
	if testing.Short() && !fault.short {
		t.Skip("not in the short form")
	}
	defer slot()()
	figures := ""
	record(t, "leaving target, no new work", fault.name, &figures)
	c := startCluster(t, clusterSize{hosts: 3, engines: 3})
	stop := make(chan struct{})
	counted := c.steadyStream(stop)
	victim := c.engines[draw(t).IntN(len(c.engines))]
	harness.Await(t, 10*time.Second, "work on the victim", func() bool { return startsAfter(t, victim, time.Time{}) > 0 })
	fault.leave(c, victim)
	left := time.Now()
	harness.Await(t, 3*leavingWindow, "twice the window", func() bool { return time.Since(left) > 2*leavingWindow })
	close(stop)
	streams := counted()
	late := startsAfter(t, victim, left.Add(leavingWindow))
	require.Zerof(t, late, "%s started %d generations after the window", victim.name, late)
	figures = fmt.Sprintf("%d streams, %d starts inside the window, 0 after %s", streams, startsAfter(t, victim, left), leavingWindow)
}

// steadyStream keeps short completions going until stop and returns a function
// that waits for their end, checks them and counts them.
func (c *cluster) steadyStream(stop <-chan struct{}) func() int {
	const callers = 6
	var open sync.WaitGroup
	var mu sync.Mutex
	var all []*traffic
	for caller := range callers {
		open.Add(1)
		go func() {
			defer open.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				spec := shortSpec(caller, n)
				tr := startTraffic(c, spec)
				tr.finish()
				mu.Lock()
				all = append(all, tr)
				mu.Unlock()
			}
		}()
	}
	return func() int {
		open.Wait()
		for _, tr := range all {
			tr.checkWhole(c.t, shortSpec(0, 0), "v1")
		}
		return len(all)
	}
}

func shortSpec(caller, n int) trafficSpec {
	return trafficSpec{streams: 1, tokens: 10, resume: true, trigger: 1, idPrefix: fmt.Sprintf("steady-%d-%d", caller, n)}
}
