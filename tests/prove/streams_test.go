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

// streamFault is one fault against running streams.
type streamFault struct {
	name   string
	args   []string // flags of the engines
	short  bool     // part of the short form
	inject func(c *cluster)
	// mayFail allows a stream to end with a typed terminal error.
	mayFail bool
	// tokens is the length of each answer; 0 means the usual one.
	tokens int
}

// streamFaults returns the faults under which every caller must receive each token
// exactly once, in order and from one generation.
func streamFaults() []streamFault {
	return slices.Concat(engineStreamFaults(), linkStreamFaults(), hostStreamFaults())
}

// engineStreamFaults returns the faults of engines.
func engineStreamFaults() []streamFault {
	return []streamFault{
		{name: "none", short: true, inject: func(*cluster) {}},
		{name: "engine killed", short: true, inject: func(c *cluster) { c.busiestEngine().process.Kill() }},
		{name: "engine frozen for good", inject: func(c *cluster) { c.busiestEngine().process.Freeze() }},
		{name: "engine frozen, then thawed", inject: func(c *cluster) {
			engine := c.busiestEngine()
			engine.process.Freeze()
			<-time.After(3 * time.Second) // longer than any stall timeout, so that streams fail over
			engine.process.Thaw()
		}},
		{name: "engine reclaimed at short notice", inject: func(c *cluster) { c.reclaim(c.busiestEngine(), 500*time.Millisecond) }},
		{name: "memory full mid-decode", tokens: 400, inject: func(c *cluster) {
			for _, e := range c.engines {
				c.setMemory(e, 8) // of which four sequences already use more than half
			}
		}},
	}
}

// linkStreamFaults returns the faults of links between gateways and engines.
func linkStreamFaults() []streamFault {
	return []streamFault{
		{name: "link cut", short: true, inject: func(c *cluster) { c.busiestEngine().link.CloseConnections() }},
		{name: "all links cut three times", inject: func(c *cluster) {
			for range 3 {
				for _, e := range c.engines {
					e.link.CloseConnections()
				}
				<-time.After(300 * time.Millisecond) // lets streams reconnect before the links fail again
			}
		}},
		{name: "link stalled for good", inject: func(c *cluster) { c.busiestEngine().link.SetMode(harness.Stall) }},
		{name: "link one-way: no bytes from engine", inject: func(c *cluster) { c.busiestEngine().link.SetMode(harness.StallDown) }},
		{name: "link one-way: no bytes to engine", inject: func(c *cluster) { c.busiestEngine().link.SetMode(harness.StallUp) }},
	}
}

// hostStreamFaults returns the faults of hosts and the store, and a change of the
// document.
func hostStreamFaults() []streamFault {
	return []streamFault{
		{name: "gateway killed, callers reconnect", short: true, inject: func(c *cluster) { c.hosts[0].gateway.Kill() }},
		{name: "host killed, callers reconnect", inject: func(c *cluster) {
			c.hosts[1].gateway.Kill()
			c.hosts[1].agent.Kill()
		}},
		{name: "all agents killed", inject: func(c *cluster) {
			for _, h := range c.hosts {
				h.agent.Kill()
			}
		}},
		{name: "pool owner frozen past suspicion, then thawed", inject: func(c *cluster) {
			owner := c.poolOwner()
			owner.agent.Freeze()
			<-time.After(declaredDeadAfter)
			owner.agent.Thaw()
		}, tokens: 450},
		{name: "request directory's hosts frozen in turn", tokens: 450, inject: func(c *cluster) {
			for _, h := range c.hosts {
				h.agent.Freeze()
				<-time.After(2 * time.Second) // longer than the timeout of a call to an agent
				h.agent.Thaw()
			}
		}},
		// Both copies of the delivered tokens are lost at the same time, so that no
		// engine can continue the streams. They may end with a typed error, but
		// must not continue with another generation's tokens.
		{name: "gateway killed and engine killed", mayFail: true, inject: func(c *cluster) {
			engine := c.busiestEngine()
			c.hosts[0].gateway.Kill()
			engine.process.Kill()
		}},
		{name: "document changed mid-stream", inject: func(c *cluster) { c.applyDocument(documentWith("v2")) }},
		{name: "store down", inject: func(c *cluster) { c.store.Freeze() }},
		{name: "gateway frozen, then thawed", inject: func(c *cluster) {
			c.hosts[0].gateway.Freeze()
			<-time.After(2 * time.Second) // longer than peers take to suspect a silent host
			c.hosts[0].gateway.Signal(syscall.SIGCONT)
		}},
	}
}

// declaredDeadAfter is longer than peers take to declare a silent host dead.
const declaredDeadAfter = 7 * time.Second

// poolOwner returns the host whose agent owns the model's pool, while all hosts are
// alive.
func (c *cluster) poolOwner() *host {
	var names []string
	for _, h := range c.hosts {
		names = append(names, h.name)
	}
	return c.hostNamed(rendezvous.Owner("briefing/sk-west", names))
}

// TestTokensExactlyOnce injects faults into running streams. Each caller must receive
// its complete answer from one generation.
func TestTokensExactlyOnce(t *testing.T) {
	t.Parallel()
	for _, fault := range streamFaults() {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			runStreamFault(t, fault.name, fault)
		})
	}
}

func runStreamFault(t *testing.T, name string, fault streamFault) {
	if testing.Short() && !fault.short {
		t.Skip("not in the short form")
	}
	defer acquireSlot()()
	summary := ""
	recordResult(t, "tokens exactly once", name, &summary)
	c := startCluster(t, clusterSpec{hosts: 3, engines: 4, engineArgs: fault.args})
	r := randomFor(t)
	spec := trafficSpec{streams: 16, tokens: 150 + r.IntN(150), resume: true, adapter: ""}
	if fault.tokens > 0 {
		spec.tokens = fault.tokens
	}
	spec.trigger = int64(spec.streams * (20 + r.IntN(spec.tokens/2)))
	tr := startTraffic(c, spec)
	tr.awaitReached()
	fault.inject(c)
	tr.finish()
	if fault.mayFail {
		tokens, failed := tr.checkCompleteOrFailed(t, spec, "v1")
		summary = fmt.Sprintf("%d streams, %d tokens, %d typed ends, longest pause %s", spec.streams, tokens, failed, tr.maxGap().Round(time.Millisecond))
		return
	}
	tokens := tr.checkComplete(t, spec, "v1")
	summary = fmt.Sprintf("%d streams, %d tokens, longest pause %s", spec.streams, tokens, tr.maxGap().Round(time.Millisecond))
}
