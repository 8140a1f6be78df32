package drill

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"corianderhitch/internal/drill/deployment"
)

const (
	reclaimedShare = 0.17 // of the engines at a time
	minNotice      = 1500 * time.Millisecond
	maxNotice      = 2100 * time.Millisecond
	joinDelay      = 4 * time.Second
	resetShare     = 0.5 // of the targets that end with resets
)

// reclaim takes engines away after a short notice; others join some seconds later.
func reclaim(ctx context.Context, f *fleet, r *rand.Rand) error {
	for i := range f.deployment.Services {
		service := &f.deployment.Services[i]
		if service.Engine == nil {
			continue
		}
		share := int(math.Round(reclaimedShare * float64(f.targets.count(service.Name))))
		for _, t := range f.targets.take(r, service.Name, max(1, share)) {
			notice, reset := between(r, minNotice, maxNotice), r.Float64() < resetShare
			f.logger.Info("drill: reclaim", "target", t.ID(), "notice", notice)
			f.playing.Go(func() {
				f.targets.leave(t, service)
				if sleep(ctx, notice) != nil {
					return
				}
				f.targets.end(t, reset, false)
				f.join(ctx, service, t.Domain(), joinDelay)
			})
		}
	}
	return nil
}

// join starts a target after a delay.
func (f *fleet) join(ctx context.Context, service *deployment.Service, domain string, delay time.Duration) {
	if sleep(ctx, delay) != nil {
		return
	}
	if err := f.targets.start(service, domain); err != nil {
		f.logger.Error("drill: start of a target", "error", err)
	}
}
