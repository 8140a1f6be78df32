package ledger

import (
	"context"
	"time"
)

// DispatchRecorder remembers outside the store, and for all gateways, which calls
// may have run. It is queried while the store gives no answer, and for a while after the
// store was restored from a copy.
type DispatchRecorder interface {
	// RecordDispatch remembers a call that is about to be dispatched.
	RecordDispatch(ctx context.Context, account, key string)
	// MayHaveRun reports whether a call may have run. It also returns true if no
	// host could be asked.
	MayHaveRun(ctx context.Context, account, key string) bool
}

// recorderTimeout bounds a call of the recorder. It suffices to ask two hosts of
// which one does not answer.
const recorderTimeout = 650 * time.Millisecond

// recordDispatch remembers that the call is about to be dispatched.
func (l *Ledger) recordDispatch(call Call) {
	l.recentCalls.add(call)
	if l.recorder == nil {
		return
	}
	ctx, cancel := context.WithTimeout(l.taskCtx, recorderTimeout)
	defer cancel()
	l.recorder.RecordDispatch(ctx, call.Account, call.Key)
}

// mayHaveRunWithoutStore reports whether an earlier request for the call may have
// run, as far as this gateway and the recorder know.
func (l *Ledger) mayHaveRunWithoutStore(call Call) bool {
	if l.recentCalls.has(call) {
		return true
	}
	if l.recorder == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(l.taskCtx, recorderTimeout)
	defer cancel()
	return l.recorder.MayHaveRun(ctx, call.Account, call.Key)
}

// MayHaveRun reports whether an earlier request for the call may have run. Use it
// for a call that is rejected before Claim.
func (l *Ledger) MayHaveRun(ctx context.Context, call Call) bool {
	ctx, cancel := context.WithTimeout(ctx, l.settings.ClaimTimeout)
	defer cancel()
	entry, err := l.store.Get(ctx, call.storeKey())
	if isNotFound(err) {
		return l.missingRecordIsLost(ctx, call)
	}
	if err != nil {
		return l.mayHaveRunWithoutStore(call)
	}
	r, err := decode(entry.Value)
	return err != nil || r.State != stateNotRun
}
