package capacity

import (
	"context"
	"time"
)

// usage is what one process used between two readings.
type usage struct {
	corePercent float64
	residentMB  float64
	kbPerSecond float64
	rpcKB       float64 // a second
}

// observe reads the processes, waits, and reads them again.
func observe(ctx context.Context, processes []process, period time.Duration) ([]usage, time.Duration, error) {
	begin := time.Now()
	before, err := readAll(ctx, processes)
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
	after, err := readAll(ctx, processes)
	if err != nil {
		return nil, 0, err
	}
	took := time.Since(begin)
	used := make([]usage, len(processes))
	for i := range processes {
		used[i] = difference(before[i], after[i], took)
	}
	return used, took, nil
}

func difference(before, after reading, took time.Duration) usage {
	const (
		kilobyte = 1e3
		megabyte = 1 << 20
	)
	moved := after.state.read - before.state.read + after.state.written - before.state.written
	return usage{
		corePercent: 100 * (after.state.processor - before.state.processor).Seconds() / took.Seconds(),
		residentMB:  float64(after.state.resident) / megabyte,
		kbPerSecond: float64(moved) / kilobyte / took.Seconds(),
		rpcKB:       (after.rpcBytes - before.rpcBytes) / kilobyte / took.Seconds(),
	}
}
