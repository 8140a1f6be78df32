package ledger

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"corianderhitch/internal/platform"
)

// errPaused is the cause when the process was paused between claim and dispatch.
var errPaused = eris.New("ledger: the gateway was paused between claim and dispatch; the claim is released")

// errRecordLost is the cause when the record of an earlier sending may be lost.
var errRecordLost = eris.New("ledger: the store was restored from a copy, and the call may have run before")

// Claim is the exclusive right to dispatch a call once. The holder must call
// exactly one of Complete, Release and Abandon.
type Claim struct {
	attempt  *attempt
	revision platform.Revision
}

// MayDispatch reports whether the call may still be dispatched. Check it right
// before sending the first byte; if it returns false, release the claim.
func (c *Claim) MayDispatch() bool { return !c.windowPassed() }

// windowPassed reports whether the dispatch window is over. It compares both the
// monotonic and the wall clock, since the monotonic clock stops while a machine
// sleeps.
func (c *Claim) windowPassed() bool {
	window := c.attempt.ledger.settings.DispatchWindow
	now := time.Now()
	return now.Sub(c.attempt.started) > window || now.Round(0).Sub(c.attempt.started.Round(0)) > window
}

// outcomeWriteTimeout bounds the latency that a slow store adds to an answer. If
// the store confirms the outcome within it, a resend right after the answer finds the
// outcome.
const outcomeWriteTimeout = 50 * time.Millisecond

// Complete stores the outcome of a call that ran. It returns when the outcome is
// stored or after outcomeWriteTimeout; the write is then retried in the background
// for up to Settings.RetryFor. A body larger than MaxStoredBody is not stored.
func (c *Claim) Complete(outcome Outcome) {
	if len(outcome.Body) > MaxStoredBody {
		outcome.Body = nil
	}
	done := make(chan struct{})
	c.attempt.ledger.runInBackground("outcome of a call", func(ctx context.Context) error {
		err := c.write(ctx, stateDone, &outcome)
		if err == nil {
			close(done)
		}
		return err
	})
	timer := time.NewTimer(outcomeWriteTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// Release records that the attempt did not run, so that a resend may claim the
// call. The call must not have been dispatched and must not be dispatched later.
func (c *Claim) Release() {
	c.attempt.ledger.recentCalls.remove(c.attempt.call)
	task := func(ctx context.Context) error { return c.write(ctx, stateNotRun, nil) }
	if c.attempt.ledger.runOnce(context.Background(), task) != nil {
		c.attempt.ledger.runInBackground("release of a claim", task)
	}
}

// Abandon leaves the claim without an outcome, as the call may have run. Resends
// are told that the outcome is unknown.
func (c *Claim) Abandon() {}

// write replaces the record of this claim. It may be repeated: it succeeds if an
// earlier try took effect.
func (c *Claim) write(ctx context.Context, s state, outcome *Outcome) error {
	_, err := c.attempt.put(ctx, c.attempt.record(s, outcome), c.revision)
	if err == nil || !(errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrOutcomeUnknown)) {
		return err
	}
	entry, getErr := c.attempt.ledger.store.Get(ctx, c.attempt.call.storeKey())
	if errors.Is(getErr, platform.ErrNotFound) {
		return nil // the record expired
	}
	if getErr != nil {
		return getErr
	}
	if entry.Revision == c.revision {
		return err // the write has not taken effect so far
	}
	return nil // our write took effect: no other attempt replaces the record of a claim
}
