package observe

import (
	"context"
	"time"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/targets"
)

// EngineClient measures the control calls of another client.
type EngineClient struct {
	edge.EngineClient
	// ObserveCall records a call, its result and how long it took.
	ObserveCall func(call, result string, took time.Duration)
}

// Names of control calls in metrics.
const (
	callCopy    = "copy"
	callStop    = "stop" // a final move
	callRelease = "release"
	callReport  = "report"
)

// Results of calls other than moves in metrics.
const (
	resultOK     = "ok"
	resultFailed = "failed"
)

// Move implements edge.EngineClient.
func (c *EngineClient) Move(ctx context.Context, source *targets.Target, requestID string, dest *targets.Target, final bool) edge.MoveReply {
	call, started := callCopy, time.Now()
	if final {
		call = callStop
	}
	reply := c.EngineClient.Move(ctx, source, requestID, dest, final)
	c.ObserveCall(call, reply.Result.String(), time.Since(started))
	return reply
}

// Refresh implements edge.EngineClient.
func (c *EngineClient) Refresh(ctx context.Context, source *targets.Target, requestID string, dest *targets.Target, handle string) edge.MoveReply {
	started := time.Now()
	reply := c.EngineClient.Refresh(ctx, source, requestID, dest, handle)
	c.ObserveCall(callCopy, reply.Result.String(), time.Since(started))
	return reply
}

// Release implements edge.EngineClient.
func (c *EngineClient) Release(ctx context.Context, source *targets.Target, handle string) error {
	started := time.Now()
	err := c.EngineClient.Release(ctx, source, handle)
	c.ObserveCall(callRelease, resultOf(err), time.Since(started))
	return err
}

// Report implements edge.EngineClient.
func (c *EngineClient) Report(ctx context.Context, t *targets.Target) (edge.EngineReport, error) {
	started := time.Now()
	report, err := c.EngineClient.Report(ctx, t)
	c.ObserveCall(callReport, resultOf(err), time.Since(started))
	return report, err
}

func resultOf(err error) string {
	if err != nil {
		return resultFailed
	}
	return resultOK
}
