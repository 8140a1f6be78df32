package tlskeys

import (
	"context"
	"time"
)

// watch calls check at every interval and whenever reload receives, until ctx ends.
func watch(ctx context.Context, interval time.Duration, reload <-chan struct{}, check func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
		case <-ticker.C:
		}
		check()
	}
}
