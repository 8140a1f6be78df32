package soak

import (
	"context"
	"fmt"
	"time"

	ports "corianderhitch/internal/platform"
	"corianderhitch/platform"
	"corianderhitch/platform/standin"
	"corianderhitch/tests/harness"
)

// target is an engine or a desk behind a proxy, which is the address that it is
// listed with.
type target struct {
	id, service string
	proxy       *harness.Proxy
	engine      *standin.Engine // one of the two is set
	desk        *standin.PlainTarget
	drained     time.Time // guarded by world.mu; when the store acknowledged that it leaves
	gone        bool      // guarded by world.mu
}

func (w *world) addEngine() {
	w.add(engines, func(id string, t *target) string {
		t.engine = w.engines.Start(id, listen(w.t))
		w.t.Cleanup(t.engine.Crash)
		return t.engine.Address()
	})
}

func (w *world) addDesk(service string) {
	w.add(service, func(id string, t *target) string {
		t.desk = standin.StartPlainTarget(id, listen(w.t))
		w.t.Cleanup(t.desk.Close)
		return t.desk.Address()
	})
}

func (w *world) add(service string, start func(id string, t *target) (address string)) {
	w.mu.Lock()
	w.numbers++
	t := &target{id: fmt.Sprintf("t-%d", w.numbers), service: service}
	w.mu.Unlock()
	t.proxy = harness.NewProxy(w.t, start(t.id, t))
	if t.engine != nil {
		w.engines.SetAddress(t.engine, t.proxy.Address())
	}
	w.register(t, "ready")
	w.mu.Lock()
	w.targets = append(w.targets, t)
	w.mu.Unlock()
}

func (w *world) register(t *target, state string) {
	w.put(platform.TargetPrefix+t.id, standin.TargetEntry(t.service, t.proxy.Address(), state, 24))
}

// live returns the targets of a service that do not leave.
func (w *world) live(service string) []*target {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*target
	for _, t := range w.targets {
		if t.service == service && t.drained.IsZero() && !t.gone {
			out = append(out, t)
		}
	}
	return out
}

// drain announces that a target leaves, and ends it when it may.
func (w *world) drain(t *target) {
	w.register(t, "draining")
	w.mu.Lock()
	t.drained = time.Now()
	w.mu.Unlock()
	time.Sleep(drainWithin + scheduling)
	w.end(t)
}

// end ends a target, without notice if it was not drained.
func (w *world) end(t *target) {
	w.mu.Lock()
	t.gone = true
	w.mu.Unlock()
	t.proxy.Unlisten()
	if t.engine != nil {
		t.engine.Crash()
	} else {
		t.desk.Close()
	}
	t.proxy.Cut()
	w.withoutFault(func() error {
		return w.store.Delete(context.Background(), platform.TargetPrefix+t.id, ports.AnyRevision)
	})
}
