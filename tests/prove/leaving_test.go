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

// leavingBound is how long after its leaving notice a target may still receive new
// work.
const leavingBound = 5 * time.Second

// leavingFault is one way in which a target announces that it is leaving, combined with
// a fault that delays or hides the announcement.
type leavingFault struct {
	name  string
	short bool
	leave func(c *cluster, e *target)
}

func leavingFaults() []leavingFault {
	announceLeaving := func(c *cluster, e *target) {
		callAdmin(c.t, http.MethodPut, "http://"+e.direct+"/admin/leaving", map[string]bool{"leaving": true})
	}
	return []leavingFault{
		{name: "engine's own word, host list late", short: true, leave: announceLeaving},
		{name: "host list only", leave: func(c *cluster, e *target) { c.publishTargets(map[string]bool{e.name: true}) }},
		{name: "engine's own word, store down", leave: func(c *cluster, e *target) {
			c.storeFault(memstore.Fault{Outage: true})
			announceLeaving(c, e)
		}},
		{name: "host list late by 30 s, refusal of new work", leave: func(c *cluster, e *target) {
			c.delayHostList()
			announceLeaving(c, e)
			c.publishTargets(map[string]bool{e.name: true})
		}},
		{name: "reclaimed, host list late by 30 s", leave: func(c *cluster, e *target) {
			c.delayHostList()
			c.reclaim(e, 4*leavingBound)
		}},
		{name: "one host without store, out of its peers' reach", leave: func(c *cluster, e *target) {
			c.partition(c.hosts[2])
			announceLeaving(c, e)
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
			announceLeaving(c, e)
			<-time.After(3 * time.Second) // less than leavingBound: gateways must learn from the engine's rejections
			for _, h := range c.hosts {
				h.agent.Thaw()
			}
		}},
		{name: "engine's own word, one agent killed", leave: func(c *cluster, e *target) {
			c.hosts[0].agent.Kill()
			announceLeaving(c, e)
		}},
	}
}

// hostListLag is the longest delay of the platform's host list.
const hostListLag = 30 * time.Second

// delayHostList delays the host list by hostListLag. It waits until the first list is
// older than that, since a delayed list shows the state of that time ago.
func (c *cluster) delayHostList() {
	c.t.Helper()
	harness.Await(c.t, 2*hostListLag, "a list older than its lag", func() bool { return time.Since(c.publishedAt) > hostListLag })
	c.storeFault(memstore.Fault{HostListLag: hostListLag})
}

// partition cuts a host off from the store and its agent from calls of other hosts.
// The host can still call others and reach targets.
func (c *cluster) partition(h *host) {
	for _, link := range []*harness.Proxy{h.storeLink, h.agentLink} {
		link.SetMode(harness.CloseNew)
		link.CloseConnections()
	}
}

// TestLeavingTargetGetsNoNewWork checks that an engine starts no generation later than
// leavingBound after its leaving notice, and that no caller notices.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	t.Parallel()
	for _, fault := range leavingFaults() {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			runLeavingFault(t, fault)
		})
	}
}

func runLeavingFault(t *testing.T, fault leavingFault) {
	if testing.Short() && !fault.short {
		t.Skip("not in the short form")
	}
	defer acquireSlot()()
	summary := ""
	recordResult(t, "leaving target, no new work", fault.name, &summary)
	c := startCluster(t, clusterSpec{hosts: 3, engines: 3})
	stop := make(chan struct{})
	waitStreams := c.startSteadyTraffic(stop)
	victim := c.engines[randomFor(t).IntN(len(c.engines))]
	harness.Await(t, 10*time.Second, "a generation on the victim", func() bool { return generationsStartedAfter(t, victim, time.Time{}) > 0 })
	fault.leave(c, victim)
	left := time.Now()
	harness.Await(t, 3*leavingBound, "twice the leaving bound", func() bool { return time.Since(left) > 2*leavingBound })
	close(stop)
	streams := waitStreams()
	late := generationsStartedAfter(t, victim, left.Add(leavingBound))
	require.Zerof(t, late, "%s started %d generations after the leaving bound", victim.name, late)
	summary = fmt.Sprintf("%d streams, %d starts inside the window, 0 after %s", streams, generationsStartedAfter(t, victim, left), leavingBound)
}

// startSteadyTraffic sends short completions until stop and returns a function that
// waits for the last ones, checks all of them and returns their number.
func (c *cluster) startSteadyTraffic(stop <-chan struct{}) func() int {
	const callers = 6
	var wg sync.WaitGroup
	var mu sync.Mutex
	var all []*traffic
	for caller := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				spec := steadySpec(caller, n)
				tr := startTraffic(c, spec)
				tr.finish()
				mu.Lock()
				all = append(all, tr)
				mu.Unlock()
			}
		}()
	}
	return func() int {
		wg.Wait()
		for _, tr := range all {
			tr.checkComplete(c.t, steadySpec(0, 0), "v1")
		}
		return len(all)
	}
}

func steadySpec(caller, n int) trafficSpec {
	return trafficSpec{streams: 1, tokens: 10, resume: true, trigger: 1, idPrefix: fmt.Sprintf("steady-%d-%d", caller, n)}
}
