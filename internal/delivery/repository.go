package delivery

import (
	"context"
	"errors"

	"corianderhitch/internal/platform"
	"corianderhitch/internal/storelease"
)

// repository keeps drafts and answers in the store.
type repository struct {
	store  platform.Store
	leases *storelease.Leases
}

// errExists means that another record is there already.
var errExists = platform.ErrConflict

// create writes a record that must not exist yet. A lost answer is settled by
// reading back; it stays ErrOutcomeUnknown only if that fails too.
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

// addPending records a draft. It has no lease: it stays until it has an answer.
func (r *repository) addPending(ctx context.Context, p pending) error {
	return r.create(ctx, p.draft().pendingKey(), encode(p), 0)
}

func (r *repository) pending(ctx context.Context, d draftID) (pending, error) {
	entry, err := r.store.Get(ctx, d.pendingKey())
	if err != nil {
		return pending{}, err
	}
	return decode[pending](entry.Value)
}

func (r *repository) answer(ctx context.Context, d draftID) (answer, error) {
	entry, err := r.store.Get(ctx, d.answerKey())
	if err != nil {
		return answer{}, err
	}
	return decode[answer](entry.Value)
}

// finish writes a whole answer with its packed body, if any: chunks first, then
// the record that names them. If another runner was faster, its answer stands.
// The pending record goes last.
func (r *repository) finish(ctx context.Context, d draftID, a answer, packed []byte) error {
	lease, err := r.leases.Current(ctx)
	if err != nil {
		return err
	}
	if packed != nil {
		if err := r.attach(ctx, d, &a, packed, lease); err != nil {
			return r.expired(ctx, lease, err)
		}
	}
	err = r.create(ctx, d.answerKey(), encode(a), lease)
	if err != nil && !errors.Is(err, errExists) {
		return r.expired(ctx, lease, err)
	}
	return r.store.Delete(ctx, d.pendingKey(), platform.AnyRevision)
}

// expired replaces a lease that the store no longer knows, for the next try.
func (r *repository) expired(ctx context.Context, lease platform.LeaseID, err error) error {
	if errors.Is(err, platform.ErrLeaseExpired) {
		_, _ = r.leases.Replace(ctx, lease)
	}
	return err
}

// attach puts the packed body into the record, or into chunks beside it.
func (r *repository) attach(ctx context.Context, d draftID, a *answer, packed []byte, lease platform.LeaseID) error {
	if len(packed) <= maxInline {
		a.Inline = packed
		return nil
	}
	a.Chunks = 0
	for start := 0; start < len(packed); start += maxChunk {
		chunk := packed[start:min(start+maxChunk, len(packed))]
		_, err := r.store.Put(ctx, d.chunkKey(a.Attempt, a.Chunks), chunk, platform.AnyRevision, lease)
		if err != nil {
			return err // writing the same chunk again is harmless
		}
		a.Chunks++
	}
	return nil
}

// body returns the whole response of a ready answer.
func (r *repository) body(ctx context.Context, d draftID, a answer) ([]byte, error) {
	packed := a.Inline
	for n := range a.Chunks {
		entry, err := r.store.Get(ctx, d.chunkKey(a.Attempt, n))
		if err != nil {
			return nil, err
		}
		packed = append(packed, entry.Value...)
	}
	return unpack(packed)
}

// scan returns up to limit pending drafts of a shard after a key, and the key to
// go on from, which is empty at the end.
func (r *repository) scan(ctx context.Context, shard int, after string, limit int) ([]pending, string, error) {
	entries, _, err := r.store.List(ctx, shardPrefix(shard), after, limit)
	if err != nil {
		return nil, "", err
	}
	var found []pending
	for _, entry := range entries {
		after = entry.Key
		if p, err := decode[pending](entry.Value); err == nil {
			found = append(found, p)
		}
	}
	if len(entries) < limit {
		after = ""
	}
	return found, after, nil
}
