package capacity

import (
	"context"
	"time"
)

// usage is what one process used between two readings.
type processUsage struct {
	corePercent    float64
	residentMB     float64
	kbPerSecond    float64
	rpcKBPerSecond float64 // a second
}

// observe reads the processes, waits, and reads them again.
func measureUsage(ctx context.Context, processes []measuredProcess, period time.Duration) ([]processUsage, time.Duration, error) {
	begin := time.Now()
	before, err := sampleAll(ctx, processes)
	if err != nil {
		return nil, 0, err
	}
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	case <-timer.C:
	}
	after, err := sampleAll(ctx, processes)
	if err != nil {
		return nil, 0, err
	}
	elapsed := time.Since(begin)
	usages := make([]processUsage, len(processes))
	for i := range processes {
		usages[i] = usageBetween(before[i], after[i], elapsed)
	}
	return usages, elapsed, nil
}

func usageBetween(before, after processSample, elapsed time.Duration) processUsage {
	const (
		kilobyte = 1e3
		megabyte = 1 << 20
	)
	transferred := after.state.bytesRead - before.state.bytesRead + after.state.bytesWritten - before.state.bytesWritten
	return processUsage{
		corePercent:    100 * (after.state.cpuTime - before.state.cpuTime).Seconds() / elapsed.Seconds(),
		residentMB:     float64(after.state.residentBytes) / megabyte,
		kbPerSecond:    float64(transferred) / kilobyte / elapsed.Seconds(),
		rpcKBPerSecond: (after.rpcBytes - before.rpcBytes) / kilobyte / elapsed.Seconds(),
	}
}
