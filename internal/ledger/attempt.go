package ledger

import (
	"context"
	"errors"
	"time"

	"corianderhitch/internal/platform"
	"corianderhitch/internal/wait"
)

// attempt is one sending of a call. Its writes name its id, so that it can read
// back whether they took effect.
type attempt struct {
	ledger  *Ledger
	call    Call
	id      string
	lease   platform.LeaseID
	started time.Time
	// expect is the condition of the claim's write.
	expect platform.Revision
	// open is set while a claim's write with the condition expect may still take
	// effect although no answer has told so.
	open bool
}

// claim writes the claim until the store has answered definitely or ctx ends.
// Repeating the write is harmless: it carries the same attempt and takes effect
// at most once, since its condition fails afterwards.
func (a *attempt) claim(ctx context.Context) (Decision, error) {
	for {
		revision, err := a.put(ctx, a.record(stateClaimed, nil), a.expect)
		if err == nil {
			return a.run(revision)
		}
		if noEffect(err) && !a.open {
			return Decision{}, a.ledger.refused(a.call, err)
		}
		if !noEffect(err) {
			a.open = a.open || !errors.Is(err, platform.ErrConflict)
			decision, settled, err := a.readBack(ctx)
			if settled {
				return decision, err
			}
		}
		if ctx.Err() != nil {
			return Decision{}, a.giveUp(ctx.Err())
		}
		wait.For(ctx, readBackPause)
	}
}

// readBackPause separates the attempts to settle a lost answer.
const readBackPause = 10 * time.Millisecond

// readBack reads the record. It returns settled=false if the claim is to be
// written (again).
func (a *attempt) readBack(ctx context.Context) (Decision, bool, error) {
	entry, err := a.ledger.store.Get(ctx, a.call.storeKey())
	if errors.Is(err, platform.ErrNotFound) {
		a.next(platform.Absent)
		return Decision{}, false, nil
	}
	if err != nil {
		if a.open {
			return Decision{}, false, nil
		}
		return Decision{}, true, a.ledger.refused(a.call, err)
	}
	r, err := decode(entry.Value)
	switch {
	case err != nil:
		return Decision{}, true, a.ledger.unknown(a.call, err)
	case r.Attempt == a.id && r.State == stateClaimed:
		d, err := a.run(entry.Revision)
		return d, true, err
	case r.State == stateNotRun:
		a.next(entry.Revision)
		return Decision{}, false, nil
	default:
		d, err := a.ledger.taken(a.call, r)
		return d, true, err
	}
}

// next sets the condition of the next write. A write under another condition
// can no longer take effect, since revisions only grow.
func (a *attempt) next(expect platform.Revision) {
	if expect != a.expect {
		a.expect = expect
		a.open = false
	}
}

func (a *attempt) run(revision platform.Revision) (Decision, error) {
	claim := &Claim{attempt: a, revision: revision}
	if claim.stale() {
		claim.Release()
		return Decision{}, a.ledger.refused(a.call, errFrozen)
	}
	a.ledger.mark(a.call)
	return Decision{Claim: claim}, nil
}

// giveUp refuses the call although its claim may stand or come to stand. Nothing
// was sent and nothing will be, so the claim is marked as not run later.
func (a *attempt) giveUp(cause error) error {
	if a.open {
		a.ledger.settle("claim whose answer was lost", a.withdraw)
	}
	return a.ledger.refused(a.call, cause)
}

// withdraw brings the record into a state in which the claim does not stand and
// its write can no longer take effect.
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
		mine := err == nil && r.Attempt == a.id && r.State == stateClaimed
		if err != nil || (!mine && expect != a.expect) {
			return nil // the late write can no longer take effect
		}
	}
	_, err = a.put(ctx, a.record(stateNotRun, nil), expect)
	return err // after a conflict or a lost answer the next try reads again
}

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
