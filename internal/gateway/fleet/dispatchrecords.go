package fleet

import (
	"context"
	"time"

	"corianderhitch/api/control"
	"corianderhitch/internal/gateway/ids"
)

const (
	// dispatchRecordPrefix separates the records of calls from the request ids of
	// completions, which contain no slash.
	dispatchRecordPrefix = "call/"
	// dispatchRecordTTL is how long a record is kept: longer than most store outages.
	dispatchRecordTTL = 1 * time.Hour
)

// RecordDispatch implements ledger.DispatchRecorder with an entry in the directory.
func (f *Fleet) RecordDispatch(ctx context.Context, account, key string) {
	f.Register(ctx, control.DirectoryEntry{
		Account: account, RequestID: dispatchRecordPrefix + key, Generation: ids.New(), Expires: time.Now().Add(dispatchRecordTTL),
	})
}

// MayHaveRun implements ledger.DispatchRecorder. Some of the hosts that are asked keep a
// record, and any of them may be the only one: it returns false only if there are such
// hosts, all answer and none has a record.
func (f *Fleet) MayHaveRun(ctx context.Context, account, key string) bool {
	requestID := dispatchRecordPrefix + key
	owners := f.directoryOwners(account, requestID)
	_, found, unanswered := f.lookup(ctx, directoryTimeout, account, requestID, owners)
	return found || len(owners) == 0 || len(unanswered) > 0
}
