package plain

import (
	"context"
	"errors"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/targetconn"
)

// recordEvidence records whether the target survived the call. It reports whether the target
// may have crashed under it.
func (s *Server) recordEvidence(ctx context.Context, a *edge.AuthorizedCall, sentAt bootclock.Instant, o *outcome) (crashed bool) {
	key := o.target.Key()
	switch {
	case o.result == answered || o.result == failed:
		if !o.endsWithConnection { // a crash may look like the end of the answer
			s.Sender.Crashes.ReportSurvival(a, key, sentAt, sentAt)
		}
	case o.result != broken || s.ownFault(ctx, o) || errors.Is(o.err, targetconn.ErrInvalidResponse) ||
		errors.Is(o.err, errNoMemory) || o.err == errUnsigned || o.err == errEncoded:
	case s.Targets.HasAnnounced(key) || errors.Is(ctx.Err(), context.Canceled):
	case ctx.Err() == nil || s.Targets.View().Get(key) == nil: // broken, or silent until the end and not listed any more
		s.Sender.Crashes.ReportFailure(a, key)
		return true
	}
	return false
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
