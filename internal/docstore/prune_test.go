package docstore

import (
	"context"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/document"
	"corianderhitch/internal/platform"
	"corianderhitch/internal/platform/memstore"
)

func TestPruneKeepsReferencedData(t *testing.T) {
	memory := memstore.New(memstore.Options{})
	s := New(memory)
	trial, production := example(t, "trial"), example(t, "production")
	for i := range 20 {
		_, err := s.Apply(t.Context(), request(variant(trial, i), int64(i)))
		require.NoError(t, err)
	}
	_, err := s.Apply(t.Context(), request(production, 0))
	require.NoError(t, err)
	_, err = s.Promote(t.Context(), PromoteRequest{From: "trial", Revision: 2, To: "production", Base: 1})
	require.NoError(t, err)

	_, err = s.Prune(t.Context(), PruneRequest{Environment: "trial", Keep: MinKeptRevisions - 1})
	require.ErrorContains(t, err, "at least 10")
	planned, err := s.Prune(t.Context(), PruneRequest{Environment: "trial", Keep: MinKeptRevisions, DryRun: true})
	require.NoError(t, err)
	done, err := s.Prune(t.Context(), PruneRequest{Environment: "trial", Keep: MinKeptRevisions})
	require.NoError(t, err)
	require.Equal(t, planned, done)
	require.Equal(t, 9, done.Entries)
	require.Equal(t, 9, done.Chunks)
	again, err := s.Prune(t.Context(), PruneRequest{Environment: "trial", Keep: MinKeptRevisions})
	require.NoError(t, err)
	require.Zero(t, again)

	history, err := s.History(t.Context(), "trial", 0)
	require.NoError(t, err)
	require.Len(t, history, 11)
	var missing *RevisionNotFoundError
	_, err = s.AtRevision(t.Context(), "trial", 9)
	require.ErrorAs(t, err, &missing)
	back, err := s.Rollback(t.Context(), RollbackRequest{Environment: "trial", ToRevision: 10, Base: AnyBase})
	require.NoError(t, err)
	require.EqualValues(t, 21, back.Revision)
	promoted, err := s.AtRevision(t.Context(), "production", 1)
	require.NoError(t, err)
	require.Equal(t, document.Normalize(production), promoted.Document)
}

// pruningStore prunes the inner store just before the swap of a change.
type pruningStore struct {
	platform.Store
	prune func()
}

func (p *pruningStore) Put(ctx context.Context, key string, value []byte, at platform.Revision, lease platform.LeaseID) (platform.Revision, error) {
	if key == document.CurrentKey("trial") && p.prune != nil {
		p.prune()
	}
	return p.Store.Put(ctx, key, value, at, lease)
}

func TestPruneKeepsChunksOfPendingChange(t *testing.T) {
	inner := memstore.New(memstore.Options{})
	other := New(inner)
	other.minKept = 0
	s := New(&pruningStore{Store: inner, prune: func() {
		_, err := other.Prune(t.Context(), PruneRequest{Environment: "trial"})
		require.NoError(t, err)
	}})
	s.inlineBytes = 0
	for i := range 3 {
		_, err := s.Apply(t.Context(), request(variant(example(t, "trial"), i), int64(i)))
		require.NoError(t, err)
		current, _, err := s.Current(t.Context(), "trial")
		require.NoError(t, err)
		require.EqualValues(t, i+1, current.Revision)
	}
}

// reusingStore runs a change just before the first removal of a chunk.
type reusingStore struct {
	platform.Store
	change func()
}

func (r *reusingStore) Delete(ctx context.Context, key string, at platform.Revision) error {
	if strings.HasPrefix(key, document.ChunkKey("")) && r.change != nil {
		change := r.change
		r.change = nil
		change()
	}
	return r.Store.Delete(ctx, key, at)
}

func TestPruneKeepsRewrittenChunk(t *testing.T) {
	inner := memstore.New(memstore.Options{})
	s := New(inner)
	s.inlineBytes = 0
	d := example(t, "trial")
	for i := range 2 {
		_, err := s.Apply(t.Context(), request(variant(d, i), int64(i)))
		require.NoError(t, err)
	}
	pruning := New(&reusingStore{Store: inner, change: func() {
		_, err := s.Apply(t.Context(), request(variant(d, 0), 2))
		require.NoError(t, err)
	}})
	pruning.minKept = 0
	pruned, err := pruning.Prune(t.Context(), PruneRequest{Environment: "trial"})
	require.NoError(t, err)
	require.Equal(t, 1, pruned.Entries)
	require.Zero(t, pruned.Chunks)
	current, _, err := s.Current(t.Context(), "trial")
	require.NoError(t, err)
	require.EqualValues(t, 3, current.Revision)
}
