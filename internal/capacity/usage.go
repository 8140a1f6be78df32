package capacity

import (
	"context"
	"time"
)

// processUsage is the resource usage of one process between two samples.
type processUsage struct {
	cpuPercent     float64
	residentMB     float64
	kbPerSecond    float64
	rpcKBPerSecond float64 // the part of kbPerSecond that is net/rpc
}

// measureUsage returns the usage of each process over the period, and the exact time
// between the two samples.
func measureUsage(ctx context.Context, processes []measuredProcess, period time.Duration) ([]processUsage, time.Duration, error) {
	startedAt := time.Now()
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
	elapsed := time.Since(startedAt)
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
	transferred := after.stats.bytesRead - before.stats.bytesRead + after.stats.bytesWritten - before.stats.bytesWritten
	return processUsage{
		cpuPercent:     100 * (after.stats.cpuTime - before.stats.cpuTime).Seconds() / elapsed.Seconds(),
		residentMB:     float64(after.stats.residentBytes) / megabyte,
		kbPerSecond:    float64(transferred) / kilobyte / elapsed.Seconds(),
		rpcKBPerSecond: (after.rpcBytes - before.rpcBytes) / kilobyte / elapsed.Seconds(),
	}
}
