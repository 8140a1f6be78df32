package docstore

import (
	"context"
	"os"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"corianderhitch/internal/document"
	"corianderhitch/internal/platform"
	"corianderhitch/internal/platform/memstore"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func example(t testing.TB, environment string) document.Document {
	t.Helper()
	source, err := os.ReadFile("../../examples/charter-trial.yaml")
	require.NoError(t, err)
	d, err := document.Parse(source)
	require.NoError(t, err)
	d.Environment = environment
	return d
}

// variant returns a valid document whose content depends on number.
func variant(d document.Document, number int) document.Document {
	d.Objectives.FirstTokenMS = 1000 + number
	return d
}

func request(d document.Document, base int64) ApplyRequest {
	return ApplyRequest{Environment: d.Environment, Base: base, Document: d, Operator: "ana", Comment: "test"}
}

func TestApplyCountsRevisionsAndKeepsHistory(t *testing.T) {
	s := New(memstore.New(memstore.Options{}))
	d := example(t, "trial")
	_, _, err := s.Current(t.Context(), "trial")
	require.ErrorIs(t, err, platform.ErrNotFound)
	for i := range 3 {
		accepted, err := s.Apply(t.Context(), request(variant(d, i), int64(i)))
		require.NoError(t, err)
		require.EqualValues(t, i+1, accepted.Revision)
		current, at, err := s.Current(t.Context(), "trial")
		require.NoError(t, err)
		require.Equal(t, accepted, current)
		require.Positive(t, at)
	}
	history, err := s.History(t.Context(), "trial", 2)
	require.NoError(t, err)
	require.Len(t, history, 2)
	require.EqualValues(t, 3, history[0].Revision)
	require.Equal(t, "apply", history[1].Origin)
	old, err := s.AtRevision(t.Context(), "trial", 1)
	require.NoError(t, err)
	require.Equal(t, 1000, old.Document.Objectives.FirstTokenMS)
	var missing *RevisionNotFoundError
	_, err = s.AtRevision(t.Context(), "trial", 4)
	require.ErrorAs(t, err, &missing)
}

func TestApplyOfTheSameDocumentChangesNothing(t *testing.T) {
	s := New(memstore.New(memstore.Options{}))
	d := example(t, "trial")
	_, err := s.Apply(t.Context(), request(d, 0))
	require.NoError(t, err)
	again, err := s.Apply(t.Context(), request(d, 1))
	require.NoError(t, err)
	require.EqualValues(t, 1, again.Revision)
}

func TestConflictNamesBothRevisions(t *testing.T) {
	s := New(memstore.New(memstore.Options{}))
	d := example(t, "trial")
	_, err := s.Apply(t.Context(), request(variant(d, 1), 0))
	require.NoError(t, err)
	_, err = s.Apply(t.Context(), request(variant(d, 2), 1))
	require.NoError(t, err)
	_, err = s.Apply(t.Context(), request(variant(d, 3), 1))
	var conflict *ConflictError
	require.ErrorAs(t, err, &conflict)
	require.EqualValues(t, 1, conflict.Base)
	require.EqualValues(t, 2, conflict.Current)
	require.ErrorContains(t, err, "based on revision 1 of trial, but revision 2 is in force (by ana")
	require.ErrorContains(t, err, "repeat with --base 2")
}

func TestInvalidDocumentAndWrongEnvironmentAreRejected(t *testing.T) {
	s := New(memstore.New(memstore.Options{}))
	var invalid *document.ValidationError
	d := example(t, "trial")
	req := request(d, 0)
	req.Environment = "production"
	_, err := s.Apply(t.Context(), req)
	require.ErrorAs(t, err, &invalid)
	d.Accounts[0].Serves[0].Model = "nowhere"
	_, err = s.Apply(t.Context(), request(d, 0))
	require.ErrorAs(t, err, &invalid)
}

func TestPromoteAndRollbackCreateNewRevisions(t *testing.T) {
	s := New(memstore.New(memstore.Options{}))
	d := example(t, "trial")
	for i := range 3 {
		_, err := s.Apply(t.Context(), request(variant(d, i), int64(i)))
		require.NoError(t, err)
	}
	promoted, err := s.Promote(t.Context(), PromoteRequest{From: "trial", Revision: 2, To: "production", Base: 0, Operator: "ben"})
	require.NoError(t, err)
	require.EqualValues(t, 1, promoted.Revision)
	require.Equal(t, "promote trial@2", promoted.Origin)
	require.Equal(t, 1001, promoted.Document.Objectives.FirstTokenMS)
	require.Equal(t, "production", promoted.Document.Environment)

	var conflict *ConflictError
	_, err = s.Promote(t.Context(), PromoteRequest{From: "trial", Revision: 3, To: "production", Base: 0})
	require.ErrorAs(t, err, &conflict)

	back, err := s.Rollback(t.Context(), RollbackRequest{Environment: "trial", ToRevision: 1, Base: 3})
	require.NoError(t, err)
	require.EqualValues(t, 4, back.Revision)
	require.Equal(t, "rollback 1", back.Origin)
	require.Equal(t, 1000, back.Document.Objectives.FirstTokenMS)
	same, err := s.Rollback(t.Context(), RollbackRequest{Environment: "trial", ToRevision: 4, Base: AnyBase})
	require.NoError(t, err)
	require.EqualValues(t, 5, same.Revision)
}

// racingStore is a store that calls beforeSwap once between the history entry and
// the swap of a change, for example to let another change win.
type racingStore struct {
	platform.Store
	beforeSwap func()
}

func (r *racingStore) Put(ctx context.Context, key string, value []byte, at platform.Revision, lease platform.LeaseID) (platform.Revision, error) {
	if key == document.CurrentKey("trial") && r.beforeSwap != nil {
		run := r.beforeSwap
		r.beforeSwap = nil
		run()
	}
	return r.Store.Put(ctx, key, value, at, lease)
}

func TestHistoryOmitsAttemptThatLostRace(t *testing.T) {
	inner := memstore.New(memstore.Options{})
	winner := New(inner)
	d := example(t, "trial")
	_, err := winner.Apply(t.Context(), request(variant(d, 0), 0))
	require.NoError(t, err)
	slow := New(&racingStore{Store: inner, beforeSwap: func() {
		_, err := winner.Apply(t.Context(), request(variant(d, 1), 1))
		require.NoError(t, err)
	}})
	_, err = slow.Apply(t.Context(), request(variant(d, 2), 1))
	var conflict *ConflictError
	require.ErrorAs(t, err, &conflict)
	require.EqualValues(t, 2, conflict.Current)
	_, err = winner.Apply(t.Context(), request(variant(d, 3), 2))
	require.NoError(t, err)

	entries, _, err := inner.List(t.Context(), document.HistoryPrefix("trial"), "", 0)
	require.NoError(t, err)
	require.Len(t, entries, 4, "the entry of the lost attempt is stored under revision 2 too")
	history, err := winner.History(t.Context(), "trial", 0)
	require.NoError(t, err)
	require.Len(t, history, 3)
	second, err := winner.AtRevision(t.Context(), "trial", 2)
	require.NoError(t, err)
	require.Equal(t, 1001, second.Document.Objectives.FirstTokenMS)
}

func TestApplySucceedsAfterLostAnswer(t *testing.T) {
	for lost := range 3 { // history entry, body, current record
		synctest.Test(t, func(t *testing.T) {
			inner := memstore.New(memstore.Options{})
			s := New(&faultyStore{Store: inner, fault: func(put int) fault {
				if put == lost {
					return answerLost
				}
				return noFault
			}})
			accepted, err := s.Apply(t.Context(), request(example(t, "trial"), 0))
			require.NoError(t, err)
			require.EqualValues(t, 1, accepted.Revision)
			history, err := s.History(t.Context(), "trial", 0)
			require.NoError(t, err)
			require.Len(t, history, 1)
		})
	}
}

func TestOutageErrorSaysWhetherChangeMayApply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := memstore.New(memstore.Options{})
		unavailableStore := New(&faultyStore{Store: inner, fault: func(int) fault { return unavailable }})
		_, err := unavailableStore.Apply(t.Context(), request(example(t, "trial"), 0))
		require.ErrorIs(t, err, platform.ErrUnavailable)
		require.ErrorContains(t, err, "nothing was changed")

		// The answer to the swap is lost and the store is unavailable afterwards.
		unansweredStore := New(&faultyStore{Store: inner, fault: func(put int) fault {
			switch {
			case put < 2:
				return noFault
			case put == 2:
				return answerLost
			}
			return unavailable
		}})
		_, err = unansweredStore.Apply(t.Context(), request(example(t, "trial"), 0))
		var unknown *OutcomeUnknownError
		require.ErrorAs(t, err, &unknown)
		current, _, err := New(inner).Current(t.Context(), "trial")
		require.NoError(t, err)
		require.Equal(t, unknown.Revision, current.Revision)
	})
}

func TestBodyKeepsUnknownFields(t *testing.T) {
	memory := memstore.New(memstore.Options{})
	s := New(memory)
	_, err := s.Body(t.Context(), "trial")
	require.ErrorIs(t, err, platform.ErrNotFound)
	accepted, err := s.Apply(t.Context(), request(example(t, "trial"), 0))
	require.NoError(t, err)
	want, err := document.Encode(accepted.Document)
	require.NoError(t, err)
	body, err := s.Body(t.Context(), "trial")
	require.NoError(t, err)
	require.EqualValues(t, 1, body.Revision)
	require.Equal(t, string(want), string(body.Content))

	// A later release writes a field that is unknown to this one.
	entry, err := memory.Get(t.Context(), document.CurrentKey("trial"))
	require.NoError(t, err)
	r, err := decodeRecord(entry.Value)
	require.NoError(t, err)
	later := append([]byte(`{"colour":"red",`), r.Document[1:]...)
	r.Document, r.Body.Digest = later, digest(later)
	value, err := encodeRecord(r)
	require.NoError(t, err)
	_, err = memory.Put(t.Context(), entry.Key, value, entry.Revision, 0)
	require.NoError(t, err)
	body, err = s.Body(t.Context(), "trial")
	require.NoError(t, err)
	require.Equal(t, string(later), string(body.Content))
	current, _, err := s.Current(t.Context(), "trial")
	require.NoError(t, err)
	require.Equal(t, accepted, current)

	r.Body.Digest = digest(want)
	value, err = encodeRecord(r)
	require.NoError(t, err)
	_, err = memory.Put(t.Context(), entry.Key, value, platform.AnyRevision, 0)
	require.NoError(t, err)
	_, err = s.Body(t.Context(), "trial")
	require.ErrorContains(t, err, "does not match its digest")
}

func TestApplyAboveRevision(t *testing.T) {
	s := New(memstore.New(memstore.Options{}))
	d := example(t, "trial")
	_, err := s.Apply(t.Context(), request(variant(d, 0), 0))
	require.NoError(t, err)
	req := request(variant(d, 0), 1)
	req.Above = 57
	accepted, err := s.Apply(t.Context(), req)
	require.NoError(t, err)
	require.EqualValues(t, 58, accepted.Revision, "an equal document is written too")
	again, err := s.Apply(t.Context(), ApplyRequest{Environment: "trial", Base: 58, Document: variant(d, 0), Above: 57})
	require.NoError(t, err)
	require.EqualValues(t, 58, again.Revision)
	history, err := s.History(t.Context(), "trial", 0)
	require.NoError(t, err)
	require.Len(t, history, 2)
	var missing *RevisionNotFoundError
	_, err = s.AtRevision(t.Context(), "trial", 30)
	require.ErrorAs(t, err, &missing)
	first, err := s.AtRevision(t.Context(), "trial", 1)
	require.NoError(t, err)
	require.EqualValues(t, 1, first.Revision)
	_, err = s.Rollback(t.Context(), RollbackRequest{Environment: "trial", ToRevision: 1, Base: 58})
	require.NoError(t, err)
}

// pagedStore is a store that lists two entries per page.
type pagedStore struct{ platform.Store }

func (p pagedStore) List(ctx context.Context, prefix, after string, _ int) ([]platform.Entry, platform.Revision, error) {
	return p.Store.List(ctx, prefix, after, 2)
}

func TestHistoryIsReadPageByPage(t *testing.T) {
	s := New(pagedStore{memstore.New(memstore.Options{})})
	d := example(t, "trial")
	for i := range 9 {
		_, err := s.Apply(t.Context(), request(variant(d, i), int64(i)))
		require.NoError(t, err)
	}
	history, err := s.History(t.Context(), "trial", 0)
	require.NoError(t, err)
	require.Len(t, history, 9)
	for i, entry := range history {
		require.EqualValues(t, 9-i, entry.Revision)
	}
	third, err := s.AtRevision(t.Context(), "trial", 3)
	require.NoError(t, err)
	require.Equal(t, 1002, third.Document.Objectives.FirstTokenMS)
}
