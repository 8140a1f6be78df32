package load

import (
	"context"
	"sync"
	"time"
)

// drainLimit bounds the wait for requests that are open when arrivals end.
const drainLimit = 2 * time.Minute

// Run sends the plan at its times, whether or not earlier requests have ended,
// and returns how long it took until the last one ended.
func Run(ctx context.Context, plan []Arrival, caller Caller, recorder *Recorder) time.Duration {
	begin := time.Now()
	last := time.Duration(0)
	if len(plan) > 0 {
		last = plan[len(plan)-1].At
	}
	ctx, cancel := context.WithTimeout(ctx, last+drainLimit)
	defer cancel()
	var open sync.WaitGroup
	for _, a := range plan {
		if !waitUntil(ctx, begin.Add(a.At)) {
			break
		}
		recorder.Offer()
		open.Add(1)
		go func() {
			defer open.Done()
			recorder.Record(caller.Call(ctx, a))
		}()
	}
	open.Wait()
	return time.Since(begin)
}

func waitUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
