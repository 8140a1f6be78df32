package prove

import (
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"

	"corianderhitch/internal/rendezvous"
	"corianderhitch/tests/harness"
)

// streamFault is one way to disturb streams that are under way.
type streamFault struct {
	name  string
	args  []string // flags of the engines
	short bool     // part of the short form
	bring func(c *cluster)
	// mayEnd is set where a typed terminal error is a right end as well.
	mayEnd bool
	// tokens is the length of each answer; 0 means the usual one.
	tokens int
}

// streamFaults are the faults against "tokens exactly once, in order, from one
// generation".
func streamFaults() []streamFault {
	return slices.Concat(engineStreamFaults(), linkStreamFaults(), hostStreamFaults())
}

// engineStreamFaults are the faults of engines.
func engineStreamFaults() []streamFault {
	return []streamFault{
		{name: "none", short: true, bring: func(*cluster) {}},
		{name: "engine killed", short: true, bring: func(c *cluster) { c.busiestEngine().process.Kill() }},
		{name: "engine frozen for good", bring: func(c *cluster) { c.busiestEngine().process.Freeze() }},
		{name: "engine frozen, then thawed", bring: func(c *cluster) {
			v := c.busiestEngine()
			v.process.Freeze()
			<-time.After(3 * time.Second) // longer than any stall bound, so that streams move
			v.process.Thaw()
		}},
		{name: "engine reclaimed at short notice", bring: func(c *cluster) { c.reclaim(c.busiestEngine(), 500*time.Millisecond) }},
		{name: "memory full mid-decode", tokens: 400, bring: func(c *cluster) {
			for _, e := range c.engines {
				c.setMemory(e, 8) // of which four sequences fill more than half already
			}
		}},
	}
}

// linkStreamFaults are the faults of links between gateways and engines.
func linkStreamFaults() []streamFault {
	return []streamFault{
		{name: "link cut", short: true, bring: func(c *cluster) { c.busiestEngine().link.CloseConnections() }},
		{name: "all links cut three times", bring: func(c *cluster) {
			for range 3 {
				for _, e := range c.engines {
					e.link.CloseConnections()
				}
				<-time.After(300 * time.Millisecond) // lets streams come back before the next cut
			}
		}},
		{name: "link stalled for good", bring: func(c *cluster) { c.busiestEngine().link.SetMode(harness.Stall) }},
		{name: "link one-way: no bytes from engine", bring: func(c *cluster) { c.busiestEngine().link.SetMode(harness.StallDown) }},
		{name: "link one-way: no bytes to engine", bring: func(c *cluster) { c.busiestEngine().link.SetMode(harness.StallUp) }},
	}
}

// hostStreamFaults are the faults of hosts, the document and the store.
func hostStreamFaults() []streamFault {
	return []streamFault{
		{name: "gateway killed, callers reconnect", short: true, bring: func(c *cluster) { c.hosts[0].gateway.Kill() }},
		{name: "host killed, callers reconnect", bring: func(c *cluster) {
			c.hosts[1].gateway.Kill()
			c.hosts[1].agent.Kill()
		}},
		{name: "all agents killed", bring: func(c *cluster) {
			for _, h := range c.hosts {
				h.agent.Kill()
			}
		}},
		{name: "pool owner frozen past suspicion, then thawed", bring: func(c *cluster) {
			owner := c.poolOwner()
			owner.agent.Freeze()
			<-time.After(pastSuspicion)
			owner.agent.Thaw()
		}, tokens: 450},
		{name: "request directory's hosts frozen in turn", tokens: 450, bring: func(c *cluster) {
			for _, h := range c.hosts {
				h.agent.Freeze()
				<-time.After(2 * time.Second) // longer than an exchange with an agent may last
				h.agent.Thaw()
			}
		}},
		// The only two copies of the delivered tokens are gone at once, so that no
		// engine can continue: a typed end is the right answer, a splice is not.
		{name: "gateway killed and engine killed", mayEnd: true, bring: func(c *cluster) {
			v := c.busiestEngine()
			c.hosts[0].gateway.Kill()
			v.process.Kill()
		}},
		{name: "document changed mid-stream", bring: func(c *cluster) { c.applyDocument(documentWith("v2")) }},
		{name: "store down", bring: func(c *cluster) { c.store.Freeze() }},
		{name: "gateway frozen, then thawed", bring: func(c *cluster) {
			c.hosts[0].gateway.Freeze()
			<-time.After(2 * time.Second) // longer than the peers' suspicion
			c.hosts[0].gateway.Signal(syscall.SIGCONT)
		}},
	}
}

// pastSuspicion is longer than it takes until peers count a host as dead.
const pastSuspicion = 7 * time.Second

// poolOwner returns the host whose agent owns the pool of the model.
func (c *cluster) poolOwner() *host {
	var names []string
	for _, h := range c.hosts {
		names = append(names, h.name)
	}
	return c.hostNamed(rendezvous.Owner("briefing/sk-west", names))
}

func TestTokensExactlyOnce(t *testing.T) {
	t.Parallel()
	for _, fault := range streamFaults() {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			proveStreams(t, fault.name, fault)
		})
	}
}

func proveStreams(t *testing.T, name string, fault streamFault) {
	if testing.Short() && !fault.short {
		t.Skip("not in the short form")
	}
	defer slot()()
	figures := ""
	record(t, "tokens exactly once", name, &figures)
	c := startCluster(t, clusterSize{hosts: 3, engines: 4, engineArgs: fault.args})
	r := draw(t)
	spec := trafficSpec{streams: 16, tokens: 150 + r.IntN(150), resume: true, adapter: ""}
	if fault.tokens > 0 {
		spec.tokens = fault.tokens
	}
	spec.trigger = int64(spec.streams * (20 + r.IntN(spec.tokens/2)))
	tr := startTraffic(c, spec)
	tr.awaitReached()
	fault.bring(c)
	tr.finish()
	if fault.mayEnd {
		tokens, failed := tr.checkWholeOrTyped(t, spec, "v1")
		figures = fmt.Sprintf("%d streams, %d tokens, %d typed ends, longest pause %s", spec.streams, tokens, failed, tr.maxGap().Round(time.Millisecond))
		return
	}
	tokens := tr.checkWhole(t, spec, "v1")
	figures = fmt.Sprintf("%d streams, %d tokens, longest pause %s", spec.streams, tokens, tr.maxGap().Round(time.Millisecond))
}
