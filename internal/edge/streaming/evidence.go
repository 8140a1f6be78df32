package streaming

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/targetconn"
	"corianderhitch/internal/edge/targets"
)

const (
	// survivalAge is how long after its first event a stream must go on for its engine to
	// have survived the request.
	survivalAge = time.Second
	// minCrashSilence and maxCrashSilence bound the time after which an engine that sends
	// nothing may have crashed: sound engines pause for a second, and hosts must learn of
	// crashes within 3 s.
	minCrashSilence = 2 * time.Second
	maxCrashSilence = 2500 * time.Millisecond
	// unlistedSilence is the same for an engine that is not listed any more.
	unlistedSilence = 500 * time.Millisecond
	// startCheckInterval is how often a start is checked for silence.
	startCheckInterval = 250 * time.Millisecond
)

// startWatch finds out whether an engine survives the start of a run. Its methods may be
// called on nil, which stands for a run that continues from a copy: it survived its start.
type startWatch struct {
	run     *Run
	target  *targets.Target
	request context.Context // of the caller's request
	sentAt  bootclock.Instant
	// done ends when nothing more can be learned.
	done     context.Context
	conclude context.CancelFunc
	firstAt  bootclock.Instant // of the first event; only for the reading goroutine
	lastAt   atomic.Int64      // bootclock.Instant of the last sign of the run
	// abandoned is set once this host has canceled the run at the engine because it sent nothing.
	abandoned atomic.Bool
	// silenceReported is set once the engine was reported because it sent nothing.
	silenceReported atomic.Bool
}

// watchStart begins to watch a run that is about to be sent to an engine.
func (s *Server) watchStart(ctx context.Context, r *Run, t *targets.Target, d edge.Dispatch) *startWatch {
	if d.ContinueFrom != nil {
		return nil
	}
	w := &startWatch{run: r, target: t, request: ctx, sentAt: bootclock.Now()}
	w.done, w.conclude = context.WithCancel(context.Background())
	w.lastAt.Store(int64(w.sentAt))
	context.AfterFunc(ctx, w.stop)
	go w.watchSilence()
	return w
}

// watchSilence reports a failed start if nothing comes from the engine.
func (w *startWatch) watchSilence() {
	s := w.run.server
	limit := min(max(suspectDelay(w.run.call), minCrashSilence), maxCrashSilence)
	ticker := time.NewTicker(startCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.done.Done():
			return
		case <-ticker.C:
		}
		now := bootclock.Now()
		since := bootclock.Instant(w.lastAt.Load())
		if s.Stalls.Affected(since, now) {
			w.lastAt.CompareAndSwap(int64(since), int64(now)) // events may have waited unread
			continue
		}
		silent := now.Sub(since)
		unlisted := s.Targets.View().Get(w.target.Key()) == nil
		if silent < unlistedSilence || (silent < limit && !unlisted) {
			continue
		}
		if w.isLeaving() || s.sendsEvents(w.target) {
			if w.abandoned.Load() {
				w.conclude()
			}
			continue
		}
		w.silenceReported.Store(true)
		s.Sender.Crashes.ReportFailure(w.run.call, w.target.Key(), nil)
		if w.abandoned.Load() {
			w.conclude()
		}
		return
	}
}

// sendsEvents reports whether an engine has just sent an event of another run.
func (s *Server) sendsEvents(t *targets.Target) bool {
	for _, r := range s.Runs.AtTarget(t.Key()) {
		if r.lastEventAt.Load() != 0 && r.SinceLastEvent() < time.Second {
			return true
		}
	}
	return false
}

func (w *startWatch) isLeaving() bool {
	return w.run.server.Targets.HasAnnounced(w.target.Key())
}

// event notes that events arrived.
func (w *startWatch) event() {
	if w == nil || w.done.Err() != nil {
		return
	}
	now := bootclock.Now()
	w.lastAt.Store(int64(now))
	if w.silenceReported.CompareAndSwap(true, false) {
		w.run.server.Sender.Crashes.ReportAlive(w.target.Key(), now)
	}
	if w.firstAt == 0 {
		w.firstAt = now
	} else if now.Sub(w.firstAt) >= survivalAge {
		w.survived()
	}
}

func (w *startWatch) survived() {
	w.conclude()
	began := w.firstAt
	if began == 0 {
		began = w.sentAt // an answer without events
	}
	w.run.server.Sender.Crashes.ReportSurvival(w.run.call, w.target.Key(), w.sentAt, began)
}

// ended notes that the engine's answer ended: err is io.EOF after a complete one. A crash may
// look like the end of an answer that ends with its connection.
func (w *startWatch) ended(err error, endsWithConnection bool) {
	if w == nil || w.done.Err() != nil || w.request.Err() != nil {
		return // concluded, or the request ended for another reason
	}
	if errors.Is(err, targetconn.ErrCanceled) || errors.Is(err, os.ErrDeadlineExceeded) {
		w.abandoned.Store(true) // this host gave the run at the silent engine up; a sound one is silent for a second only
		return
	}
	w.conclude()
	switch {
	case err == io.EOF && endsWithConnection && (w.firstAt != 0 || w.run.lastEventID.Load() > 0):
	case err == io.EOF && !endsWithConnection:
		w.survived()
	case isBroken(err) && !w.isLeaving() && !w.run.server.Stalls.Affected(w.sentAt, bootclock.Now()):
		w.run.server.Sender.Crashes.ReportFailure(w.run.call, w.target.Key(), err)
	}
}

// isBroken reports whether a response ended as it does if the engine crashes. Rejected and
// malformed responses are no sign of that.
func isBroken(err error) bool {
	for _, other := range []error{targetconn.ErrNotSent, targetconn.ErrInvalidResponse, errNotExecuted, errKeyUnconfirmed, errUnsigned, errMissingEvents, errEventTooLarge, errNoMemory, edge.ErrHeld} {
		if errors.Is(err, other) {
			return false
		}
	}
	return true
}

// stop ends the watch without a result, unless this host gave the run at the engine up.
func (w *startWatch) stop() {
	if w != nil && !w.abandoned.Load() {
		w.conclude()
	}
}

// answered notes a complete response that is not a stream.
func (w *startWatch) answered() {
	if w != nil && w.done.Err() == nil {
		w.survived()
	}
}

// crashSuspect returns the rejection of a run that is held back, nil if it isn't.
func (s *Server) crashSuspect(r *Run) *edge.Rejection {
	rejection, key := s.Sender.Crashes.Check(r.call)
	if rejection == nil {
		return nil
	}
	r.call.Log = r.call.Log.With("held_key", key)
	if r.attempts.mayHaveRun {
		return &edge.Rejection{Status: http.StatusBadGateway, Reason: edge.ReasonMayHaveRun}
	}
	return rejection
}
