package ledger

import (
	"context"
	"time"
)

// Hint remembers outside the store, and over all gateways, which calls may have
// run. It is asked only while the store gives no answer.
type DispatchRecorder interface {
	// Mark remembers a call that is about to be dispatched.
	RecordDispatch(ctx context.Context, account, key string)
	// Marked tells whether a call may have run. It also returns true if nobody
	// could be asked.
	MayHaveRun(ctx context.Context, account, key string) bool
}

// hintTimeout bounds the wait for a hint: two hosts, of which one gives no answer.
const hintTimeout = 650 * time.Millisecond

// mark remembers that the call is about to be dispatched.
func (l *Ledger) mark(call Call) {
	l.seen.add(call)
	if l.hint == nil {
		return
	}
	ctx, cancel := context.WithTimeout(l.life, hintTimeout)
	defer cancel()
	l.hint.RecordDispatch(ctx, call.Account, call.Key)
}

// marked tells whether an earlier sending may have run, as far as is known
// without the store.
func (l *Ledger) marked(call Call) bool {
	if l.seen.has(call) {
		return true
	}
	if l.hint == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(l.life, hintTimeout)
	defer cancel()
	return l.hint.MayHaveRun(ctx, call.Account, call.Key)
}

// Earlier tells whether an earlier sending of a call may have run. It is asked
// for a call that is refused without a claim.
func (l *Ledger) MayHaveRun(ctx context.Context, call Call) bool {
	ctx, cancel := context.WithTimeout(ctx, l.settings.ClaimTimeout)
	defer cancel()
	entry, err := l.store.Get(ctx, call.storeKey())
	if isNotFound(err) {
		return false
	}
	if err != nil {
		return l.marked(call)
	}
	r, err := decode(entry.Value)
	return err != nil || r.State != stateNotRun
}
