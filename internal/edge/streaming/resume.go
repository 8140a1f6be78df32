package streaming

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/targetconn"
	"corianderhitch/internal/edge/targets"
	"corianderhitch/internal/wait"
)

const (
	// callerPatienceMargin is how long before its caller gives up a run stops trying to reach
	// an engine that holds its memory.
	callerPatienceMargin = 500 * time.Millisecond
	// maxContinuationDelay is how long after an engine's leaving notice a run may be continued
	// there. The platform allows 2 s from the notice, which takes some time to arrive here.
	maxContinuationDelay = 1700 * time.Millisecond
	// resumeRetryInterval is the time between the tries while an engine cannot be reached or
	// wants a pause. After a connection that broke the time doubles, up to maxResumeInterval,
	// since the engine may have received the request.
	resumeRetryInterval = 100 * time.Millisecond
	maxResumeInterval   = time.Second
)

var errLeftTooLong = errors.New("the engine has been leaving for too long to get requests")

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
// other engine has its memory, so it tries those that may still take it again, until shortly
// before the caller gives up. It returns nil if that fails.
func (r *Run) resume(ctx context.Context, holders ...*memoryHolder) *segment {
	started, sends := time.Now(), 0
	patience := r.call.Route.MinCallerPatience() - r.SinceLastEvent() - callerPatienceMargin
	interval := resumeRetryInterval
	for tries := 1; ; tries++ {
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
					"tries", tries, "sends", sends, "took_ms", time.Since(started).Milliseconds())
				r.uncount(holders)
				return s
			}
			if r.mayStillResume(h.target, err) && time.Since(started) < patience && ctx.Err() == nil {
				if errors.Is(err, targetconn.ErrBroken) {
					interval = min(2*interval, maxResumeInterval)
				}
				remaining = append(remaining, h)
				continue
			}
			r.call.Log.Warn("stream: run could not be resumed", "target", h.target.ID, "copy", h.from.Handle, "after_event", r.lastEventID.Load(),
				"tries", tries, "sends", sends, "leaving", r.server.Targets.HasAnnounced(h.target.Key()), "took_ms", time.Since(started).Milliseconds(), "error", err.Error())
		}
		if holders = remaining; len(holders) == 0 {
			return nil
		}
		wait.For(ctx, interval)
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
	case errors.Is(err, targetconn.ErrNotSent), errors.Is(err, errLeftTooLong):
		return continuationNotSent
	case errors.Is(err, errNotExecuted):
		return continuationRejected
	default:
		return continuationFailed
	}
}

// resumeAt asks one engine to continue the run.
func (r *Run) resumeAt(ctx context.Context, h *memoryHolder) (*segment, error) {
	if notice, leaving := r.server.Targets.LeavingNotice(h.target.Key()); leaving && bootclock.Since(notice.ReceivedAt) > maxContinuationDelay {
		r.uncount([]*memoryHolder{h})
		return nil, errLeftTooLong
	}
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
		h.counted = false
	}
}

// mayStillResume reports whether an engine that has not continued the run may do so later: it
// wants a pause, or it is still listed and could not be reached or has lost the connection, as
// at the limit of its connections. An engine continues a run once for each handle, however
// often it is asked.
func (r *Run) mayStillResume(t *targets.Target, err error) bool {
	view := r.server.Targets.View()
	switch {
	case errors.Is(err, errLeftTooLong):
		return false
	case errors.Is(err, targetconn.ErrRefused):
		return view.WantsPause(t.Key())
	case errors.Is(err, targetconn.ErrNotSent), errors.Is(err, targetconn.ErrBroken):
		return view.Get(t.Key()) != nil
	default:
		return view.WantsPause(t.Key())
	}
}
