package streaming

import (
	"context"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/targets"
)

// opening is a request to an engine in progress.
type opening struct {
	ctx     context.Context
	cancel  context.CancelFunc
	outcome chan openResult // receives one value
}

// openResult is the outcome of a request to an engine. Its error may be nil without a segment.
type openResult struct {
	segment *segment
	err     error
}

func beginOpening(ctx context.Context, open func(context.Context) (*segment, error)) *opening {
	o := &opening{outcome: make(chan openResult, 1)}
	o.ctx, o.cancel = context.WithCancel(ctx)
	go func() {
		segment, err := open(o.ctx)
		o.outcome <- openResult{segment, err}
	}()
	return o
}

// keep returns the outcome. The context of a segment ends with it.
func (o *opening) keep(result openResult) (*segment, error) {
	if result.segment == nil {
		o.cancel()
		return nil, result.err
	}
	cancelRun := result.segment.cancel
	result.segment.cancel = func() { cancelRun(); o.cancel() }
	return result.segment, nil
}

// discard ends the request.
func (o *opening) discard(r *Run) {
	o.cancel()
	if result := <-o.outcome; result.segment != nil {
		r.abandon(result.segment)
	}
}

// firstToAnswer returns the segment of the engine that answers first, and ends the request
// to the other one.
func (r *Run) firstToAnswer(a, b *opening) (*segment, error) {
	first, other := a, b
	var result openResult
	select {
	case result = <-a.outcome:
	case result = <-b.outcome:
		first, other = b, a
	}
	if result.segment != nil {
		other.discard(r)
		return first.keep(result)
	}
	first.cancel()
	second := <-other.outcome
	if second.err == nil {
		second.err = result.err
	}
	return other.keep(second)
}

// openOrStartElsewhere is open, but a run that may be sent again is also started at another
// engine if the engine is silent and counts as failing. The first to answer serves it.
func (s *Server) openOrStartElsewhere(ctx context.Context, r *Run, t *targets.Target, load inflight.Load, d edge.Dispatch) (*segment, error) {
	if !r.MayRestart() {
		return s.open(ctx, r, t, load, d, nil)
	}
	silent := make(chan struct{})
	first := beginOpening(ctx, func(ctx context.Context) (*segment, error) {
		return s.open(ctx, r, t, load, d, func() { close(silent) })
	})
	select {
	case result := <-first.outcome:
		return first.keep(result)
	case <-silent:
	}
	second := beginOpening(ctx, func(ctx context.Context) (*segment, error) { return r.startBeside(ctx, t), nil })
	return r.firstToAnswer(first, second)
}
