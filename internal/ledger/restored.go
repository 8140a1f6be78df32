package ledger

import (
	"context"
	"sync"
	"time"

	"corianderhitch/internal/platform"
)

// restoredFor is how long after a restore of the store a missing record does not show that
// a call has not run: the record may be lost. After that, dispatch records are gone too.
const restoredFor = time.Hour

// restoreWatch remembers since when the store is in its current era. A gateway that starts
// in an era does not know when it began, and takes it for a new one.
type restoreWatch struct {
	mu     sync.Mutex
	era    int64     // guarded by mu; the latest that was seen
	seenAt time.Time // guarded by mu; when era was first seen
}

// recordsMayBeLost reports whether records may be missing at a revision because the store
// was restored from a copy.
func (w *restoreWatch) recordsMayBeLost(revision platform.Revision) bool {
	era := revision.Era()
	if era == 0 {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if era > w.era {
		w.era, w.seenAt = era, time.Now()
	}
	return time.Since(w.seenAt) < restoredFor
}

// recordIsLost reports whether the missing record of a call may have been lost with a
// restore of the store: the call may have run before.
func (l *Ledger) recordIsLost(call Call, revision platform.Revision) bool {
	return l.restores.recordsMayBeLost(revision) && l.mayHaveRunWithoutStore(call)
}

// missingRecordIsLost is recordIsLost for a record that a read has not found.
func (l *Ledger) missingRecordIsLost(ctx context.Context, call Call) bool {
	_, revision, err := l.store.List(ctx, call.storeKey(), "", 1)
	if err != nil {
		return l.mayHaveRunWithoutStore(call)
	}
	return l.recordIsLost(call, revision)
}
