package drill

import (
	"context"
	"slices"
	"sync"
	"time"
)

// lateness measures how late the drill's own timers are.
type lateness struct {
	mu      sync.Mutex
	samples []time.Duration // guarded by mu
}

const timerInterval = 10 * time.Millisecond

func (l *lateness) run(ctx context.Context) {
	for {
		due := time.Now().Add(timerInterval)
		if sleep(ctx, timerInterval) != nil {
			return
		}
		late := time.Since(due)
		l.mu.Lock()
		l.samples = append(l.samples, late)
		l.mu.Unlock()
	}
}

// percentile returns the lateness that a share of the timers didn't exceed.
func (l *lateness) percentile(share float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.samples) == 0 {
		return 0
	}
	slices.Sort(l.samples)
	return l.samples[int(share*float64(len(l.samples)-1))]
}
