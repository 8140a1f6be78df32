package drill

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	minTimeoutFactor = 0.7
	timeoutRange     = 0.6
	maxExtraRoutes   = 300
)

// configure writes a random change of the configuration.
func configure(_ context.Context, f *fleet, r *rand.Rand) error {
	switch r.IntN(4) {
	case 0:
		f.logger.Info("drill: configuration", "change", "timeouts")
		return f.operator.write(func(c *Configuration) {
			for _, k := range f.deployment.Kinds {
				if k.Timeout > 0 {
					c.Timeouts[k.Name] = time.Duration((minTimeoutFactor + timeoutRange*r.Float64()) * float64(k.Timeout))
				}
			}
		})
	case 1:
		f.logger.Info("drill: configuration", "change", "unused routes")
		return f.operator.write(func(c *Configuration) { c.Extra = r.IntN(maxExtraRoutes) })
	default:
		f.logger.Info("drill: configuration", "change", "service of a route")
		return f.operator.move(r)
	}
}

const (
	minStorm, maxStorm       = 5, 20
	minStormGap, maxStormGap = 60 * time.Millisecond, 330 * time.Millisecond
)

// configurationStorm writes versions in quick succession.
func configurationStorm(ctx context.Context, f *fleet, r *rand.Rand) error {
	gap := between(r, minStormGap, maxStormGap)
	for range minStorm + r.IntN(maxStorm-minStorm) {
		if err := configure(ctx, f, r); err != nil {
			return err
		}
		if err := sleep(ctx, gap); err != nil {
			return err
		}
	}
	return nil
}

// rotateKeys replaces the API key of a client account.
func rotateKeys(_ context.Context, f *fleet, r *rand.Rand) error {
	return f.operator.rotate(r.IntN(max(1, f.deployment.Accounts)))
}
