package drill

import (
	"context"
	"math/rand/v2"
	"time"
)

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// between returns a time from least to most.
func between(r *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(r.Int64N(int64(most-least)+1))
}
