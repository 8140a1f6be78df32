package soak

import (
	"fmt"
	"time"

	"corianderhitch/platform"
	"corianderhitch/platform/standin"
	"corianderhitch/tests/harness"
)

// target is an engine or a plain target behind a proxy. The store lists it under the
// proxy's address.
type target struct {
	id, service  string
	proxy        *harness.Proxy
	engine       *standin.Engine      // nil for a plain target
	plain        *standin.PlainTarget // nil for an engine
	leavingSince time.Time            // guarded by cluster.mu; when the store acknowledged that it is leaving
	removed      bool                 // guarded by cluster.mu
	removedAt    time.Time            // guarded by cluster.mu; just before the target ended
	unframed     bool                 // its answers have neither a length nor chunks
	replaced     bool                 // guarded by cluster.mu; another target takes its place
}

func (c *cluster) addEngine() {
	c.add(engineService, func(id string, t *target) string {
		t.engine = c.engines.Start(id, listen(c.t))
		if *goOn {
			t.engine.ContinueWithoutCaller()
		}
		c.t.Cleanup(t.engine.Crash)
		return t.engine.Address()
	})
}

func (c *cluster) addPlainTarget(service string) {
	c.add(service, func(id string, t *target) string {
		t.plain = standin.StartPlainTarget(id, listen(c.t))
		c.t.Cleanup(t.plain.Close)
		return t.plain.Address()
	})
}

func (c *cluster) add(service string, start func(id string, t *target) (address string)) {
	c.mu.Lock()
	c.targetsStarted++
	t := &target{id: fmt.Sprintf("t-%d", c.targetsStarted), service: service, unframed: c.targetsStarted%unframedShare == 0}
	c.mu.Unlock()
	t.proxy = harness.NewProxy(c.t, start(t.id, t))
	if t.unframed {
		t.endWithConnection()
	}
	if t.engine != nil {
		c.engines.SetAddress(t.engine, t.proxy.Address())
	}
	c.register(t, "ready")
	c.mu.Lock()
	c.targets = append(c.targets, t)
	c.mu.Unlock()
}

func (c *cluster) register(t *target, state string) {
	c.put(platform.TargetPrefix+t.id, standin.TargetEntryIn(c.domainOf(t.id), t.service, t.proxy.Address(), state, 24))
}

// domainOf returns the failure domain of a target.
func (c *cluster) domainOf(target string) string {
	var n int
	_, _ = fmt.Sscanf(target, "t-%d", &n)
	return string(rune('a' + n%max(c.site.domains, 1)))
}

// activeTargets returns the targets of a service that are neither leaving nor
// removed.
func (c *cluster) activeTargets(service string) []*target {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*target
	for _, t := range c.targets {
		if t.service == service && t.leavingSince.IsZero() && !t.removed && !t.replaced {
			out = append(out, t)
		}
	}
	return out
}

// leavingLife is how much longer than leavingBound a leaving target serves.
const leavingLife = 1500 * time.Millisecond

// retireTarget announces that a target is leaving and removes it when hosts should long have
// stopped to send to it.
func (c *cluster) retireTarget(t *target) {
	t.leave()
	c.register(t, "draining")
	c.mu.Lock()
	t.leavingSince = time.Now()
	c.mu.Unlock()
	time.Sleep(leavingBound + leavingLife)
	c.removeTarget(t)
}

// cutConnections ends the connections to the target. A close would look like the end of an
// answer without a length.
func (t *target) cutConnections() {
	if t.unframed {
		t.proxy.ResetConnections()
		return
	}
	t.proxy.CloseConnections()
}

// removeTarget ends a target and deletes its entry. Without a leaving notice before,
// hosts see a crash.
func (c *cluster) removeTarget(t *target) {
	c.mu.Lock()
	t.removed, t.removedAt = true, time.Now()
	c.mu.Unlock()
	t.proxy.StopListening()
	if t.engine != nil {
		t.engine.Crash()
	} else {
		t.plain.Close()
	}
	t.cutConnections()
	c.remove(platform.TargetPrefix + t.id)
}
