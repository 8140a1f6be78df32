package prove

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"corianderhitch/internal/platform/memstore"
	"corianderhitch/tests/harness"
)

// clusterFault is a fault that any traffic can meet. It ends by itself or by end.
type clusterFault struct {
	name string
	// bring begins the fault on a host and a target that the seed has drawn. end
	// brings back what it took.
	bring func(t *testing.T, c *cluster, drawn drawn) (end func())
	// loses names the copies of a stream's delivered tokens that are gone for
	// good. Only the loss of both allows a stream to end by a typed error.
	loses copies
}

// copies are where the delivered tokens of a stream are.
type copies uint8

const (
	onGateway copies = 1 << iota
	onEngine
	onBoth = onGateway | onEngine
)

// drawn is the part of the cluster that a fault hits.
type drawn struct {
	host    *host
	engine  *target
	service *target
}

const (
	// faultLength is how long stalls and outages last: longer than any timeout of
	// a call, shorter than a lease.
	faultLength = 3 * time.Second
	// pairNotice is the notice of a reclaimed engine.
	pairNotice = 300 * time.Millisecond
)

func clusterFaults() []clusterFault {
	all := append(engineFaults(), hostFaults()...)
	all = append(all, storeFaults()...)
	return append(all, serviceFaults()...)
}

func nothing() {}

// revive returns a function that starts a process again after its end and waits
// until it is of use. Another fault may have started it again already.
func revive(t *testing.T, p *harness.Process, ready func()) func() {
	ended := p.Ended()
	return func() {
		p.RestartAfter(t, ended)
		ready()
	}
}

// reviveTarget is revive for a target, whose link listens again as well.
func reviveTarget(t *testing.T, c *cluster, target *target) func() {
	ended := target.process.Ended()
	return func() {
		if target.process.RestartAfter(t, ended) {
			c.awaitTarget(target)
			target.link.Reopen(t, target.process)
		}
	}
}

func engineFaults() []clusterFault {
	return []clusterFault{
		{name: "engine killed", loses: onEngine, bring: func(t *testing.T, c *cluster, d drawn) func() {
			back := reviveTarget(t, c, d.engine)
			d.engine.process.Kill()
			return back
		}},
		{name: "engine frozen", loses: onEngine, bring: func(_ *testing.T, _ *cluster, d drawn) func() {
			d.engine.process.Freeze()
			<-time.After(faultLength)
			return d.engine.process.Thaw
		}},
		{name: "engine reclaimed", loses: onEngine, bring: func(t *testing.T, c *cluster, d drawn) func() {
			back := reviveTarget(t, c, d.engine)
			url := "http://" + d.engine.direct + "/admin/reclaim"
			_ = trySend(http.MethodPost, url, map[string]int64{"notice_ns": int64(pairNotice)})
			return back
		}},
		{name: "engine link stalled", loses: onEngine, bring: func(_ *testing.T, _ *cluster, d drawn) func() {
			d.engine.link.SetMode(harness.Stall)
			<-time.After(faultLength)
			return func() { d.engine.link.SetMode(harness.Pass) }
		}},
		{name: "engine links cut", bring: func(_ *testing.T, c *cluster, _ drawn) func() {
			for _, e := range c.engines {
				e.link.CloseConnections()
			}
			return nothing
		}},
		{name: "engine leaving", bring: func(_ *testing.T, _ *cluster, d drawn) func() {
			url := "http://" + d.engine.direct + "/admin/leaving"
			_ = trySend(http.MethodPut, url, map[string]bool{"leaving": true})
			<-time.After(faultLength)
			return func() { _ = trySend(http.MethodPut, url, map[string]bool{"leaving": false}) }
		}},
	}
}

func hostFaults() []clusterFault {
	ready := func(c *cluster, h *host) func() { return func() { c.awaitReady(h) } }
	return []clusterFault{
		{name: "gateway killed", loses: onGateway, bring: func(t *testing.T, c *cluster, d drawn) func() {
			back := revive(t, d.host.gateway, ready(c, d.host))
			d.host.gateway.Kill()
			return back
		}},
		{name: "gateway frozen", bring: func(_ *testing.T, _ *cluster, d drawn) func() {
			d.host.gateway.Freeze()
			<-time.After(faultLength)
			return d.host.gateway.Thaw
		}},
		{name: "agent killed", bring: func(t *testing.T, c *cluster, d drawn) func() {
			back := revive(t, d.host.agent, ready(c, d.host))
			d.host.agent.Kill()
			return back
		}},
		{name: "agent frozen past suspicion", bring: func(_ *testing.T, _ *cluster, d drawn) func() {
			d.host.agent.Freeze()
			<-time.After(pastSuspicion)
			return d.host.agent.Thaw
		}},
		{name: "host killed", loses: onGateway, bring: func(t *testing.T, c *cluster, d drawn) func() {
			agent, gateway := revive(t, d.host.agent, nothing), revive(t, d.host.gateway, nothing)
			d.host.gateway.Kill()
			d.host.agent.Kill()
			return func() {
				agent()
				gateway()
				c.awaitReady(d.host)
			}
		}},
		{name: "host without store, out of reach", bring: func(_ *testing.T, c *cluster, d drawn) func() {
			c.isolate(d.host)
			<-time.After(faultLength)
			return func() { d.host.storeLink.SetMode(harness.Pass); d.host.agentLink.SetMode(harness.Pass) }
		}},
		{name: "gateway stopped in order", bring: func(t *testing.T, c *cluster, d drawn) func() {
			back := revive(t, d.host.gateway, ready(c, d.host))
			d.host.gateway.Signal(syscall.SIGTERM)
			return back
		}},
	}
}

func storeFaults() []clusterFault {
	lasting := func(fault memstore.Fault) func(*testing.T, *cluster, drawn) func() {
		return func(_ *testing.T, c *cluster, _ drawn) func() {
			c.storeFault(fault)
			<-time.After(faultLength)
			return func() { c.storeFault(memstore.Fault{}) }
		}
	}
	return []clusterFault{
		{name: "store down", bring: lasting(memstore.Fault{Outage: true})},
		{name: "store answers lost", bring: lasting(memstore.Fault{LoseAnswers: 0.5})},
		{name: "store slow", bring: lasting(memstore.Fault{AnswerDelay: 400 * time.Millisecond})},
		{name: "store writes late", bring: lasting(memstore.Fault{RequestDelay: 1500 * time.Millisecond})},
		{name: "store link of a host stalled", bring: func(_ *testing.T, _ *cluster, d drawn) func() {
			d.host.storeLink.SetMode(harness.StallDown)
			<-time.After(faultLength)
			return func() { d.host.storeLink.SetMode(harness.Pass) }
		}},
	}
}

func serviceFaults() []clusterFault {
	return []clusterFault{
		{name: "service killed", bring: func(t *testing.T, c *cluster, d drawn) func() {
			back := reviveTarget(t, c, d.service)
			d.service.process.Kill()
			return back
		}},
		{name: "service runs and dies", bring: func(t *testing.T, c *cluster, d drawn) func() {
			back := reviveTarget(t, c, d.service)
			_ = trySend(http.MethodPut, "http://"+d.service.direct+"/admin/fault", serviceFault{DieNext: 1})
			return back
		}},
		{name: "service runs and cuts answers", bring: func(_ *testing.T, _ *cluster, d drawn) func() {
			_ = trySend(http.MethodPut, "http://"+d.service.direct+"/admin/fault", serviceFault{CutNext: 5})
			return nothing
		}},
		{name: "service link stalled", bring: func(_ *testing.T, _ *cluster, d drawn) func() {
			d.service.link.SetMode(harness.StallDown)
			<-time.After(faultLength)
			return func() { d.service.link.SetMode(harness.Pass) }
		}},
	}
}
