package drill

import (
	"context"
	"math/rand/v2"
	"time"

	"corianderhitch/internal/drill/record"
)

const (
	// minEvacuatedBeyond and maxEvacuatedBeyond are how long an evacuation lasts beyond its bound.
	minEvacuatedBeyond, maxEvacuatedBeyond = 3 * time.Second, 9 * time.Second
	// flickerShare of the evacuations is taken back within maxFlicker and set again at once.
	flickerShare = 0.3
	maxFlicker   = 900 * time.Millisecond
)

// evacuate evacuates a failure domain for some seconds, unless it is the only one or the deployment
// states no bound.
func evacuate(ctx context.Context, f *fleet, r *rand.Rand) error {
	bound := f.deployment.Bounds.Evacuate
	if bound <= 0 || len(f.deployment.Domains) < 2 {
		return nil
	}
	domain := f.deployment.Domains[r.IntN(len(f.deployment.Domains))].Name
	if r.Float64() < flickerShare {
		if err := f.evacuateFor(ctx, domain, between(r, 0, maxFlicker)); err != nil {
			return err
		}
	}
	return f.evacuateFor(ctx, domain, bound+between(r, minEvacuatedBeyond, maxEvacuatedBeyond))
}

// evacuateFor evacuates a failure domain for a time.
func (f *fleet) evacuateFor(ctx context.Context, domain string, d time.Duration) error {
	f.logger.Info("drill: evacuation", "domain", domain, "for", d)
	if err := f.store.SetEvacuated(domain, true); err != nil {
		return err
	}
	e := record.Evacuation{Domain: domain, Span: record.Span{From: time.Now()}}
	err := sleep(ctx, d)
	e.To = time.Now()
	f.log.Evacuation(e)
	if removed := f.store.SetEvacuated(domain, false); removed != nil {
		return removed
	}
	return err
}
