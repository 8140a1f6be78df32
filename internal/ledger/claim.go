package ledger

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"corianderhitch/internal/platform"
)

// errFrozen is the cause when a process was paused between claim and dispatch.
var errFrozen = eris.New("ledger: the gateway was paused after its claim; the claim is given back")

// Claim is the right to dispatch a call once. Exactly one of Complete, Release
// and Abandon ends it.
type Claim struct {
	attempt  *attempt
	revision platform.Revision
}

// Fresh tells whether the call may still be dispatched. It is asked right before
// the first byte; a claim that is not fresh must be released.
func (c *Claim) MayDispatch() bool { return !c.stale() }

// stale compares both clocks, since the monotonic one stands still while a
// machine sleeps.
func (c *Claim) stale() bool {
	window := c.attempt.ledger.settings.DispatchWindow
	now := time.Now()
	return now.Sub(c.attempt.started) > window || now.Round(0).Sub(c.attempt.started.Round(0)) > window
}

// outcomeWait bounds what a slow store adds to the caller's wait for an answer
// that is there. Within it, a resend right after the answer finds the outcome.
const outcomeWait = 50 * time.Millisecond

// Complete keeps the outcome of a call that ran. It returns when the store has
// it or after outcomeWait; the write goes on in the background until it succeeds.
func (c *Claim) Complete(outcome Outcome) {
	if len(outcome.Body) > MaxStoredBody {
		outcome.Body = nil
	}
	done := make(chan struct{})
	c.attempt.ledger.settle("outcome of a call", func(ctx context.Context) error {
		err := c.write(ctx, stateDone, &outcome)
		if err == nil {
			close(done)
		}
		return err
	})
	timer := time.NewTimer(outcomeWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// Release marks the attempt as surely not run, so that a resend may claim. The
// call must not have been dispatched and must not be afterwards.
func (c *Claim) Release() {
	c.attempt.ledger.seen.remove(c.attempt.call)
	task := func(ctx context.Context) error { return c.write(ctx, stateNotRun, nil) }
	if c.attempt.ledger.try(context.Background(), task) != nil {
		c.attempt.ledger.settle("release of a claim", task)
	}
}

// Abandon leaves the claim without an outcome: the call may have run.
func (c *Claim) Abandon() {}

// write changes the record of this claim. It is idempotent.
func (c *Claim) write(ctx context.Context, s state, outcome *Outcome) error {
	_, err := c.attempt.put(ctx, c.attempt.record(s, outcome), c.revision)
	if err == nil || !(errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrOutcomeUnknown)) {
		return err
	}
	entry, getErr := c.attempt.ledger.store.Get(ctx, c.attempt.call.storeKey())
	if errors.Is(getErr, platform.ErrNotFound) {
		return nil // the retention has passed
	}
	if getErr != nil {
		return getErr
	}
	if entry.Revision == c.revision {
		return err // the write did not take effect so far
	}
	return nil // only this claim changes its record, or the next one after it
}
