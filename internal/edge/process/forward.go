package process

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/forwarding"
	"corianderhitch/internal/edge/region"
	"corianderhitch/internal/edge/targetconn"
	"corianderhitch/internal/edge/targets"
)

const (
	// reachCheckInterval is how often a host checks whether targets are to be probed.
	reachCheckInterval = 100 * time.Millisecond
	// probeTimeout bounds a probe of a target.
	probeTimeout = 300 * time.Millisecond
)

// forwarder implements targetconn.Forwarder with a detector for each service.
type forwarder struct {
	process *Process
	helpers *forwarding.Helpers

	mu        sync.Mutex
	detectors map[string]*forwarding.Detector // guarded by mu; by service
}

var _ targetconn.Forwarder = (*forwarder)(nil)

func newForwarder(p *Process) *forwarder {
	return &forwarder{process: p, helpers: forwarding.NewHelpers(), detectors: make(map[string]*forwarding.Detector)}
}

// detector returns the detector of a service.
func (f *forwarder) detector(service string) *forwarding.Detector {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.detectors[service]
	if d == nil {
		d = forwarding.NewDetector(func(cut bool, e forwarding.Evidence) { f.process.onReachChange(service, cut, e) })
		f.detectors[service] = d
	}
	return d
}

// cutOff reports whether this host reaches no target of the service of an incarnation.
func (f *forwarder) cutOff(incarnation string) bool {
	t := f.process.targets.View().Get(incarnation)
	return t != nil && f.detector(t.Service).CutOff()
}

// Helpers implements targetconn.Forwarder.
func (f *forwarder) Helpers(incarnation string, regions region.Set) (addresses []string, cutOff bool) {
	if !f.cutOff(incarnation) {
		return nil, false
	}
	chosen, proven := f.helpers.Choose(f.process.members.Forwarders(regions), bootclock.Now())
	if proven == 0 {
		f.process.members.WantList() // hosts that can help may have started since
	}
	return chosen, true
}

// ObserveOpening implements targetconn.Forwarder.
func (f *forwarder) ObserveOpening(incarnation string, usable bool) {
	view := f.process.targets.View()
	if t := view.Get(incarnation); t != nil && !t.Leaving && !view.Evacuated(incarnation) {
		f.detector(t.Service).ObserveOpening(incarnation, usable, len(view.Serving(t.Service)), bootclock.Now())
	}
}

// ObserveHelper implements targetconn.Forwarder.
func (f *forwarder) ObserveHelper(address string, outcome targetconn.ForwardOutcome) {
	f.process.metrics.ObserveForwarded(string(outcome))
	f.helpers.Observe(address, outcome, bootclock.Now())
}

// onReachChange is called when this host has lost or regained its way to the targets of a service.
func (p *Process) onReachChange(service string, cut bool, e forwarding.Evidence) {
	if !cut {
		p.log.Info("forward: host reaches the targets of a service again", "service", service, "reached", e.Reached)
		return
	}
	p.log.Warn("forward: host reaches no target of a service; other hosts are asked to send its requests", "service", service,
		"unreachable", e.Unreachable, "probe", e.Probe, "helpers", len(p.members.Forwarders(region.Set{})))
	for _, t := range p.targets.View().Serving(service) {
		p.pool.CloseAllIdle(t.Key())
		p.plain.Health.Forget(t.Key()) // the failures need not be the target's
	}
}

// watchReach probes targets while this host may have lost its way to them, until ctx ends.
func (p *Process) watchReach(ctx context.Context) {
	ticker := time.NewTicker(reachCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		c := p.policy.Current()
		if c == nil {
			continue
		}
		silence := p.pool.Silence()
		var probes sync.WaitGroup
		for _, service := range c.ServiceNames() {
			d := p.forwarder.detector(service)
			if n := d.ProbesDue(silence, bootclock.Now()); n > 0 {
				probes.Go(func() { d.ObserveProbe(p.probe(ctx, service, n), bootclock.Now()) })
			}
		}
		probes.Wait()
	}
}

// probe opens connections to n random targets of a service at the same time.
func (p *Process) probe(ctx context.Context, service string, n int) forwarding.Evidence {
	chosen := append([]*targets.Target(nil), p.targets.View().Serving(service)...)
	rand.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
	chosen = chosen[:min(n, len(chosen))]
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reached := make([]bool, len(chosen))
	var probes sync.WaitGroup
	for i, t := range chosen {
		probes.Go(func() { reached[i] = p.pool.Probe(ctx, t.Key(), t.Address) == nil })
	}
	probes.Wait()
	var e forwarding.Evidence
	for _, ok := range reached {
		if ok {
			e.Reached++
		} else {
			e.Unreachable++
		}
	}
	return e
}
