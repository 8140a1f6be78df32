package streaming

import (
	"context"
	"io"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
)

// pause is the time in which no engine works on a run, as far as its host knows. Its zero value
// stands for a run at which one does.
type pause struct {
	since bootclock.Instant
	cause string
}

// Causes of a pause in log lines.
const (
	pauseFinalCopy   = "final_copy"
	pauseStreamEnded = "stream_ended"
	pauseBrokenOff   = "stream_broke_off"
)

// begin records a pause unless one lasts already.
func (p *pause) begin(cause string) {
	if p.since == 0 {
		p.since, p.cause = bootclock.Now(), cause
	}
}

// beginPause records why the stream of the run's engine ended with err, unless the request
// itself has ended: then the engine worked until now.
func (r *Run) beginPause(ctx context.Context, err error) {
	if ctx.Err() != nil || err == errCallerGone {
		return
	}
	cause := pauseBrokenOff
	if err == io.EOF {
		cause = pauseStreamEnded
	}
	r.mu.Lock()
	r.pause.begin(cause)
	r.mu.Unlock()
}

func (r *Run) endPause() {
	r.mu.Lock()
	r.pause = pause{}
	r.mu.Unlock()
}

// logBrokenOff logs that the run's stream ends early, and whether an engine worked on it.
func (r *Run) logBrokenOff(reason, target, errText string) {
	r.mu.Lock()
	p := r.pause
	r.mu.Unlock()
	paused := int64(0)
	if p.since != 0 {
		paused = bootclock.Since(p.since).Milliseconds()
	}
	a := r.call
	a.Log.Warn("stream: broken off", "reason", reason, "target", target, "after_event", r.lastEventID.Load(),
		"silent_ms", r.SinceLastEvent().Milliseconds(), "paused_ms", paused, "paused_by", p.cause,
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
