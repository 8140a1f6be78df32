package drill

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"corianderhitch/internal/drill/deployment"
)

const (
	releasedShare = 0.45 // of a service's targets
	minReleaseGap = 100 * time.Millisecond
	maxReleaseGap = time.Second
)

// release replaces targets of a service one after the other: a new one starts, an old one
// leaves.
func release(ctx context.Context, f *fleet, r *rand.Rand) error {
	service := &f.deployment.Services[r.IntN(len(f.deployment.Services))]
	share := int(math.Ceil(releasedShare * float64(f.targets.count(service.Name))))
	f.logger.Info("drill: release", "service", service.Name, "targets", share)
	for range share {
		for _, t := range f.targets.take(r, service.Name, 1) {
			if err := f.targets.start(service, t.Domain()); err != nil {
				return err
			}
			reset := r.Float64() < resetShare
			f.playing.Go(func() {
				f.targets.leave(t, service)
				if sleep(ctx, f.deployment.Bounds.Drain+service.Linger) == nil {
					f.targets.end(t, reset, false)
				}
			})
		}
		if err := sleep(ctx, between(r, minReleaseGap, maxReleaseGap)); err != nil {
			return err
		}
	}
	return nil
}

const minRestart, maxRestart = 2 * time.Second, 5 * time.Second

// crashTargets ends a random target of each kind without notice and starts another one later.
func crashTargets(ctx context.Context, f *fleet, r *rand.Rand) error {
	service := &f.deployment.Services[r.IntN(len(f.deployment.Services))]
	for _, t := range f.targets.take(r, service.Name, 1) {
		f.logger.Info("drill: target crash", "target", t.ID())
		f.targets.end(t, r.Float64() < resetShare, true)
		delay := between(r, minRestart, maxRestart)
		f.playing.Go(func() { f.join(ctx, service, t.Domain(), delay) })
	}
	return nil
}

const (
	minLinger, maxLinger = 0 * time.Second, 8 * time.Second
	retiredShare         = 0.13 // of the engines at a time
)

// leaveByAnswers makes a target of a service state in its answers that it leaves, some seconds before
// its entry says so; another joins later.
func leaveByAnswers(ctx context.Context, f *fleet, r *rand.Rand) error {
	service := f.deployment.Service(f.deployment.Kinds[r.IntN(len(f.deployment.Kinds))].Service)
	for _, t := range f.targets.take(r, service.Name, 1) {
		linger, reset := between(r, minLinger, maxLinger), r.Float64() < resetShare
		f.logger.Info("drill: leaving by answers", "target", t.ID(), "linger", linger)
		f.playing.Go(func() {
			t.Leave()
			if sleep(ctx, f.deployment.Bounds.Drain+linger) == nil {
				f.replace(ctx, t, service, linger, reset)
			}
		})
	}
	return nil
}

// replace makes a target leave, serve for some time longer than the bound and end; another one joins then.
func (f *fleet) replace(ctx context.Context, t Target, service *deployment.Service, linger time.Duration, reset bool) {
	f.targets.leave(t, service)
	if sleep(ctx, f.deployment.Bounds.Drain+linger) != nil {
		return
	}
	f.targets.end(t, reset, false)
	f.join(ctx, service, t.Domain(), joinDelay)
}

// retire takes engines away that go on serving for some seconds after the bound; others join
// later.
func retire(ctx context.Context, f *fleet, r *rand.Rand) error {
	for i := range f.deployment.Services {
		service := &f.deployment.Services[i]
		if service.Engine == nil {
			continue
		}
		n := max(1, int(math.Round(retiredShare*float64(f.targets.count(service.Name)))))
		for _, t := range f.targets.take(r, service.Name, n) {
			linger, reset := between(r, minLinger, maxLinger), r.Float64() < resetShare
			f.logger.Info("drill: retire", "target", t.ID(), "linger", linger)
			f.playing.Go(func() { f.replace(ctx, t, service, linger, reset) })
		}
	}
	return nil
}
