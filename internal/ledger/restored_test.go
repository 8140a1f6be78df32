package ledger

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/api/problem"
	"corianderhitch/internal/logging"
	"corianderhitch/internal/platform/memstore"
)

// fleetRecords is a DispatchRecorder of all gateways of a test.
type fleetRecords map[string]bool

func (f fleetRecords) RecordDispatch(_ context.Context, account, key string) {
	f[account+"/"+key] = true
}

func (f fleetRecords) MayHaveRun(_ context.Context, account, key string) bool {
	return f[account+"/"+key]
}

func recordingLedger(store *memstore.Store, host string, records fleetRecords) *Ledger {
	n := 0
	newID := func() string { n++; return host + string(rune('0'+n)) }
	return New(store, host, func() time.Duration { return 72 * time.Hour }, newID, records, DefaultSettings(), logging.Discard())
}

// The store comes back from a copy without the record of a call that has run. A resend at
// any gateway must not run it again, nor be told that it has not run.
func TestCallWhoseRecordWasLostDoesNotRunAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, records := memstore.New(memstore.Options{}), fleetRecords{}
		one, two := recordingLedger(store, "one", records), recordingLedger(store, "two", records)
		older := store.Copy()
		claim(t, one, testCall).Complete(Outcome{Status: 201})
		store.Restore(older)
		require.True(t, two.MayHaveRun(t.Context(), testCall))
		requireClaimError(t, two, testCall, problem.KindOutcomeUnknown, problem.RanUnknown)
		requireClaimError(t, one, testCall, problem.KindInProgress, problem.RanUnknown)
		restarted := recordingLedger(store, "three", records)
		requireClaimError(t, restarted, testCall, problem.KindInProgress, problem.RanUnknown)
		other := testCall
		other.Key = "never sent before"
		require.False(t, two.MayHaveRun(t.Context(), other))
		claim(t, two, other).Release()
	})
}

// The copy holds the claim, but not the outcome that was written since.
func TestCallWhoseOutcomeWasLostIsReportedAsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, records := memstore.New(memstore.Options{}), fleetRecords{}
		one, two := recordingLedger(store, "one", records), recordingLedger(store, "two", records)
		c := claim(t, one, testCall)
		older := store.Copy()
		c.Complete(Outcome{Status: 201})
		store.Restore(older)
		time.Sleep(time.Minute)
		requireClaimError(t, two, testCall, problem.KindOutcomeUnknown, problem.RanUnknown)
	})
}

// A gateway writes the outcome or the release of a claim that the restored store lacks,
// while another has claimed the key again: its write must not replace that claim.
func TestClaimOfAnEarlierEraReplacesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New(memstore.Options{})
		one, two := testLedger(store, "one"), testLedger(store, "two")
		older := store.Copy()
		c := claim(t, one, testCall)
		store.Restore(older)
		again := claim(t, two, testCall)
		require.Equal(t, c.revision.Number(), again.revision.Number(), "the revision was given out again")
		c.Release()
		requireClaimError(t, one, testCall, problem.KindInProgress, problem.RanUnknown)
	})
}
