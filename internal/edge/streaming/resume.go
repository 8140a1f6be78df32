package streaming

import (
	"context"
	"errors"
	"net/http"
	"slices"
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
	// unanswered means that the engine got a request to continue the run and its answer did not arrive.
	unanswered bool
}

func replicaHolder(replica *Replica, handle string) *memoryHolder {
	return &memoryHolder{target: replica.Dest, load: replica.Reserved, counted: true, from: edge.ReplicaRef{Address: replica.Source.Address, Handle: handle}}
}

// resume continues the run at the first engine that takes it, preferring those named first. No
// other engine has its memory, so it tries those that may still take it again, until shortly
// before the caller gives up. One that may have begun must have stopped before another is asked.
// It returns nil if that fails.
func (r *Run) resume(ctx context.Context, holders ...*memoryHolder) *segment {
	return r.newContinuation(holders).run(ctx)
}

// resumeBeside is resume while the run still executes at source, as far as its host knows.
func (r *Run) resumeBeside(ctx context.Context, source *targets.Target, holder *memoryHolder) *segment {
	c := r.newContinuation([]*memoryHolder{holder})
	c.source = source
	return c.run(ctx)
}

func (r *Run) newContinuation(holders []*memoryHolder) *continuation {
	return &continuation{r: r, holders: holders, started: time.Now(), patience: r.patienceLeft(), interval: resumeRetryInterval}
}

// run asks the holders until one takes the run or none is left.
func (c *continuation) run(ctx context.Context) *segment {
	for c.tries = 1; ; c.tries++ {
		s, again := c.tryAll(ctx)
		if s == nil && len(c.holders) == 0 {
			for _, m := range c.r.awaitLeftMemory(ctx, c.left()) {
				c.holders = append(c.holders, m.holders(c.r, c.source)...)
			}
			again = true
		}
		if s != nil || len(c.holders) == 0 {
			return s
		}
		if !again {
			wait.For(ctx, c.interval)
		}
	}
}

// continuation is the search for an engine at which a run goes on.
type continuation struct {
	r        *Run
	holders  []*memoryHolder // to be asked, in this order
	source   *targets.Target // executes the run meanwhile; nil if no engine does
	started  time.Time
	patience time.Duration // until the run is given up
	interval time.Duration // between two tries
	tries    int           // of all holders
	sends    int           // that may have reached an engine
}

func (c *continuation) left() time.Duration { return c.patience - time.Since(c.started) }

// tryAll asks the holders in turn and keeps those that may still take the run. It reports whether
// they are to be asked at once.
func (c *continuation) tryAll(ctx context.Context) (s *segment, again bool) {
	var remaining []*memoryHolder
	for i, h := range c.holders {
		others := slices.Concat(remaining, c.holders[i+1:])
		s, stop, err := c.tryAndSettle(ctx, h, others)
		switch {
		case s != nil:
			c.r.uncount(c.holders)
			return s, false
		case len(stop.begun) > 0 && c.left() > 0:
			c.holders = append(stop.begun, others...)
			first := c.interval == resumeRetryInterval
			c.interval = min(2*c.interval, maxResumeInterval)
			return nil, first
		case stop.state != holderWorks && c.r.mayStillResume(h.target, err) && c.left() > 0 && ctx.Err() == nil:
			if errors.Is(err, targetconn.ErrBroken) {
				c.interval = min(2*c.interval, maxResumeInterval)
			}
			remaining = append(remaining, h)
			continue
		}
		c.r.call.Log.Warn("stream: run could not be resumed", "target", h.target.ID, "copy", h.from.Handle, "after_event", c.r.lastEventID.Load(),
			"tries", c.tries, "sends", c.sends, "leaving", c.r.server.Targets.HasAnnounced(h.target.Key()), "took_ms", time.Since(c.started).Milliseconds(), "error", err.Error())
		if stop.state == holderWorks {
			c.r.uncount(others)
			remaining = nil
			break
		}
	}
	c.holders = remaining
	return nil, false
}

var errUnanswered = errors.New("the engine has not answered an earlier request to continue the run")

// tryAndSettle asks one holder. If it may have begun, it must have stopped before another is asked: also one
// that rejects the request because an earlier one without an answer has used the handle.
func (c *continuation) tryAndSettle(ctx context.Context, h *memoryHolder, others []*memoryHolder) (*segment, holderStop, error) {
	if c.r.isBeingStopped(h.target) {
		if stop := c.stopHolder(ctx, h, others); stop.state == holderWorks || len(stop.begun) > 0 {
			return nil, stop, errUnanswered
		}
	}
	s, err := c.try(ctx, h)
	h.unanswered = h.unanswered || mayHaveBegun(err)
	if s != nil || ctx.Err() != nil || !mayHaveBegun(err) && !(h.unanswered && errors.Is(err, errNotExecuted)) {
		return s, holderStop{}, err
	}
	return nil, c.stopHolder(ctx, h, others), err
}

// try asks one holder.
func (c *continuation) try(ctx context.Context, h *memoryHolder) (*segment, error) {
	s, err := c.r.resumeAt(ctx, h)
	result := continuationResult(err)
	if result != continuationNotSent {
		c.sends++
	}
	c.r.server.Observer.ObserveContinuation(c.r.call.Service.Name, result)
	if s != nil {
		c.r.call.Log.Info("stream: run resumed", "target", h.target.ID, "copy", h.from.Handle, "after_event", c.r.lastEventID.Load(),
			"tries", c.tries, "sends", c.sends, "took_ms", time.Since(c.started).Milliseconds())
	}
	return s, err
}

// holderState is what is known of an engine that may have continued a run.
type holderState int

const (
	holderStopped    holderState = iota // it does not execute the run
	holderUnanswered                    // it does not answer; it is asked to stop the run meanwhile
	holderWorks                         // it answers, but does not stop the run
)

// holderStop is the outcome of the stop of a run at an engine that may have continued it.
type holderStop struct {
	state holderState
	begun []*memoryHolder // hold the memory of what the engine has done; none if it had not begun
}

// stopHolder stops the run at an engine that may have continued it.
func (c *continuation) stopHolder(ctx context.Context, h *memoryHolder, others []*memoryHolder) holderStop {
	dest := c.source
	switch {
	case len(others) > 0:
		dest = others[0].target
	case dest == nil:
		dest = c.r.anotherEngine(h.target)
	}
	if dest == nil {
		return holderStop{state: holderUnanswered}
	}
	c.r.noteUnstopped(h.target)
	stop := c.r.stopAt(h.target, dest, stopAfterSend, true)
	reply, stopped := stop.await(ctx, c.left())
	switch {
	case !stopped && stop.engineAtWork():
		return holderStop{state: holderWorks}
	case !stopped:
		return holderStop{state: holderUnanswered}
	case !stoppedAtSource(reply):
		return holderStop{}
	}
	var begun []*memoryHolder
	from := edge.ReplicaRef{Address: h.target.Address, Handle: reply.Handle}
	if reply.Result == edge.MoveCopied && c.source == nil { // it would go on beside its own stream at the source
		begun = append(begun, &memoryHolder{target: stop.other, load: h.load, from: from})
	}
	return holderStop{begun: append(begun, &memoryHolder{target: h.target, load: h.load, from: from})}
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
