package ledger

import (
	"context"
	"errors"
	"time"

	"corianderhitch/internal/platform"
	"corianderhitch/internal/wait"
)

// attempt is one try of this gateway to claim and run a call, for one request of the
// caller. Its writes carry its id, so that it can read back whether they took effect.
type attempt struct {
	ledger  *Ledger
	call    Call
	id      string
	lease   platform.LeaseID
	started time.Time
	// expect is the revision that the claim's write requires.
	expect platform.Revision
	// writeUnconfirmed is set while a claim's write that requires expect may still
	// take effect although the store has not confirmed it.
	writeUnconfirmed bool
}

// claim repeats the claim's write until the store gives a definite answer or ctx
// ends. Repeating the write is harmless: it carries the same attempt id and takes
// effect at most once, since its required revision no longer matches afterwards.
func (a *attempt) claim(ctx context.Context) (Decision, error) {
	for {
		revision, err := a.put(ctx, a.record(stateClaimed, nil), a.expect)
		if err == nil {
			return a.grant(revision)
		}
		if noEffect(err) && !a.writeUnconfirmed {
			return Decision{}, a.ledger.storeUnavailable(a.call, err)
		}
		if !noEffect(err) {
			a.writeUnconfirmed = a.writeUnconfirmed || !errors.Is(err, platform.ErrConflict)
			decision, resolved, err := a.readBack(ctx)
			if resolved {
				return decision, err
			}
		}
		if ctx.Err() != nil {
			return Decision{}, a.abort(ctx.Err())
		}
		wait.For(ctx, readBackInterval)
	}
}

// readBackInterval is the delay between attempts to resolve a store write whose answer
// was lost.
const readBackInterval = 10 * time.Millisecond

// readBack reads the record after a write that was not confirmed. The result is
// false if the claim must be written (again).
func (a *attempt) readBack(ctx context.Context) (Decision, bool, error) {
	entry, err := a.ledger.store.Get(ctx, a.call.storeKey())
	if errors.Is(err, platform.ErrNotFound) {
		a.setExpected(platform.Absent)
		return Decision{}, false, nil
	}
	if err != nil {
		if a.writeUnconfirmed {
			return Decision{}, false, nil
		}
		return Decision{}, true, a.ledger.storeUnavailable(a.call, err)
	}
	r, err := decode(entry.Value)
	switch {
	case err != nil:
		return Decision{}, true, a.ledger.outcomeUnknown(a.call, err)
	case r.Attempt == a.id && r.State == stateClaimed:
		d, err := a.grant(entry.Revision)
		return d, true, err
	case r.State == stateNotRun:
		a.setExpected(entry.Revision)
		return Decision{}, false, nil
	default:
		d, err := a.ledger.decideFromRecord(a.call, r)
		return d, true, err
	}
}

// setExpected sets the revision that the next write requires. An earlier write
// that required another revision can no longer take effect, since revisions only
// grow.
func (a *attempt) setExpected(expect platform.Revision) {
	if expect != a.expect {
		a.expect = expect
		a.writeUnconfirmed = false
	}
}

// grant returns the claim that was written at the revision, or releases it if the
// dispatch window has passed. If an earlier record of the call may have been lost with a
// restore of the store, the claim stays without an outcome: the call may have run.
func (a *attempt) grant(revision platform.Revision) (Decision, error) {
	claim := &Claim{attempt: a, revision: revision}
	if claim.windowPassed() {
		claim.Release()
		return Decision{}, a.ledger.storeUnavailable(a.call, errPaused)
	}
	if a.ledger.recordIsLost(a.call, revision) {
		claim.Abandon()
		return Decision{}, a.ledger.outcomeUnknown(a.call, errRecordLost)
	}
	a.ledger.recordDispatch(a.call)
	return Decision{Claim: claim}, nil
}

// abort rejects the call although its claim may exist or may still be written by
// an unconfirmed write. The call was not dispatched and never will be, so a
// background task marks such a claim as not run.
func (a *attempt) abort(cause error) error {
	if a.writeUnconfirmed {
		a.ledger.runInBackground("withdrawal of an unconfirmed claim", a.withdraw)
	}
	return a.ledger.storeUnavailable(a.call, cause)
}

// withdraw brings the record into a state in which this attempt holds no claim
// and its unconfirmed write can no longer take effect.
func (a *attempt) withdraw(ctx context.Context) error {
	entry, err := a.ledger.store.Get(ctx, a.call.storeKey())
	expect := entry.Revision
	if errors.Is(err, platform.ErrNotFound) {
		expect, err = platform.Absent, nil
	}
	if err != nil {
		return err
	}
	if expect != platform.Absent {
		r, err := decode(entry.Value)
		ours := err == nil && r.Attempt == a.id && r.State == stateClaimed
		if err != nil || (!ours && expect != a.expect) {
			return nil // the unconfirmed write can no longer take effect
		}
	}
	_, err = a.put(ctx, a.record(stateNotRun, nil), expect)
	return err // after a conflict or a lost answer, the next try reads the record again
}

// put writes the record if its revision is expect. It replaces the lease once if the
// store no longer knows it.
func (a *attempt) put(ctx context.Context, r record, expect platform.Revision) (platform.Revision, error) {
	revision, err := a.ledger.store.Put(ctx, a.call.storeKey(), r.encode(), expect, a.lease)
	if errors.Is(err, platform.ErrLeaseExpired) {
		if a.lease, err = a.ledger.leases.Replace(ctx, a.lease); err != nil {
			return 0, err
		}
		return a.ledger.store.Put(ctx, a.call.storeKey(), r.encode(), expect, a.lease)
	}
	return revision, err
}

func (a *attempt) record(s state, outcome *Outcome) record {
	return record{
		Attempt: a.id, Host: a.ledger.host, BodyHash: a.call.BodyHash, State: s, At: a.started, Outcome: outcome,
	}
}
