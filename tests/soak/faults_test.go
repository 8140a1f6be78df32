package soak

import (
	"net/http"
	"sync"
	"time"

	"corianderhitch/internal/platform/memstore"
	"corianderhitch/platform/standin"
	"corianderhitch/tests/harness"
)

// Kinds of disturbances. Checks refer to plannedStop.
const (
	plannedStop    = "planned stop"
	settingsReload = "hangup"
)

// meanFaultInterval is the mean time between the beginnings of two faults. Most
// faults last longer, so that they overlap.
const meanFaultInterval = 300 * time.Millisecond

// fault is one kind of fault. inject returns when the fault is over.
type fault struct {
	name   string
	inject func(c *cluster, choices faultChoices)
}

// faultChoices are the random choices of one fault. The goroutine that owns the
// random source draws them before the fault starts.
type faultChoices struct {
	pick     int
	duration time.Duration // from 0.2 to 3 s
	mode     harness.Mode
}

var faults = []fault{
	{"crash", func(c *cluster, choices faultChoices) {
		c.crashAndRestart(c.pickHost(choices), choices.duration/3)
	}},
	{"freeze", func(c *cluster, choices faultChoices) {
		c.freeze(c.pickHost(choices), choices.duration)
	}},
	{plannedStop, func(c *cluster, choices faultChoices) { c.stopAndRestart(c.pickHost(choices)) }},
	{settingsReload, func(c *cluster, choices faultChoices) { c.reloadSettings(c.pickHost(choices)) }},
	{"store path", func(c *cluster, choices faultChoices) {
		h := c.pickHost(choices)
		c.disturbances.during(h.name, "store path", func() { disturbProxy(h.storeProxy, h.storeProxy.CloseConnections, choices) })
	}},
	{"store path", func(c *cluster, choices faultChoices) {
		h := c.pickHost(choices)
		c.disturbances.during(h.name, "store path", func() { disturbProxy(h.storeProxy, h.storeProxy.CloseConnections, choices) })
	}},
	{"store down", func(c *cluster, choices faultChoices) { c.storeFault(memstore.Fault{Outage: true}, choices.duration) }},
	{"store slow", func(c *cluster, choices faultChoices) {
		c.storeFault(memstore.Fault{RequestDelay: choices.duration / 8}, choices.duration)
	}},
	{"store loses answers", func(c *cluster, choices faultChoices) {
		c.storeFault(memstore.Fault{LoseAnswers: 0.5}, choices.duration)
	}},
	{"target path", func(c *cluster, choices faultChoices) { c.disturbTargetPath(engineService, choices) }},
	{"target path", func(c *cluster, choices faultChoices) { c.disturbTargetPath(plainService, choices) }},
	{"engine leaves", func(c *cluster, choices faultChoices) { c.replaceTarget(engineService, choices, c.retireTarget) }},
	{"engine leaves", func(c *cluster, choices faultChoices) { c.replaceTarget(engineService, choices, c.retireTarget) }},
	{"engine crashes", func(c *cluster, choices faultChoices) { c.replaceTarget(engineService, choices, c.removeTarget) }},
	{"plain target leaves", func(c *cluster, choices faultChoices) { c.replaceTarget(plainService, choices, c.retireTarget) }},
	{"plain target fails", func(c *cluster, choices faultChoices) { c.failPlainTarget(choices) }},
	{"configuration", func(c *cluster, _ faultChoices) { c.applyNextVersion() }},
	{"key revoked", func(c *cluster, _ faultChoices) { c.rotateKeys() }},
}

// injectFaults injects faults for the given time and waits until the last one is
// over.
func (c *cluster) injectFaults(length time.Duration) {
	var wait sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); {
		f := faults[c.random.IntN(len(faults))]
		choices := faultChoices{
			pick: c.random.Int(), duration: 200*time.Millisecond + time.Duration(c.random.Float64()*float64(2800*time.Millisecond)),
			mode: []harness.Mode{harness.Pass, harness.Stall, harness.StallUp, harness.StallDown, harness.CloseNew}[c.random.IntN(5)],
		}
		wait.Go(func() { f.inject(c, choices) })
		time.Sleep(time.Duration(c.random.ExpFloat64() * float64(meanFaultInterval)))
	}
	wait.Wait()
}

// endFaults resets the store, the proxies and the plain targets to normal service.
func (c *cluster) endFaults() {
	c.setFault(memstore.Fault{})
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.hosts {
		h.storeProxy.SetMode(harness.Pass)
		h.storeProxy.SetDelay(0)
	}
	for _, t := range c.targets {
		t.proxy.SetMode(harness.Pass)
		t.proxy.SetDelay(0)
		t.pause(0)
		t.fallSilent(standin.AtOnce, 0) // one that is pending doesn't begin
		if t.plain != nil {
			t.plain.SetHandler(nil)
		}
	}
}

func (c *cluster) pickHost(choices faultChoices) *host { return c.hosts[choices.pick%len(c.hosts)] }

// disturbProxy delays, stalls or cuts a proxy's connections for the chosen time.
func disturbProxy(p *harness.Proxy, cut func(), choices faultChoices) {
	switch choices.mode {
	case harness.Pass:
		p.SetDelay(choices.duration / 20)
	case harness.CloseNew:
		cut()
		p.SetMode(choices.mode)
	default:
		p.SetMode(choices.mode)
	}
	time.Sleep(choices.duration)
	p.SetDelay(0)
	p.SetMode(harness.Pass)
}

func (c *cluster) storeFault(f memstore.Fault, length time.Duration) {
	c.disturbances.during(storeSubject, "store", func() {
		c.setFault(f)
		time.Sleep(length)
		c.setFault(memstore.Fault{})
	})
}

func (c *cluster) disturbTargetPath(service string, choices faultChoices) {
	if active := c.activeTargets(service); len(active) > 0 {
		t := active[choices.pick%len(active)]
		c.disturbances.during(t.id, "target path", func() { disturbProxy(t.proxy, t.cutConnections, choices) })
	}
}

// replaceTarget adds a target and removes another one by the given function.
func (c *cluster) replaceTarget(service string, choices faultChoices, remove func(*target)) {
	active := c.activeTargets(service)
	t := active[choices.pick%len(active)]
	c.mu.Lock()
	leaving := !t.leavingSince.IsZero() || t.removed || t.replaced
	t.replaced = t.replaced || len(active) >= 2
	c.mu.Unlock()
	if leaving || len(active) < 2 {
		return
	}
	if service == engineService {
		c.addEngine()
	} else {
		c.addPlainTarget(service)
	}
	c.disturbances.during(t.id, "leaves", func() { remove(t) })
}

// failPlainTarget makes a plain target answer with errors, close connections without an
// answer, or reset them in an answer.
func (c *cluster) failPlainTarget(choices faultChoices) {
	active := c.activeTargets(plainService)
	t := active[choices.pick%len(active)]
	c.disturbances.during(t.id, "fails", func() {
		t.plain.SetHandler(func(rw http.ResponseWriter, r *http.Request) {
			switch choices.pick % 4 {
			case 0:
				panic(http.ErrAbortHandler)
			case 2:
				standin.BreakOff(rw, r)
			default:
				standin.Fail(rw, r)
			}
		})
		time.Sleep(choices.duration)
		t.plain.SetHandler(nil)
	})
}
