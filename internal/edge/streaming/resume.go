package streaming

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/targetconn"
	"corianderhitch/internal/edge/targets"
	"corianderhitch/internal/wait"
)

const (
	// callerPatienceMargin is how long before its caller gives up a run stops trying to reach
	// an engine that holds its memory.
	callerPatienceMargin = 500 * time.Millisecond
	resumeRetryInterval  = 100 * time.Millisecond
)

// memoryHolder is an engine that holds the memory from which a run can continue: a replica or
// a final copy, or at its source the memory of the run that the final copy stopped.
type memoryHolder struct {
	target  *targets.Target
	from    edge.ReplicaRef
	load    inflight.Load
	counted bool // load is counted for target
}

func replicaHolder(replica *Replica, handle string) *memoryHolder {
	return &memoryHolder{target: replica.Dest, load: replica.Reserved, counted: true, from: edge.ReplicaRef{Address: replica.Source.Address, Handle: handle}}
}

// resume continues the run at the first engine that takes it, preferring those named first. No
// other engine has its memory, so it tries those that accept no connection or want a pause
// again, until shortly before the caller gives up. It returns nil if that fails.
func (r *Run) resume(ctx context.Context, holders ...*memoryHolder) *segment {
	started, sends := time.Now(), 0
	patience := r.call.Route.MinCallerPatience() - r.SinceLastEvent() - callerPatienceMargin
	for {
		var remaining []*memoryHolder
		for _, h := range holders {
			s, err := r.resumeAt(ctx, h)
			result := continuationResult(err)
			if result != continuationNotSent {
				sends++
			}
			r.server.Observer.ObserveContinuation(r.call.Service.Name, result)
			if s != nil {
				r.call.Log.Info("stream: run resumed", "target", h.target.ID, "copy", h.from.Handle, "after_event", r.lastEventID.Load(),
					"sends", sends, "took_ms", time.Since(started).Milliseconds())
				r.uncount(holders)
				return s
			}
			if (r.isUnreachable(h.target, err) || r.wantsPause(h.target)) && time.Since(started) < patience && ctx.Err() == nil {
				remaining = append(remaining, h)
				continue
			}
			r.call.Log.Warn("stream: run could not be resumed", "target", h.target.ID, "copy", h.from.Handle, "after_event", r.lastEventID.Load(),
				"sends", sends, "took_ms", time.Since(started).Milliseconds(), "error", err.Error())
		}
		if holders = remaining; len(holders) == 0 {
			return nil
		}
		wait.For(ctx, resumeRetryInterval)
	}
}

// Results of continuations in metrics.
const (
	continuationResumed  = "resumed"
	continuationNotSent  = "not_sent"
	continuationRejected = "rejected"
	continuationFailed   = "failed"
)

func continuationResult(err error) string {
	switch {
	case err == nil:
		return continuationResumed
	case errors.Is(err, targetconn.ErrNotSent):
		return continuationNotSent
	case errors.Is(err, errNotExecuted):
		return continuationRejected
	default:
		return continuationFailed
	}
}

// resumeAt asks one engine to continue the run.
func (r *Run) resumeAt(ctx context.Context, h *memoryHolder) (*segment, error) {
	if !h.counted {
		r.server.Inflight.Add(h.target.Key(), h.load)
	}
	h.counted = false
	s, err := r.server.open(ctx, r, h.target, h.load, edge.Dispatch{
		Account: r.call.Account, Urgency: r.call.Urgency, ContinueFrom: &h.from, LastEventID: r.lastEventID.Load(),
	}, nil)
	if err == nil && s.response.Status != http.StatusOK {
		err = errors.New("status " + strconv.Itoa(s.response.Status))
		r.abandon(s)
	}
	if err != nil {
		return nil, err
	}
	return s, nil
}

// uncount removes the loads of engines that the run did not turn to.
func (r *Run) uncount(holders []*memoryHolder) {
	for _, h := range holders {
		if h.counted {
			r.server.Inflight.Remove(h.target.Key(), h.load)
		}
	}
}

// isUnreachable reports whether nothing could be sent to an engine that is still listed.
func (r *Run) isUnreachable(t *targets.Target, err error) bool {
	return errors.Is(err, targetconn.ErrNotSent) && r.server.Targets.View().Get(t.Key()) != nil
}

// wantsPause reports whether an engine accepts no requests now but may do so later.
func (r *Run) wantsPause(t *targets.Target) bool {
	return slices.Contains(r.server.Targets.View().Refusing(r.call.Service.Name), t.Key())
}
