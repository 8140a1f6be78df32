package tlskeys

import (
	"context"
	"time"
)

// watch calls look at an interval, and when reload receives, until ctx ends.
func watch(ctx context.Context, interval time.Duration, reload <-chan struct{}, look func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
		case <-ticker.C:
		}
		look()
	}
}
