package plain

import (
	"context"
	"errors"
	"time"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/targetconn"
)

// minCrashSilence is for how long at least a target that may have crashed has answered nothing.
// Calls end before the entry of such a target expires.
const minCrashSilence = 500 * time.Millisecond

// recordEvidence records whether the target survived the call. It reports whether the target
// may have crashed under it.
func (s *Server) recordEvidence(ctx context.Context, a *edge.AuthorizedCall, sentAt bootclock.Instant, o *outcome) (crashed bool) {
	key := o.target.Key()
	switch {
	case o.endsWithConnection && (o.result == answered || o.result == failed): // a crash may look like the end of the answer
	case o.result == answered:
		s.Sender.Crashes.ReportSurvival(a, key, sentAt, sentAt)
	case o.result == failed: // perhaps before the point at which others crashed
		s.Sender.Crashes.ReportAlive(key, sentAt)
	case o.result != broken || s.ownFault(ctx, o) || errors.Is(o.err, targetconn.ErrInvalidResponse) ||
		errors.Is(o.err, errNoMemory) || o.err == errUnsigned || o.err == errEncoded:
	case s.Targets.HasAnnounced(key) || errors.Is(ctx.Err(), context.Canceled):
	case ctx.Err() == nil || s.Targets.View().Get(key) == nil: // broken, or silent until the end and not listed any more
		s.Sender.Crashes.ReportFailure(a, key, o.err)
		return true
	case bootclock.Since(sentAt) >= minCrashSilence && !s.Health.AnsweredSince(key, sentAt):
		s.Health.MarkSilent(key) // its next answer takes the report back
		s.Sender.Crashes.ReportFailure(a, key, nil)
		return true
	}
	return false
}

// recordAnswer records that an answer of the target begins.
func (s *Server) recordAnswer(key string) {
	if s.Health.RecordAnswer(key) {
		s.Sender.Crashes.ReportAlive(key, bootclock.Now())
	}
}

// crashSuspect returns the rejection of a call that is held back and has not run, nil if it
// may be sent.
func (r *run) crashSuspect() *edge.Rejection {
	rejection, key := r.server.Sender.Crashes.Check(r.call)
	if rejection != nil {
		r.call.Log = r.call.Log.With("held_key", key)
	}
	return rejection
}
