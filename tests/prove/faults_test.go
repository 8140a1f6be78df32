package prove

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"corianderhitch/internal/platform/memstore"
	"corianderhitch/tests/harness"
)

// clusterFault is a fault that any kind of traffic can be combined with.
type clusterFault struct {
	name string
	// inject starts the fault on the given subjects and returns when it is over or
	// has lasted long enough. end undoes its remaining effects, such as a killed process.
	inject func(t *testing.T, c *cluster, subjects faultSubjects) (end func())
	// loses says which copies of a stream's delivered tokens the fault may destroy.
	// Only the loss of both allows a stream to end with a typed error.
	loses tokenCopies
}

// tokenCopies is a set of the places that hold a stream's delivered tokens.
type tokenCopies uint8

const (
	onGateway tokenCopies = 1 << iota
	onEngine
	onBoth = onGateway | onEngine
)

// faultSubjects are the host and the targets that the seed chose for a fault. Each
// fault affects one of them or a whole kind.
type faultSubjects struct {
	host    *host
	engine  *target
	service *target
}

const (
	// faultDuration is how long stalls and outages last: longer than any timeout of
	// a call, shorter than a lease.
	faultDuration = 3 * time.Second
	// reclaimNotice is the time between an engine's leaving notice and its stop.
	reclaimNotice = 300 * time.Millisecond
)

func clusterFaults() []clusterFault {
	all := append(engineFaults(), hostFaults()...)
	all = append(all, storeFaults()...)
	return append(all, serviceFaults()...)
}

func noop() {}

// restartAfterExit returns a function that waits until the process has exited, starts
// it again unless another fault has done so, and waits until it is ready.
func restartAfterExit(t *testing.T, p *harness.Process, ready func()) func() {
	ended := p.Ended()
	return func() {
		p.RestartAfter(t, ended)
		ready()
	}
}

// restartTargetAfterExit is restartAfterExit for a target. It also reopens the
// target's proxy.
func restartTargetAfterExit(t *testing.T, c *cluster, target *target) func() {
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
		{name: "engine killed", loses: onEngine, inject: func(t *testing.T, c *cluster, subjects faultSubjects) func() {
			restart := restartTargetAfterExit(t, c, subjects.engine)
			subjects.engine.process.Kill()
			return restart
		}},
		{name: "engine frozen", loses: onEngine, inject: func(_ *testing.T, _ *cluster, subjects faultSubjects) func() {
			subjects.engine.process.Freeze()
			<-time.After(faultDuration)
			return subjects.engine.process.Thaw
		}},
		{name: "engine reclaimed", loses: onEngine, inject: func(t *testing.T, c *cluster, subjects faultSubjects) func() {
			restart := restartTargetAfterExit(t, c, subjects.engine)
			url := "http://" + subjects.engine.direct + "/admin/reclaim"
			_ = tryCallAdmin(http.MethodPost, url, map[string]int64{"notice_ns": int64(reclaimNotice)})
			return restart
		}},
		{name: "engine link stalled", loses: onEngine, inject: func(_ *testing.T, _ *cluster, subjects faultSubjects) func() {
			subjects.engine.link.SetMode(harness.Stall)
			<-time.After(faultDuration)
			return func() { subjects.engine.link.SetMode(harness.Pass) }
		}},
		{name: "engine links cut", inject: func(_ *testing.T, c *cluster, _ faultSubjects) func() {
			for _, e := range c.engines {
				e.link.CloseConnections()
			}
			return noop
		}},
		{name: "engine leaving", inject: func(_ *testing.T, _ *cluster, subjects faultSubjects) func() {
			url := "http://" + subjects.engine.direct + "/admin/leaving"
			_ = tryCallAdmin(http.MethodPut, url, map[string]bool{"leaving": true})
			<-time.After(faultDuration)
			return func() { _ = tryCallAdmin(http.MethodPut, url, map[string]bool{"leaving": false}) }
		}},
	}
}

func hostFaults() []clusterFault {
	ready := func(c *cluster, h *host) func() { return func() { c.awaitReady(h) } }
	return []clusterFault{
		{name: "gateway killed", loses: onGateway, inject: func(t *testing.T, c *cluster, subjects faultSubjects) func() {
			restart := restartAfterExit(t, subjects.host.gateway, ready(c, subjects.host))
			subjects.host.gateway.Kill()
			return restart
		}},
		{name: "gateway frozen", inject: func(_ *testing.T, _ *cluster, subjects faultSubjects) func() {
			subjects.host.gateway.Freeze()
			<-time.After(faultDuration)
			return subjects.host.gateway.Thaw
		}},
		{name: "agent killed", inject: func(t *testing.T, c *cluster, subjects faultSubjects) func() {
			restart := restartAfterExit(t, subjects.host.agent, ready(c, subjects.host))
			subjects.host.agent.Kill()
			return restart
		}},
		{name: "agent frozen past suspicion", inject: func(_ *testing.T, _ *cluster, subjects faultSubjects) func() {
			subjects.host.agent.Freeze()
			<-time.After(declaredDeadAfter)
			return subjects.host.agent.Thaw
		}},
		{name: "host killed", loses: onGateway, inject: func(t *testing.T, c *cluster, subjects faultSubjects) func() {
			restartAgent, restartGateway := restartAfterExit(t, subjects.host.agent, noop), restartAfterExit(t, subjects.host.gateway, noop)
			subjects.host.gateway.Kill()
			subjects.host.agent.Kill()
			return func() {
				restartAgent()
				restartGateway()
				c.awaitReady(subjects.host)
			}
		}},
		{name: "host without store, out of reach", inject: func(_ *testing.T, c *cluster, subjects faultSubjects) func() {
			c.partition(subjects.host)
			<-time.After(faultDuration)
			return func() { subjects.host.storeLink.SetMode(harness.Pass); subjects.host.agentLink.SetMode(harness.Pass) }
		}},
		{name: "gateway stopped in order", inject: func(t *testing.T, c *cluster, subjects faultSubjects) func() {
			restart := restartAfterExit(t, subjects.host.gateway, ready(c, subjects.host))
			subjects.host.gateway.Signal(syscall.SIGTERM)
			return restart
		}},
	}
}

func storeFaults() []clusterFault {
	temporarily := func(fault memstore.Fault) func(*testing.T, *cluster, faultSubjects) func() {
		return func(_ *testing.T, c *cluster, _ faultSubjects) func() {
			c.storeFault(fault)
			<-time.After(faultDuration)
			return func() { c.storeFault(memstore.Fault{}) }
		}
	}
	return []clusterFault{
		{name: "store down", inject: temporarily(memstore.Fault{Outage: true})},
		{name: "store answers lost", inject: temporarily(memstore.Fault{LoseAnswers: 0.5})},
		{name: "store slow", inject: temporarily(memstore.Fault{AnswerDelay: 400 * time.Millisecond})},
		{name: "store writes late", inject: temporarily(memstore.Fault{RequestDelay: 1500 * time.Millisecond})},
		{name: "store link of a host stalled", inject: func(_ *testing.T, _ *cluster, subjects faultSubjects) func() {
			subjects.host.storeLink.SetMode(harness.StallDown)
			<-time.After(faultDuration)
			return func() { subjects.host.storeLink.SetMode(harness.Pass) }
		}},
	}
}

func serviceFaults() []clusterFault {
	return []clusterFault{
		{name: "service killed", inject: func(t *testing.T, c *cluster, subjects faultSubjects) func() {
			restart := restartTargetAfterExit(t, c, subjects.service)
			subjects.service.process.Kill()
			return restart
		}},
		{name: "service runs and dies", inject: func(t *testing.T, c *cluster, subjects faultSubjects) func() {
			restart := restartTargetAfterExit(t, c, subjects.service)
			_ = tryCallAdmin(http.MethodPut, "http://"+subjects.service.direct+"/admin/fault", serviceFault{CrashNext: 1})
			return restart
		}},
		{name: "service runs and cuts answers", inject: func(_ *testing.T, _ *cluster, subjects faultSubjects) func() {
			_ = tryCallAdmin(http.MethodPut, "http://"+subjects.service.direct+"/admin/fault", serviceFault{DropResponseNext: 5})
			return noop
		}},
		{name: "service link stalled", inject: func(_ *testing.T, _ *cluster, subjects faultSubjects) func() {
			subjects.service.link.SetMode(harness.StallDown)
			<-time.After(faultDuration)
			return func() { subjects.service.link.SetMode(harness.Pass) }
		}},
	}
}
