package load

import (
	"context"
	"sync"
	"time"
)

// drainLimit bounds the wait for requests that are open when arrivals end.
const drainTimeout = 2 * time.Minute

// Run sends the plan at its times, whether or not earlier requests have ended,
// and returns how long it took until the last one ended.
func SendPlan(ctx context.Context, plan []Arrival, caller Caller, recorder *Recorder) time.Duration {
	startedAt := time.Now()
	lastArrival := time.Duration(0)
	if len(plan) > 0 {
		lastArrival = plan[len(plan)-1].At
	}
	ctx, cancel := context.WithTimeout(ctx, lastArrival+drainTimeout)
	defer cancel()
	var pending sync.WaitGroup
	for _, a := range plan {
		if !waitUntil(ctx, startedAt.Add(a.At)) {
			break
		}
		recorder.RecordOffered()
		pending.Add(1)
		go func() {
			defer pending.Done()
			recorder.RecordOutcome(caller.Call(ctx, a))
		}()
	}
	pending.Wait()
	return time.Since(startedAt)
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
