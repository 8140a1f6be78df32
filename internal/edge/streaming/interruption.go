package streaming

import (
	"context"
	"io"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
)

// interruption is the time in which no engine works on a run, as far as its host knows. Its zero
// value stands for a run at which one does.
type interruption struct {
	since bootclock.Instant
	cause string
}

// Causes of an interruption in log lines.
const (
	interruptedByFinalCopy = "final_copy"
	interruptedByEnd       = "stream_ended"
	interruptedByBreak     = "stream_broke_off"
)

// begin records an interruption unless one lasts already.
func (i *interruption) begin(cause string) {
	if i.since == 0 {
		i.since, i.cause = bootclock.Now(), cause
	}
}

// beginInterruption records why the stream of the run's engine ended with err, unless the request
// itself has ended: then the engine worked until now.
func (r *Run) beginInterruption(ctx context.Context, err error) {
	if ctx.Err() != nil || err == errCallerGone {
		return
	}
	cause := interruptedByBreak
	if err == io.EOF {
		cause = interruptedByEnd
	}
	r.mu.Lock()
	r.interruption.begin(cause)
	r.mu.Unlock()
}

// logBrokenOff logs that the run's stream ends early, and whether an engine worked on it.
func (r *Run) logBrokenOff(reason, target, errText string) {
	r.mu.Lock()
	i := r.interruption
	r.mu.Unlock()
	took := int64(0)
	if i.since != 0 {
		took = bootclock.Since(i.since).Milliseconds()
	}
	a := r.call
	a.Log.Warn("stream: broken off", "reason", reason, "target", target, "after_event", r.lastEventID.Load(),
		"silent_ms", r.SinceLastEvent().Milliseconds(), "interrupted_ms", took, "interrupted_by", i.cause,
		r.server.Drain.LogAttr(), "age_ms", a.Age().Milliseconds(), "shared_parts", a.Call.Generation.SharedPartNames(), "error", errText)
}

// endForCaller ends a stream whose caller cannot be written to, and returns the outcome.
func (r *Run) endForCaller(ctx context.Context, s *segment) string {
	reason := edge.CanceledReason(ctx)
	if reason == edge.ReasonStopping {
		r.logBrokenOff(reason, s.target.ID, errCallerGone.Error())
	}
	r.leaveTarget()
	if replica, _ := r.takeReplica(); replica != nil {
		r.releaseReplica(replica)
	}
	return reason
}
