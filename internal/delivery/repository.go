package delivery

import (
	"context"
	"errors"

	"corianderhitch/internal/platform"
	"corianderhitch/internal/storelease"
)

// repository reads and writes late requests and their answers in the store.
type repository struct {
	store  platform.Store
	leases *storelease.Leases
}

// errExists means that the key already has a record.
var errExists = platform.ErrConflict

// create writes a record that must not exist yet, or returns errExists. If the
// outcome of the write is unknown, it reads the key back; ErrOutcomeUnknown is
// returned only if that fails too.
func (r *repository) create(ctx context.Context, key string, value []byte, lease platform.LeaseID) error {
	for {
		_, err := r.store.Put(ctx, key, value, platform.Absent, lease)
		if !errors.Is(err, platform.ErrOutcomeUnknown) {
			return err
		}
		entry, getErr := r.store.Get(ctx, key)
		switch {
		case getErr == nil && string(entry.Value) == string(value):
			return nil
		case getErr == nil:
			return errExists
		case !errors.Is(getErr, platform.ErrNotFound):
			return err
		}
	}
}

// addPending records an accepted late request. The record has no lease, as it must
// stay until the answer is stored.
func (r *repository) addPending(ctx context.Context, p pendingRecord) error {
	return r.create(ctx, p.ref().pendingKey(), encode(p), 0)
}

func (r *repository) pending(ctx context.Context, ref requestRef) (pendingRecord, error) {
	entry, err := r.store.Get(ctx, ref.pendingKey())
	if err != nil {
		return pendingRecord{}, err
	}
	return decode[pendingRecord](entry.Value)
}

func (r *repository) answer(ctx context.Context, ref requestRef) (answerRecord, error) {
	entry, err := r.store.Get(ctx, ref.answerKey())
	if err != nil {
		return answerRecord{}, err
	}
	return decode[answerRecord](entry.Value)
}

// finish writes an answer with its compressed body, if any: first the chunks, then
// the record that refers to them. If another runner stored its answer first, that
// one is kept. The pending record is removed last.
func (r *repository) finish(ctx context.Context, ref requestRef, a answerRecord, compressed []byte) error {
	lease, err := r.leases.Current(ctx)
	if err != nil {
		return err
	}
	if compressed != nil {
		if err := r.storeBody(ctx, ref, &a, compressed, lease); err != nil {
			return r.replaceExpiredLease(ctx, lease, err)
		}
	}
	err = r.create(ctx, ref.answerKey(), encode(a), lease)
	if err != nil && !errors.Is(err, errExists) {
		return r.replaceExpiredLease(ctx, lease, err)
	}
	return r.store.Delete(ctx, ref.pendingKey(), platform.AnyRevision)
}

// replaceExpiredLease replaces the lease if err says that the store no longer knows
// it, so that the next try succeeds. It returns err.
func (r *repository) replaceExpiredLease(ctx context.Context, lease platform.LeaseID, err error) error {
	if errors.Is(err, platform.ErrLeaseExpired) {
		_, _ = r.leases.Replace(ctx, lease)
	}
	return err
}

// storeBody puts the compressed body into the record, or into chunks under their own
// keys.
func (r *repository) storeBody(ctx context.Context, ref requestRef, a *answerRecord, compressed []byte, lease platform.LeaseID) error {
	if len(compressed) <= maxInline {
		a.Inline = compressed
		return nil
	}
	a.Chunks = 0
	for start := 0; start < len(compressed); start += maxChunk {
		chunk := compressed[start:min(start+maxChunk, len(compressed))]
		_, err := r.store.Put(ctx, ref.chunkKey(a.Attempt, a.Chunks), chunk, platform.AnyRevision, lease)
		if err != nil {
			return err // writing the same chunk again is harmless
		}
		a.Chunks++
	}
	return nil
}

// body returns the whole response of a ready answer.
func (r *repository) body(ctx context.Context, ref requestRef, a answerRecord) ([]byte, error) {
	compressed := a.Inline
	for n := range a.Chunks {
		entry, err := r.store.Get(ctx, ref.chunkKey(a.Attempt, n))
		if err != nil {
			return nil, err
		}
		compressed = append(compressed, entry.Value...)
	}
	return decompress(compressed)
}

// scan returns up to limit pending requests of a shard whose keys follow after, and
// the key from which to continue, which is empty at the end. It skips unreadable
// records.
func (r *repository) scan(ctx context.Context, shard int, after string, limit int) ([]pendingRecord, string, error) {
	entries, _, err := r.store.List(ctx, shardPrefix(shard), after, limit)
	if err != nil {
		return nil, "", err
	}
	var found []pendingRecord
	for _, entry := range entries {
		after = entry.Key
		if p, err := decode[pendingRecord](entry.Value); err == nil {
			found = append(found, p)
		}
	}
	if len(entries) < limit {
		after = ""
	}
	return found, after, nil
}
