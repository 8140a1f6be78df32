package drill

import (
	"context"
	"math/rand/v2"
	"time"

	"corianderhitch/internal/drill/record"
)

const (
	minFault, maxFault = 2 * time.Second, 6 * time.Second
	storeSlowness      = 240 * time.Millisecond
)

// disturbStore makes the store slow or unavailable for some seconds.
func disturbStore(ctx context.Context, f *fleet, r *rand.Rand) error {
	d, outage := between(r, minFault, maxFault), r.IntN(2) == 0
	f.logger.Info("drill: store", "outage", outage, "for", d)
	from := time.Now()
	if outage {
		f.store.SetOutage(true)
	} else {
		f.store.Slow(storeSlowness)
	}
	err := sleep(ctx, d)
	f.store.SetOutage(false)
	f.store.Slow(0)
	f.log.Outage(record.Span{From: from, To: time.Now()})
	return err
}

// disturbCallers makes callers press, give up early, or repeat at once and often.
func disturbCallers(ctx context.Context, f *fleet, r *rand.Rand) error {
	d := between(r, minFault, maxFault)
	u := []unusual{{rate: 1.7}, {rate: 1, giveUp: 0.2}, {rate: 1, impatient: 0.3}}[r.IntN(3)]
	f.logger.Info("drill: callers", "rate", u.rate, "give_up", u.giveUp, "impatient", u.impatient, "for", d)
	f.traffic.disturbed.Store(&u)
	err := sleep(ctx, d)
	f.traffic.disturbed.Store(&unusual{rate: 1})
	return err
}
