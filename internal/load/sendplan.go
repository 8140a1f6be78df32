package load

import (
	"context"
	"sync"
	"time"
)

// drainTimeout limits the wait for unfinished requests after the last arrival.
const drainTimeout = 2 * time.Minute

// SendPlan sends each request of the plan at its time, whether or not earlier requests
// have ended, and waits for all of them. It returns the total duration.
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

// waitUntil reports whether the time was reached before ctx was done.
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
