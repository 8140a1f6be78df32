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

func testLedger(store *memstore.Store, host string) *Ledger {
	retention := func() time.Duration { return 72 * time.Hour }
	n := 0
	newID := func() string { n++; return host + string(rune('0'+n)) }
	return New(store, host, retention, newID, nil, DefaultSettings(), logging.Discard())
}

func claim(t *testing.T, l *Ledger, call Call) *Claim {
	t.Helper()
	decision, err := l.Claim(t.Context(), call)
	require.NoError(t, err)
	require.NotNil(t, decision.Claim)
	return decision.Claim
}

func requireClaimError(t *testing.T, l *Ledger, call Call, kind problem.Kind, ran problem.Ran) {
	t.Helper()
	_, err := l.Claim(t.Context(), call)
	require.Error(t, err)
	e := problem.From(err)
	require.Equal(t, kind, e.Kind)
	require.Equal(t, ran, e.Ran)
}

var testCall = Call{Account: "a", Key: "k", BodyHash: BodyHash("POST", "/holds", []byte("x"))}

func TestOutcomeIsReplayedAtAnyGatewayUntilTheRetentionEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New(memstore.Options{})
		one, two := testLedger(store, "one"), testLedger(store, "two")
		c := claim(t, one, testCall)
		requireClaimError(t, two, testCall, problem.KindInProgress, problem.RanUnknown)
		c.Complete(Outcome{Status: 201, Body: []byte("done"), BodyBytes: 4})
		decision, err := two.Claim(t.Context(), testCall)
		require.NoError(t, err)
		require.Equal(t, &Outcome{Status: 201, Body: []byte("done"), BodyBytes: 4}, decision.Replay)
		other := testCall
		other.BodyHash = "other"
		requireClaimError(t, two, other, problem.KindKeyReused, problem.RanNo)
		time.Sleep(74 * time.Hour)
		store.ExpireLeases()
		claim(t, two, testCall).Release()
	})
}

func TestClaimWithoutOutcomeIsReportedAsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New(memstore.Options{})
		one, two := testLedger(store, "one"), testLedger(store, "two")
		claim(t, one, testCall).Abandon()
		time.Sleep(time.Minute)
		requireClaimError(t, two, testCall, problem.KindOutcomeUnknown, problem.RanUnknown)
		requireClaimError(t, one, testCall, problem.KindOutcomeUnknown, problem.RanUnknown)
	})
}

func TestReleasedClaimMayBeClaimedAgain(t *testing.T) {
	store := memstore.New(memstore.Options{})
	one, two := testLedger(store, "one"), testLedger(store, "two")
	claim(t, one, testCall).Release()
	claim(t, two, testCall).Abandon()
	requireClaimError(t, one, testCall, problem.KindInProgress, problem.RanUnknown)
}

func TestStoreOutageRejectsQuicklyAndReportsRecentCallsAsUnknown(t *testing.T) {
	store := memstore.New(memstore.Options{})
	l := testLedger(store, "one")
	claim(t, l, testCall).Complete(Outcome{Status: 200})
	store.SetFault(memstore.Fault{Outage: true})
	fresh := testCall
	fresh.Key = "fresh"
	start := time.Now()
	requireClaimError(t, l, fresh, problem.KindStoreUnavailable, problem.RanNo)
	require.Less(t, time.Since(start), 500*time.Millisecond)
	requireClaimError(t, l, testCall, problem.KindStoreUnavailable, problem.RanUnknown)
}

func TestPausedGatewayReleasesItsClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New(memstore.Options{})
		one, two := testLedger(store, "one"), testLedger(store, "two")
		c := claim(t, one, testCall)
		require.True(t, c.MayDispatch())
		time.Sleep(6 * time.Second) // paused, as by SIGSTOP
		require.False(t, c.MayDispatch())
		c.Release()
		claim(t, two, testCall).Abandon()
	})
}

func TestLostStoreAnswerIsResolvedByReadingBack(t *testing.T) {
	store := memstore.New(memstore.Options{})
	l := testLedger(store, "one")
	warm := testCall
	warm.Key = "warm"
	claim(t, l, warm).Abandon() // creates the lease
	before := store.Counts()
	store.SetFault(memstore.Fault{LoseNext: 1})
	c := claim(t, l, testCall)
	after := store.Counts()
	require.EqualValues(t, 1, after.Writes-before.Writes)
	require.EqualValues(t, 1, after.Reads-before.Reads)
	store.SetFault(memstore.Fault{LoseNext: 1})
	c.Complete(Outcome{Status: 200})
	decision, err := l.Claim(t.Context(), testCall)
	require.NoError(t, err)
	require.NotNil(t, decision.Replay)
	l.Stop(t.Context())
}

func TestLargeAnswerBodyIsNotStored(t *testing.T) {
	store := memstore.New(memstore.Options{})
	l := testLedger(store, "one")
	body := make([]byte, MaxStoredBody+1)
	claim(t, l, testCall).Complete(Outcome{Status: 200, Body: body, BodyBytes: len(body)})
	decision, err := l.Claim(t.Context(), testCall)
	require.NoError(t, err)
	require.False(t, decision.Replay.HasFullBody())
}

// sharedRecorder is a DispatchRecorder that all gateways share.
type sharedRecorder map[string]bool

func (r sharedRecorder) RecordDispatch(_ context.Context, account, key string) {
	r[account+"/"+key] = true
}

func (r sharedRecorder) MayHaveRun(_ context.Context, account, key string) bool {
	return r[account+"/"+key]
}

func TestStoreOutageAtAnotherGatewayReportsExecutedCallAsUnknown(t *testing.T) {
	store, recorder := memstore.New(memstore.Options{}), sharedRecorder{}
	one, two := testLedger(store, "one"), testLedger(store, "two")
	one.recorder, two.recorder = recorder, recorder
	require.False(t, two.MayHaveRun(t.Context(), testCall))
	claim(t, one, testCall).Complete(Outcome{Status: 200})
	require.True(t, two.MayHaveRun(t.Context(), testCall))
	store.SetFault(memstore.Fault{Outage: true})
	require.True(t, two.MayHaveRun(t.Context(), testCall))
	requireClaimError(t, two, testCall, problem.KindStoreUnavailable, problem.RanUnknown)
	fresh := testCall
	fresh.Key = "fresh"
	requireClaimError(t, two, fresh, problem.KindStoreUnavailable, problem.RanNo)
}
