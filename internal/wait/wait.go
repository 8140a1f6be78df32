// Package wait pauses a goroutine for a duration or until its context ends.
package wait

import (
	"context"
	"time"
)

// For returns after d or when ctx ends, whichever comes first.
func For(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
